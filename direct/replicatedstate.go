package direct

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"almondstile/contract"
	"almondstile/evidence"
	"almondstile/notice"
	"almondstile/quota"
	"almondstile/request"
	"almondstile/retry"
	"almondstile/rollout/replica"
	"almondstile/room"
	"almondstile/tally"
	"almondstile/work"
)

// ReplicaFleet provides what the replicas of quotas and retry budgets need to know of the
// other VMs.
type ReplicaFleet interface {
	quota.Fleet
	retry.Fleet
}

// ReplicatedState is this VM's replica of the state that all VMs share by
// exchanging counters.
type ReplicatedState struct {
	Servers      evidence.ServerStats
	Services     evidence.ServiceStats
	Routes       evidence.RouteLatencies
	Costs        work.Costs
	Quota        *quota.ReplicatedBuckets
	RetryBudgets *retry.ReplicatedBudgets
	Crashes      crashTracker
	Notices      notice.Board
	Room         room.Gate
	// Rollouts is nil in a deployment without roll-outs. It must be set before the first
	// request and the first counts of other VMs.
	Rollouts *replica.Rollouts
	// configured is the configuration whose rate limits are in use.
	configured atomic.Pointer[contract.Index]
}

// NewReplicatedState returns the state of a process that starts at the given time
// and has received no counters yet.
func NewReplicatedState(now time.Time, fleet ReplicaFleet, budget retry.BudgetLimits) *ReplicatedState {
	return &ReplicatedState{Quota: quota.NewReplicatedBuckets(now, fleet), RetryBudgets: retry.NewReplicatedBudgets(now, fleet, budget)}
}

// Configure applies the teams' rate limits of a configuration. It does nothing for
// nil or the configuration that was applied last.
func (s *ReplicatedState) Configure(now time.Time, index *contract.Index) {
	if index != nil && s.configured.Swap(index) != index {
		s.Quota.SetRateLimits(now, index.Configuration().Teams)
		s.Room.Demand.SetEntitlements(now, index.Configuration().Teams)
	}
}

// Observe implements tally.Observer: it adds the counts of another VM to the state.
// resent is true for counts that this VM gets again after a gap in messages.
func (s *ReplicatedState) Observe(now time.Time, subject tally.Subject, counts tally.Counts, resent bool) {
	switch subject.Kind() {
	case tally.Server:
		s.Servers.RecordRemoteCounts(now, subject, counts)
	case tally.Team:
		s.Quota.RecordRemoteAdmissions(now, subject, counts[tally.Admitted], resent)
		if !resent { // those were made a while ago
			s.Room.Demand.Record(now, subject, counts[tally.Admitted])
		}
	case tally.Service:
		s.RetryBudgets.RecordSends(now, subject, counts[tally.FirstAttempts], counts[tally.Retries])
		if !resent {
			s.Room.RecordRemote(now, subject, counts)
			s.Services.Record(now, subject, evidence.ServiceRequests{
				Sent: counts[tally.FirstAttempts], Failed: counts[tally.Unserved], TurnedAway: counts[tally.TurnedAway],
			})
		}
		s.Rollouts.ObserveSends(now, subject, counts[tally.FirstAttempts]+counts[tally.Retries])
	case tally.Route:
		s.Routes.RecordResponses(now, subject, counts[tally.GoodResponses], counts[tally.LatencyMillis])
	case tally.Cost:
		s.Costs.Record(now, subject, counts)
	case tally.Fingerprint:
		s.Crashes.add(now, subject, int(counts[tally.Crashes]))
	case tally.Incarnation:
		s.Notices.RecordRemote(now, subject, counts, resent)
	case tally.Rollout, tally.Sample, tally.FailedSample, tally.RolloutLoad:
		s.Rollouts.Observe(now, subject, counts)
	}
}

// counters records the events of this VM in its replica of the state and in the
// ledger, which sends them to the other VMs.
type counters struct {
	state  *ReplicatedState
	ledger *tally.Ledger
}

// recordStart counts an attempt that is sent to the server.
func (c counters) recordStart(now time.Time, server tally.Subject, x expectation) {
	c.state.Servers.RecordStart(now, server, x.estimate.Relative)
	if x.byCost {
		c.state.Servers.SetIncarnation(server, x.startedAt)
	}
	c.ledger.AddCounts(now, server, tally.Counts{tally.Started: 1, tally.WorkTenths: x.workTenths()})
}

// recordResult records the result of an attempt and, if it succeeded, its latency.
func (c counters) recordResult(now time.Time, server, route tally.Subject, x expectation, result evidence.Result, latency time.Duration) {
	ofRoute := c.state.Routes.TypicalLatency(route)
	relativeLatency := evidence.RelativeLatencyPercent(latency, ofRoute)
	if x.byCost {
		relativeLatency = evidence.SlownessPercent(work.SlownessRatio(latency, x.estimate, x.wait, ofRoute))
	}
	c.state.Servers.RecordResult(now, server, result, x.estimate.Relative, relativeLatency)
	switch result {
	case evidence.Success:
		c.ledger.AddCounts(now, server, tally.Counts{tally.Succeeded: 1, tally.RelativeLatencyPercent: relativeLatency})
		millis := uint64(latency.Milliseconds())
		c.state.Routes.RecordResponses(now, route, 1, millis)
		if rand.Float64() < c.state.Routes.ReportProbability(route) {
			c.ledger.AddCounts(now, route, tally.Counts{tally.GoodResponses: 1, tally.LatencyMillis: millis})
		}
		if x.showsCost {
			c.recordCost(now, x.kind.Subject(), latency)
			c.recordCost(now, work.ServiceSubject(x.kind.Service), latency)
		}
	case evidence.Failure:
		c.ledger.Add(now, server, tally.Failed, 1)
	case evidence.Refused:
		c.ledger.Add(now, server, tally.Refused, 1)
	case evidence.Canceled:
		c.ledger.Add(now, server, tally.Canceled, 1)
	}
}

// recordCost records the latency of a response that did not wait for a slot, for its kind
// or its service.
func (c counters) recordCost(now time.Time, subject tally.Subject, latency time.Duration) {
	sample := work.Sample(latency)
	report := rand.Float64() < c.state.Costs.ReportProbability(subject)
	c.state.Costs.Record(now, subject, sample)
	if report {
		c.ledger.AddCounts(now, subject, sample)
	}
}

// recordSuspectedFailure counts a failure of an attempt that is still in flight.
func (c counters) recordSuspectedFailure(now time.Time, server tally.Subject) {
	c.state.Servers.RecordSuspectedFailure(now, server)
	c.ledger.Add(now, server, tally.Failed, 1)
}

// recordFirstAttempt counts the first attempt of a request for the retry budget.
func (c counters) recordFirstAttempt(now time.Time, service contract.ServiceID) {
	subject := tally.SubjectOf(tally.Service, string(service))
	c.state.RetryBudgets.RecordFirstAttempt(now, service)
	c.state.Services.Record(now, subject, evidence.ServiceRequests{Sent: 1})
	c.ledger.Add(now, subject, tally.FirstAttempts, 1)
}

// recordUnserved counts a request that was not served: turned away before it was sent to a
// server, or failed after that.
func (c counters) recordUnserved(now time.Time, service contract.ServiceID, sent bool) {
	field, n := tally.TurnedAway, evidence.ServiceRequests{TurnedAway: 1}
	if sent {
		field, n = tally.Unserved, evidence.ServiceRequests{Failed: 1}
	}
	subject := tally.SubjectOf(tally.Service, string(service))
	c.state.Services.Record(now, subject, n)
	c.ledger.Add(now, subject, field, 1)
}

// spendRetry takes a retry out of the service's budget and reports whether the
// budget allowed it. share is the connected share of this VM, and reserve the part of the
// budget to leave to others, both from 0 to 1.
func (c counters) spendRetry(now time.Time, service contract.ServiceID, share, reserve float64) bool {
	if !c.state.RetryBudgets.Spend(now, service, share, reserve) {
		return false
	}
	c.ledger.Add(now, tally.SubjectOf(tally.Service, string(service)), tally.Retries, 1)
	return true
}

// admit takes a token out of the team's bucket if there is one. The decision says
// whether the request is admitted.
func (c counters) admit(now time.Time, team *contract.Team) quota.Decision {
	decision := c.state.Quota.Admit(now, team)
	if decision.Admitted {
		subject := tally.SubjectOf(tally.Team, string(team.ID))
		c.ledger.Add(now, subject, tally.Admitted, 1)
		c.state.Room.Demand.Record(now, subject, 1)
		if decision.NearLimit() {
			c.ledger.Add(now, subject, tally.AdmittedNearLimit, 1)
		}
	}
	return decision
}

// recordCrash counts a server that crashed while it executed the request with the
// fingerprint.
func (c counters) recordCrash(now time.Time, f request.Fingerprint) {
	subject := tally.SubjectOf(tally.Fingerprint, string(f))
	c.state.Crashes.add(now, subject, 1)
	c.ledger.Add(now, subject, tally.Crashes, 1)
}

// recordLimitedSend counts a request that is about to be sent to an incarnation of a
// server, if the incarnation states a limit.
func (c counters) recordLimitedSend(now time.Time, incarnation tally.Subject) {
	if c.state.Notices.RecordSend(incarnation) {
		c.ledger.Add(now, incarnation, tally.LimitedSends, 1)
	}
}

// recordNotice records what a server stated about itself.
func (c counters) recordNotice(now time.Time, incarnation tally.Subject, n notice.Notice) notice.Change {
	change := c.state.Notices.Record(now, incarnation, n)
	if counts := notice.Counters(n, change); counts != (tally.Counts{}) {
		c.ledger.AddCounts(now, incarnation, counts)
	}
	return change
}

// Sweep deletes the counts of crashes whose quarantine has expired, old notices, and the
// statistics of servers and routes that are not used any more.
func (s *ReplicatedState) Sweep(now time.Time) {
	s.Servers.Sweep(now)
	s.Services.Sweep(now)
	s.Routes.Sweep(now)
	s.Costs.Sweep(now)
	s.Crashes.sweep(now)
	s.Notices.Sweep(now)
	s.Room.Sweep(now)
}
