package rollout

import (
	"sync"
	"time"
)

const (
	// rollBackEvidence is the evidence at which a version is rolled back: a version that is
	// not worse reaches it in one of 200 roll-outs at most.
	rollBackEvidence = 200.0
	// shiftRollBackEvidence is that evidence while all requests move. From then on a worse
	// version costs ten times as much, and soon can't be rolled back any more.
	shiftRollBackEvidence = 20.0
	// shiftEvidence is the evidence above which the requests do not move yet. It is low,
	// because a worse version that gets all requests costs callers more than a good one
	// that is rolled back.
	shiftEvidence = 2.0
	// coveredEvidence takes the place of shiftEvidence where the bounds hold even for a
	// worse version, because there are few requests.
	coveredEvidence = 20.0
	// joinEvidence takes its place where other VMs move their requests already. They have
	// found less evidence, so that it lies close to the limit.
	joinEvidence = 4.0
	// suspectEvidence is the evidence at which the worst servers are left out of the group
	// if the others are not worse.
	suspectEvidence = 20.0
	// minCompared is the number of responses of the target, but for servers that may be
	// worse alone, without which the requests move
	// only if the bounds hold in any case. Of versions that fail a tenth, 19 in 20 show a
	// failure in it.
	minCompared = 30
	// maxExcessFailures is the number of failures, beyond twice those that the old servers
	// would have had, after which a version is rolled back even if only some of its servers
	// fail. It is well below the 50 bad responses from which Bounds.RollbackTime counts.
	maxExcessFailures = 30

	// comparePeriod is the time for which a comparison is used.
	comparePeriod = 200 * time.Millisecond
	// settlePeriod is the time after which VMs have learned of each other's requests.
	settlePeriod = 500 * time.Millisecond
	// lateStart is the age of an order from which on requests may have been sent to the
	// target version before. Orders are read, and servers found, in less.
	lateStart = 2 * time.Second
	// minConnectedShare is the connected share below which a VM sends nothing to the target
	// version, because it may miss a verdict. minShiftShare is the one from which on it
	// knows enough of the fleet to move all its requests or to complete.
	minConnectedShare = 0.3
	minShiftShare     = 0.5
	// reconnectedShare is the rise of the connected share that counts as a reconnection.
	reconnectedShare = 0.1

	// maxOldSamplesPerSecond and maxTargetSamplesPerSecond bound the samples that all VMs
	// together send.
	maxOldSamplesPerSecond    = 150.0
	maxTargetSamplesPerSecond = 80.0
)

// Judge holds one VM's evidence about one order and decides. A VM calls Decide some times
// a second and applies the last decision to its requests. It is safe for concurrent use.
type Judge struct {
	mu       sync.Mutex
	order    Order
	started  time.Time // when the order was acknowledged
	schedule schedule
	evidence evidence
	exposure exposure
	// cold holds the target servers that were cold at the last decision.
	cold map[string]bool
	// suspects holds the target servers that are left out because only they serve worse.
	suspects map[string]bool
	// findings are the results of the last comparison.
	findings findings

	verdict   Verdict
	reason    Reason    // of the verdict
	decidedAt time.Time // of the verdict
	// connectedShare is the connected share at the last decision, and connectedAt when it
	// last rose, so that others have yet to learn of the verdict.
	connectedShare float64
	connectedAt    time.Time
	// shiftedAt is when the requests began to move, fullSince since when all of them go to
	// the target, emptySince since when no request holds up completion; zero if not yet.
	shiftedAt, fullSince, emptySince time.Time
}

// NewJudge returns the judge of an order that was acknowledged startedAgo before now.
func NewJudge(now time.Time, startedAgo time.Duration, order Order, bounds Bounds) *Judge {
	return &Judge{
		order:    order,
		started:  now.Add(-startedAgo),
		schedule: newSchedule(order.Duration),
		evidence: newEvidence(order.Duration),
		exposure: exposure{bounds: bounds, late: startedAgo > lateStart},
		suspects: map[string]bool{},
	}
}

// Record adds a sample of this VM or another.
func (j *Judge) Record(now time.Time, sample Sample) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.evidence.record(now.Sub(j.started), sample, j.cold[sample.Server])
}

// RecordSends adds requests that VMs sent to servers of the service, and how many of them
// they sent to the target version.
func (j *Judge) RecordSends(_ time.Time, total, target uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.exposure.total += float64(total)
	j.exposure.target += float64(target)
}

// Decide returns the decision at the given time. A verdict is final, unless the store holds
// another.
func (j *Judge) Decide(now time.Time, s Situation) Decision {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.observe(now, s)
	if s.Stored != NoVerdict && s.Stored != j.verdict {
		j.verdict, j.reason, j.decidedAt = s.Stored, ReasonStored, now
	}
	if j.verdict == NoVerdict {
		j.verdict, j.reason = j.judge(now, s)
		j.decidedAt = now
	}
	d := j.direct(now, s)
	d.Verdict, d.Shifting = j.verdict, j.verdict == NoVerdict && !j.shiftedAt.IsZero()
	d.SampleShares = sampleShares(s.ArrivalsPerSecond, j.meanShare(now, s, d))
	d.Figures = j.figures(now)
	return d
}

// observe takes over what follows from the situation without a decision.
func (j *Judge) observe(now time.Time, s Situation) {
	j.cold = map[string]bool{}
	for _, server := range s.Targets {
		if server.Cold {
			j.cold[server.Key] = true
		}
	}
	if now.Sub(j.findings.at) >= comparePeriod {
		j.compare(now, len(s.Targets))
	}
	if s.ConnectedShare >= j.connectedShare+reconnectedShare {
		j.connectedAt = now
	}
	j.connectedShare = s.ConnectedShare
	empty := s.OldInFlight == 0
	if now.Sub(j.started) >= j.schedule.writeBy {
		empty = s.OldUnrepeatable == 0
	}
	switch {
	case !empty:
		j.emptySince = time.Time{}
	case j.emptySince.IsZero():
		j.emptySince = now
	}
}

// judge returns the verdict at the given time.
func (j *Judge) judge(now time.Time, s Situation) (Verdict, Reason) {
	elapsed := now.Sub(j.started)
	limit := rollBackEvidence
	if !j.shiftedAt.IsZero() {
		limit = shiftRollBackEvidence
	}
	switch {
	case s.Announced != NoVerdict:
		return s.Announced, ReasonAnnounced
	case j.findings.evidence >= limit:
		return RollBack, ReasonWorse
	case j.findings.excessFailures >= maxExcessFailures:
		return RollBack, ReasonManyFailures
	case elapsed >= j.schedule.deadline:
		return RollBack, ReasonDeadline
	case !j.shiftedAt.IsZero():
		return j.judgeShift(now, s)
	case elapsed < j.schedule.shift || len(s.Targets) == 0:
		return NoVerdict, ""
	}
	return j.judgeComparison(now, s)
}

// judgeComparison begins to move the requests if the comparison allows it, and rolls back
// if it still does not when the time runs out.
func (j *Judge) judgeComparison(now time.Time, s Situation) (Verdict, Reason) {
	elapsed := now.Sub(j.started)
	if s.RemoteCountsUnknown || s.ConnectedShare < minShiftShare {
		// Others have more evidence and decide.
		if s.OthersShift && s.ConnectedShare >= minConnectedShare {
			j.shiftedAt = now
		}
		return NoVerdict, ""
	}
	left := j.schedule.deadline - elapsed
	covered := j.exposure.covers(s, left)
	limit := shiftEvidence
	switch {
	case covered:
		limit = coveredEvidence
	case s.OthersShift:
		limit = joinEvidence
	}
	clear := j.findings.evidence < limit
	enough := j.findings.compared >= minCompared
	late := elapsed >= j.schedule.latestShift
	switch {
	case clear && (covered || s.OthersShift),
		clear && enough && (late || !j.exposure.coverable(s, left, j.schedule.tail())):
		j.shiftedAt = now
	case !clear && (late || s.OthersShift):
		return RollBack, ReasonUnclear
	case clear && elapsed >= j.schedule.writeBy:
		return RollBack, ReasonTooFewCompared
	}
	return NoVerdict, ""
}

// judgeShift completes when the old servers have nothing left and the new ones carry
// everything.
func (j *Judge) judgeShift(now time.Time, s Situation) (Verdict, Reason) {
	switch {
	case s.RemoteCountsUnknown || s.ConnectedShare < minShiftShare:
	case j.fullSince.IsZero() || now.Sub(j.fullSince) < settlePeriod:
	case j.emptySince.IsZero() || now.Sub(j.emptySince) < settlePeriod:
	default:
		return Complete, ReasonEmptied
	}
	return NoVerdict, ""
}

// figures returns the figures behind the decision.
func (j *Judge) figures(now time.Time) Figures {
	f := j.findings
	return Figures{
		Elapsed:      now.Sub(j.started),
		Sent:         j.exposure.total,
		SentToTarget: j.exposure.target,
		Responses:    f.responses,
		Failures:     f.failures,
		Slow:         f.slow,
		OldResponses: f.oldResponses,
		OldFailures:  f.oldFailed,
		Evidence:     f.evidence,
		EvidenceAll:  f.evidenceAll,
		Suspects:     len(j.suspects),
	}
}
