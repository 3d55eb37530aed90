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
type ReplicatedState struct {
	Servers      evidence.ServerStats
	Routes       evidence.RouteLatencies
	Quota        *quota.SharedBuckets
	RetryBudgets *retry.SharedBudgets
	Crashes      crashes
	// configured is the configuration whose terms are in use.
	configured atomic.Pointer[contract.Index]
}

// NewReplicatedState returns the knowledge of a process that starts now.
func NewReplicatedState(now time.Time, fleet quota.Fleet, budget retry.BudgetLimits) *ReplicatedState {
	return &ReplicatedState{Quota: quota.NewSharedBuckets(now, fleet), RetryBudgets: retry.NewSharedBudgets(now, budget)}
}

// Configure takes over the teams' terms of a configuration, if it is another one
// than before.
func (k *ReplicatedState) Configure(now time.Time, index *contract.Index) {
	if index != nil && k.configured.Swap(index) != index {
		k.Quota.SetRateLimits(now, index.Configuration().Teams)
	}
}

// Observe implements tally.Observer.
func (k *ReplicatedState) Observe(now time.Time, subject tally.Subject, d tally.Counts, missed bool) {
	switch subject.Kind() {
	case tally.Server:
		k.Servers.RecordRemoteCounts(now, subject, d)
	case tally.Team:
		k.Quota.RecordRemoteAdmissions(now, subject, d[tally.Admitted], missed)
	case tally.Service:
		k.RetryBudgets.RecordSends(now, subject, d[tally.FirstAttempts], d[tally.Retries])
	case tally.Route:
		k.Routes.RecordResponses(now, subject, d[tally.GoodResponses], d[tally.LatencyMillis])
	case tally.Fingerprint:
		k.Crashes.add(now, subject, int(d[tally.Crashes]))
	}
}

// counters writes what happens at this VM into its knowledge and its ledger.
type counters struct {
	knowledge *ReplicatedState
	ledger    *tally.Ledger
}

func (c counters) started(now time.Time, server tally.Subject) {
	c.knowledge.Servers.RecordStart(now, server)
	c.ledger.Add(now, server, tally.Started, 1)
}

// finished counts the end of an exchange that took the latency.
func (c counters) finished(now time.Time, server, route tally.Subject, result evidence.Result, latency time.Duration) {
	slowness := evidence.RelativeLatencyPercent(latency, c.knowledge.Routes.TypicalLatency(route))
	c.knowledge.Servers.RecordResult(now, server, result, slowness)
	switch result {
	case evidence.Success:
		c.ledger.Add(now, server, tally.RelativeLatencyPercent, slowness)
		c.ledger.Add(now, server, tally.Succeeded, 1)
		millis := uint32(latency.Milliseconds())
		c.knowledge.Routes.RecordResponses(now, route, 1, millis)
		c.ledger.Add(now, route, tally.GoodResponses, 1)
		c.ledger.Add(now, route, tally.LatencyMillis, millis)
	case evidence.Failure:
		c.ledger.Add(now, server, tally.Failed, 1)
	case evidence.Refused:
		c.ledger.Add(now, server, tally.Refused, 1)
	}
}

func (c counters) suspect(now time.Time, server tally.Subject) {
	c.knowledge.Servers.RecordSuspectedFailure(now, server)
	c.ledger.Add(now, server, tally.Failed, 1)
}

func (c counters) first(now time.Time, service contract.ServiceID) {
	c.knowledge.RetryBudgets.RecordFirstAttempt(now, service)
	c.ledger.Add(now, tally.SubjectOf(tally.Service, string(service)), tally.FirstAttempts, 1)
}

// repeat counts a repeat if the budget allows it.
func (c counters) repeat(now time.Time, service contract.ServiceID, share float64) bool {
	if !c.knowledge.RetryBudgets.Spend(now, service, share) {
		return false
	}
	c.ledger.Add(now, tally.SubjectOf(tally.Service, string(service)), tally.Retries, 1)
	return true
}

// admit takes a token of the team.
func (c counters) admit(now time.Time, team *contract.Team) quota.Decision {
	decision := c.knowledge.Quota.Admit(now, team)
	if decision.Admitted {
		subject := tally.SubjectOf(tally.Team, string(team.ID))
		c.ledger.Add(now, subject, tally.Admitted, 1)
		if decision.NearLimit() {
			c.ledger.Add(now, subject, tally.AdmittedNearLimit, 1)
		}
	}
	return decision
}

func (c counters) crashed(now time.Time, f request.Fingerprint) {
	subject := tally.SubjectOf(tally.Fingerprint, string(f))
	c.knowledge.Crashes.add(now, subject, 1)
	c.ledger.Add(now, subject, tally.Crashes, 1)
}

// Sweep frees what is no longer needed.
func (k *ReplicatedState) Sweep(now time.Time) { k.Crashes.sweep(now) }
