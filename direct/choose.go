package direct

import (
	"math/rand/v2"
	"time"

	"almondstile/catalog"
	"almondstile/contract"
	"almondstile/evidence"
	"almondstile/placement"
	"almondstile/request"
)

const (
	// blindTime is how long after its start a VM does not know what the others
	// sent in the last second.
	blindTime = 1250 * time.Millisecond
	// connectedShare is the part of the fleet that a VM must hear to know it.
	connectedShare = 0.3
)

// chosen is the server of one attempt.
type chosen struct {
	server *catalog.Registration
	state  evidence.State
}

// choose selects a server for the next attempt of a request. It reports false if
// no server may take it at the moment.
func (d *Dispatcher) choose(now time.Time, view *catalog.View, req *request.Request, tried map[contract.ServerID]bool) (chosen, bool) {
	terms := view.Index.Service(req.Service)
	var options []chosen
	for _, r := range view.ByService[req.Service] {
		if !view.AcceptsNewRequests(r) {
			continue
		}
		c := chosen{server: r, state: d.parts.ReplicatedState.Servers.State(now, evidence.ServerSubject(r.Server.ID))}
		if terms != nil && d.cold(r) && rand.Float64() >= d.coldChance(now, terms, c.state.SentLastSecond) {
			continue
		}
		options = append(options, c)
	}
	candidates := make([]placement.Candidate, len(options))
	for i := range options {
		candidates[i] = d.candidate(&options[i], tried)
	}
	i := placement.Pick(candidates, req.Idempotent && len(tried) == 0, rand.Float64())
	if i < 0 {
		return chosen{}, false
	}
	return options[i], true
}

func (d *Dispatcher) candidate(c *chosen, tried map[contract.ServerID]bool) placement.Candidate {
	return placement.Candidate{
		OwnZone:     c.server.Server.Zone == d.parts.Self.Zone,
		Slots:       c.server.Server.Slots,
		InFlight:    c.state.InFlight,
		FailureRate: c.state.FailureRate, RecentRefusals: c.state.RecentRefusals,
		RelativeLatency: c.state.RelativeLatency,
		IdleTime:        c.state.IdleTime,
		Tried:           tried[c.server.Server.ID],
	}
}

// coldChance is the probability with which a request may go to a cold server.
func (d *Dispatcher) coldChance(now time.Time, terms *contract.Service, lastSecond int) float64 {
	return placement.SlowStart{
		MaxPerSecond: terms.ColdRatePerSecond, SentLastSecond: lastSecond,
		ArrivalsPerSecond:  d.parts.ReplicatedState.RetryBudgets.SendRate(now, terms.ID),
		RemoteSendsUnknown: now.Sub(d.started) < blindTime || d.parts.Fleet.ConnectedShare(now) < connectedShare,
		VMs:                d.parts.Fleet.Size(),
	}.AdmitProbability()
}

// cold reports whether the server has just started.
func (d *Dispatcher) cold(r *catalog.Registration) bool {
	return r.ColdUntil > d.parts.BootTime()
}
