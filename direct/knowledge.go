package direct

import (
	"sync/atomic"
	"time"

	"almondstile/contract"
	"almondstile/evidence"
	"almondstile/quota"
	"almondstile/request"
	"almondstile/retry"
	"almondstile/tally"
)

// Knowledge is what a VM keeps in common with the others by counters.
type Knowledge struct {
	Servers evidence.Servers
	Routes  evidence.Routes
	Quota   *quota.Shared
	Budget  *retry.Shared
	Crashes crashes
	// configured is the configuration whose terms are in use.
	configured atomic.Pointer[contract.Index]
}

// NewKnowledge returns the knowledge of a process that starts now.
func NewKnowledge(now time.Time, fleet quota.Fleet, budget retry.Terms) *Knowledge {
	return &Knowledge{Quota: quota.NewShared(now, fleet), Budget: retry.NewShared(now, budget)}
}

// Configure takes over the teams' terms of a configuration, if it is another one
// than before.
func (k *Knowledge) Configure(now time.Time, index *contract.Index) {
	if index != nil && k.configured.Swap(index) != index {
		k.Quota.SetTerms(now, index.Configuration().Teams)
	}
}

// Observe implements tally.Observer.
func (k *Knowledge) Observe(now time.Time, subject tally.Subject, d tally.Counts, missed bool) {
	switch subject.Kind() {
	case tally.Server:
		k.Servers.Observe(now, subject, d)
	case tally.Team:
		k.Quota.Spent(now, subject, d[tally.Admitted], missed)
	case tally.Service:
		k.Budget.Sent(now, subject, d[tally.First], d[tally.Repeat])
	case tally.Route:
		k.Routes.Answered(now, subject, d[tally.Answered], d[tally.LatencyMillis])
	case tally.Crash:
		k.Crashes.add(now, subject, int(d[tally.Crashes]))
	}
}

// counters writes what happens at this VM into its knowledge and its ledger.
type counters struct {
	knowledge *Knowledge
	ledger    *tally.Ledger
}

func (c counters) started(now time.Time, server tally.Subject) {
	c.knowledge.Servers.Started(now, server)
	c.ledger.Add(now, server, tally.Started, 1)
}

// finished counts the end of an exchange that took the latency.
func (c counters) finished(now time.Time, server, route tally.Subject, result evidence.Result, latency time.Duration) {
	slowness := evidence.SlownessPercent(latency, c.knowledge.Routes.Usual(route))
	c.knowledge.Servers.Finished(now, server, result, slowness)
	switch result {
	case evidence.Good:
		c.ledger.Add(now, server, tally.SlownessPercent, slowness)
		c.ledger.Add(now, server, tally.Succeeded, 1)
		millis := uint32(latency.Milliseconds())
		c.knowledge.Routes.Answered(now, route, 1, millis)
		c.ledger.Add(now, route, tally.Answered, 1)
		c.ledger.Add(now, route, tally.LatencyMillis, millis)
	case evidence.Bad:
		c.ledger.Add(now, server, tally.Failed, 1)
	case evidence.Refused:
		c.ledger.Add(now, server, tally.Refused, 1)
	}
}

func (c counters) suspect(now time.Time, server tally.Subject) {
	c.knowledge.Servers.Suspect(now, server)
	c.ledger.Add(now, server, tally.Failed, 1)
}

func (c counters) first(now time.Time, service contract.ServiceID) {
	c.knowledge.Budget.First(now, service)
	c.ledger.Add(now, tally.SubjectOf(tally.Service, string(service)), tally.First, 1)
}

// repeat counts a repeat if the budget allows it.
func (c counters) repeat(now time.Time, service contract.ServiceID, share float64) bool {
	if !c.knowledge.Budget.Spend(now, service, share) {
		return false
	}
	c.ledger.Add(now, tally.SubjectOf(tally.Service, string(service)), tally.Repeat, 1)
	return true
}

// admit takes a token of the team.
func (c counters) admit(now time.Time, team *contract.Team) quota.Decision {
	decision := c.knowledge.Quota.Admit(now, team)
	if decision.Admitted {
		subject := tally.SubjectOf(tally.Team, string(team.ID))
		c.ledger.Add(now, subject, tally.Admitted, 1)
		if decision.Scarce() {
			c.ledger.Add(now, subject, tally.Scarce, 1)
		}
	}
	return decision
}

func (c counters) crashed(now time.Time, f request.Fingerprint) {
	subject := tally.SubjectOf(tally.Crash, string(f))
	c.knowledge.Crashes.add(now, subject, 1)
	c.ledger.Add(now, subject, tally.Crashes, 1)
}

// Sweep frees what is no longer needed.
func (k *Knowledge) Sweep(now time.Time) { k.Crashes.sweep(now) }
