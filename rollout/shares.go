package rollout

import "time"

// direct returns where this VM's requests go.
func (j *Judge) direct(now time.Time, s Situation) Decision {
	switch j.verdict {
	case RollBack:
		told := now.Sub(j.decidedAt) >= settlePeriod && now.Sub(j.connectedAt) >= settlePeriod
		return Decision{Reason: j.reason, WriteStatus: told}
	case Complete:
		// The old servers stop once the status is written.
		carried := len(s.Targets) > 0 && j.capacityShare(s, s.Targets) >= 1
		return Decision{TargetShare: 1, Reason: j.reason, WriteStatus: carried}
	}
	switch {
	case len(s.Targets) == 0:
		j.fullSince = time.Time{}
		return Decision{Reason: ReasonNoTargets}
	case s.ConnectedShare < minConnectedShare:
		return Decision{Reason: ReasonIsolated}
	case !j.shiftedAt.IsZero():
		return j.directShift(now, s)
	case s.OldServers == 0:
		return Decision{TargetShare: j.exposure.admit(s, 1), Reason: ReasonOldGone}
	}
	return j.directCompared(now, s)
}

// directShift returns the share while all requests move: it grows from the compared one to
// 1, as far as the target's servers can take them.
func (j *Judge) directShift(now time.Time, s Situation) Decision {
	moved := min(now.Sub(j.shiftedAt).Seconds()/j.schedule.ramp.Seconds(), 1)
	least := usedShare * j.exposure.bounds.ExposedShare
	share := least + (1-least)*moved
	capacity := j.capacityShare(s, s.Targets)
	if share > capacity {
		j.fullSince = time.Time{}
		return Decision{TargetShare: capacity, Reason: ReasonHeld}
	}
	if share < 1 {
		return Decision{TargetShare: share, Reason: ReasonShift}
	}
	if j.fullSince.IsZero() {
		j.fullSince = now
	}
	if j.emptySince.IsZero() {
		return Decision{TargetShare: 1, Reason: ReasonEmptying}
	}
	return Decision{TargetShare: 1, Reason: ReasonShift}
}

// directCompared returns the share and the group while the versions are compared.
func (j *Judge) directCompared(now time.Time, s Situation) Decision {
	elapsed := now.Sub(j.started)
	mean := j.exposure.comparedShare(s, j.schedule.shift-elapsed, j.schedule.tail())
	g := selectGroup(j.order, s, mean, j.suspects)
	share := min(g.likeShare, j.capacityShare(s, g.servers))
	d := Decision{TargetShare: share, TargetServers: g.keys(), Reason: ReasonCompare}
	if elapsed >= j.schedule.shift {
		d.Reason = ReasonHeld
	}
	if share > mean && !likeLoadNow(elapsed, j.schedule.shift, mean/share) {
		d.TargetShare, d.Reason = 0, ReasonPause
		return d
	}
	if d.TargetShare = j.exposure.admit(s, share); d.TargetShare == 0 {
		d.Reason = ReasonBudgetUsed
	}
	return d
}

// roundingTolerance covers the rounding of the sums of capacityPerSecond: many servers
// against one with all their slots.
const roundingTolerance = 1e-9

// capacityShare returns the part of the service's requests (0 to 1) that the servers can
// take. It is 1 for servers that can take what all old ones can.
func (j *Judge) capacityShare(s Situation, servers []TargetServer) float64 {
	capacity := capacityPerSecond(servers, j.findings.requestSeconds)
	old := capacityPerSecond([]TargetServer{{Slots: s.OldSlots}}, j.findings.requestSeconds)
	if needed := min(s.ArrivalsPerSecond, old); needed > capacity*(1+roundingTolerance) {
		return capacity / needed
	}
	return 1
}

// meanShare returns the share of the target without its pauses. The part of responses that
// is sampled must not change with them, or slow ones would be sampled more often.
func (j *Judge) meanShare(now time.Time, s Situation, d Decision) float64 {
	if j.verdict != NoVerdict || !j.shiftedAt.IsZero() {
		return d.TargetShare
	}
	return j.exposure.comparedShare(s, j.schedule.shift-now.Sub(j.started), j.schedule.tail())
}

// sampleShares returns the probabilities with which responses are sampled.
func sampleShares(arrivalsPerSecond, targetShare float64) (shares [sideCount]float64) {
	shares[Old] = min(1, maxOldSamplesPerSecond/max(arrivalsPerSecond*(1-targetShare), 1))
	shares[Target] = min(1, maxTargetSamplesPerSecond/max(arrivalsPerSecond*targetShare, 1))
	return shares
}
