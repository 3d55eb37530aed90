package direct

import (
	"math/rand/v2"
	"time"

	"almondstile/catalog"
	"almondstile/contract"
	"almondstile/evidence"
	"almondstile/notice"
	"almondstile/placement"
	"almondstile/request"
	"almondstile/tally"
)

const (
	// unknownSendsPeriod is the time after its start during which a VM does not know
	// how many requests the other VMs sent in the last second.
	unknownSendsPeriod = 1250 * time.Millisecond
	// minConnectedShare is the connected share (0 to 1) below which a VM does not
	// know how many requests the other VMs sent.
	minConnectedShare = 0.3
)

// selection is the server of one attempt and its state at the time of the choice.
type selection struct {
	server   *catalog.Registration
	state    evidence.State
	expected expectation
	// trial says that the server was chosen because it had no request for a while.
	trial bool
}

// selectServer selects a server for the next attempt of a request. tried holds the
// servers of earlier attempts. It returns false if no server may get the request
// now.
func (d *Dispatcher) selectServer(now time.Time, view *catalog.View, req *request.Request, tried map[contract.ServerID]bool) (selection, bool) {
	service := view.Index.Service(req.Service)
	rule := d.rolloutRule(now, view, req.Service, tried)
	var available []selection
	for _, r := range view.ByService[req.Service] {
		if !view.AcceptsNewRequests(r) || !rule.Allows(versionedServer(r)) || !d.allowedByNotices(now, r) {
			continue
		}
		s := selection{server: r, state: d.deps.ReplicatedState.Servers.State(now, evidence.ServerSubject(r.Server.ID))}
		if service != nil && d.inSlowStart(r) && rand.Float64() >= d.slowStartProbability(now, service, s.state.SentLastSecond) {
			continue
		}
		available = append(available, s)
	}
	available = preferredByRollout(&rule, available, tried)
	kind, estimate := d.estimateCost(now, req)
	candidates := make([]placement.Candidate, len(available))
	for i := range available {
		candidates[i] = d.candidate(&available[i], tried)
		d.weighWork(&candidates[i], &available[i], estimate)
	}
	d.markSubset(now, req.Service, available, candidates)
	i, trial := d.pick(now, req, candidates, len(tried) == 0)
	if i < 0 {
		return selection{}, false
	}
	selected := available[i]
	selected.trial = trial
	selected.expected = d.expect(&selected, kind, estimate)
	return selected, true
}

// pick selects the server of an attempt, or returns -1 if there is none. trial says that it is
// one that had no request for a while. Only first attempts try such a server.
func (d *Dispatcher) pick(now time.Time, req *request.Request, candidates []placement.Candidate, first bool) (i int, trial bool) {
	if first {
		unserved, _ := d.unservedShare(now, req.Service)
		demand := placement.Demand{SentPerSecond: d.deps.ReplicatedState.RetryBudgets.SendRate(now, req.Service), Unserved: unserved}
		if i, trial = placement.PickTrial(candidates, demand, req.Idempotent, rand.Float64()); trial {
			d.deps.Observer.Count("trial")
			return i, true
		}
	}
	return placement.Pick(candidates, req.Idempotent && first, rand.Float64()), false
}

// markSubset marks the candidates that belong to this VM's subset of the servers of its
// zone.
func (d *Dispatcher) markSubset(now time.Time, service contract.ServiceID, available []selection, candidates []placement.Candidate) {
	var own []int
	var servers []contract.ServerID
	for i := range candidates {
		if candidates[i].OwnZone {
			own = append(own, i)
			servers = append(servers, available[i].server.Server.ID)
		}
	}
	size := placement.SubsetSize(d.deps.ReplicatedState.RetryBudgets.SendRate(now, service), len(candidates), d.deps.Fleet.Size())
	for k, preferred := range placement.Subset(d.deps.Self.ID, servers, size) {
		candidates[own[k]].InSubset = preferred
	}
}

// allowedByNotices reports whether a request may be sent to the server after what the
// server stated about itself.
func (d *Dispatcher) allowedByNotices(now time.Time, r *catalog.Registration) bool {
	state := d.deps.ReplicatedState
	if state.Notices.Empty() {
		return true
	}
	incarnation := incarnationOf(r)
	if state.Notices.Leaving(incarnation) || state.Notices.PauseLeft(now, incarnation) > 0 {
		return false
	}
	if !state.Notices.Limited(incarnation) {
		return true
	}
	left := state.Notices.Pace(now, incarnation, d.deps.Fleet.ConnectedShare(now))
	if rand.Float64() < placement.AdmitProbability(left, state.RetryBudgets.SendRate(now, r.Service)) {
		return true
	}
	d.deps.Observer.Count("server_limit_held")
	return false
}

// pauseLeft returns the time until the first server of the service accepts requests
// from this VM again, if all that accept new requests have asked it for a pause, and
// otherwise 0.
func (d *Dispatcher) pauseLeft(now time.Time, view *catalog.View, service contract.ServiceID) time.Duration {
	earliest := time.Duration(0)
	for _, r := range view.ByService[service] {
		if !view.AcceptsNewRequests(r) || d.deps.ReplicatedState.Notices.Leaving(incarnationOf(r)) {
			continue
		}
		left := d.deps.ReplicatedState.Notices.PauseLeft(now, incarnationOf(r))
		if left == 0 {
			return 0
		}
		if earliest == 0 || left < earliest {
			earliest = left
		}
	}
	return earliest
}

// incarnationOf returns the subject of the notices of a registered server.
func incarnationOf(r *catalog.Registration) tally.Subject {
	return notice.SubjectOf(r.Server.ID, r.StartedAt)
}

// candidate returns the input of placement.Pick for a server.
func (d *Dispatcher) candidate(s *selection, tried map[contract.ServerID]bool) placement.Candidate {
	return placement.Candidate{
		OwnZone:     s.server.Server.Zone == d.deps.Self.Zone,
		Slots:       s.server.Server.Slots,
		Work:        s.state.InFlight,
		FailureRate: s.state.FailureRate, FaultProbability: s.state.FaultProbability,
		RecentSuccesses: s.state.RecentSuccesses, RecentFailures: s.state.RecentFailures, RecentRefusals: s.state.RecentRefusals,
		RelativeLatency: s.state.RelativeLatency,
		IdleTime:        s.state.IdleTime,
		Tried:           tried[s.server.Server.ID],
	}
}

// slowStartProbability returns the probability (0 to 1) with which a request may
// be sent to a server in slow start. sentLastSecond is the number of requests sent
// to it in the last second.
func (d *Dispatcher) slowStartProbability(now time.Time, service *contract.Service, sentLastSecond int) float64 {
	return placement.SlowStart{
		MaxPerSecond: service.ColdRatePerSecond, SentLastSecond: sentLastSecond,
		ArrivalsPerSecond:  d.deps.ReplicatedState.RetryBudgets.SendRate(now, service.ID),
		RemoteSendsUnknown: now.Sub(d.startedAt) < unknownSendsPeriod || d.deps.Fleet.ConnectedShare(now) < minConnectedShare,
		VMs:                d.deps.Fleet.Size(),
	}.AdmitProbability()
}

// inSlowStart reports whether the server started so recently that its rate of
// requests is limited.
func (d *Dispatcher) inSlowStart(r *catalog.Registration) bool {
	return r.ColdUntil > d.deps.BootTime()
}
