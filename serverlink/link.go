package serverlink

import (
	"slices"
	"time"

	"almondstile/vm"
)

// State is the state of a link. It decides which path exchanges with the server
// take.
type State string

// The states of a link.
const (
	// Direct means that the link works as far as known.
	Direct State = "direct"
	// Suspect means that a direct attempt failed. Exchanges over a relay test
	// whether the link or the server is at fault.
	Suspect State = "suspect"
	// Relayed means that the link is bad: direct attempts failed and the server
	// responded over a relay.
	Relayed State = "relayed"
)

const (
	// relayTestWait is how long a suspect link leaves the test of the relay to
	// idempotent requests, which can be retried if the untested relay loses
	// them. Other requests are executed at most once on either path and cannot
	// be retried. They stay on the direct path until this time has passed or
	// relayTestFailures failures were deferred.
	relayTestWait     = 250 * time.Millisecond
	relayTestFailures = 3
	// firstRelayPeriod is how long exchanges stay on the relay before the first
	// probe of the direct path. The period doubles with each failed probe up to
	// maxRelayPeriod, because each failed probe costs a request a part of its
	// time.
	firstRelayPeriod = 2 * time.Second
	maxRelayPeriod   = time.Minute
	// nonIdempotentProbeDelay is how long a due probe waits for an idempotent
	// request before a non-idempotent one may be the probe.
	nonIdempotentProbeDelay = 5 * time.Second
	// probeMargin is the time after the deadline of a probe at which another
	// probe may start although the result of the first one was not recorded.
	probeMargin = time.Second
	// firstServerFaultPeriod is how long failures count against the server
	// immediately after a test over a relay found it at fault. The period doubles
	// with each such test in a row up to maxServerFaultPeriod, because tests over
	// relays cost time of requests that a dead server cannot respond to anyway.
	firstServerFaultPeriod = time.Second
	maxServerFaultPeriod   = 30 * time.Second
	// relayAvoidPeriod is how long a relay is not used for the server after an
	// exchange over it failed.
	relayAvoidPeriod = 4 * time.Second
	// recoveredRetention is how long the record of a link is kept after the link
	// became direct again. A flapping link thereby keeps its count of relay
	// periods and stays on the relay longer each time. The time is short, because
	// a server that occasionally misses a deadline looks like a flapping link.
	recoveredRetention = 10 * time.Second
	// maxDeferred is the largest number of deferred failures of a server. Further
	// failures count against it immediately. It is larger than relayTestFailures
	// plus the few slots of a server, because an attempt may be in flight on each
	// slot when the link becomes suspect.
	maxDeferred = 16
	// replyMargin is the part of a relayed attempt's time that is reserved for the
	// relay's reply, but at most 1/replyMarginDivisor of that time. Without it, a
	// relay's report that the server is silent would always arrive after the
	// deadline. The delay between zones is 1.5 ms.
	replyMargin        = 25 * time.Millisecond
	replyMarginDivisor = 8
	// maxDoublings prevents an overflow of time.Duration in backoff.
	maxDoublings = 10
)

// Link is the record of the link to one server. The lock of its shard in Links
// guards it.
type Link struct {
	state      State
	stateSince time.Time
	cause      Evidence // the failure that made the link suspect
	// deferred holds the failures of direct attempts since the link became
	// suspect. They are counted against the server or dropped once the cause is
	// known.
	deferred []Evidence
	relay    vm.ID // the relay in use, if any
	// avoidUntil holds the relays that failed recently, each with the time until
	// which it is not used.
	avoidUntil map[vm.ID]time.Time
	// relayFailures is the number of consecutive exchanges over relays that got
	// nothing from the server while the link was relayed.
	relayFailures int
	// nextProbeAt is when the next probe is due. relayPeriods is the number of
	// relay periods so far: one for each time the direct path was found bad.
	nextProbeAt  time.Time
	relayPeriods int
	// probeEndsBy is the latest end of the probe in flight; zero if there is none.
	probeEndsBy time.Time
	// serverFaultUntil is the time until which failures count against the server
	// immediately and do not make the link suspect. serverFaults is the number of
	// consecutive tests that found the server at fault.
	serverFaultUntil time.Time
	serverFaults     int
}

// backoff returns first, doubled the given number of times, but at most limit.
func backoff(first, limit time.Duration, doublings int) time.Duration {
	return min(first<<min(doublings, maxDoublings), limit)
}

// plan chooses the path of the next attempt. ok is false if no path is left. Unless
// the request already failed on the direct path, the attempt is direct if the link is
// direct, if no relay is usable, if a suspect link leaves the test of the relay to an
// idempotent request, or if a probe is due. All other attempts go over a relay.
func (l *Link) plan(now time.Time, input PlanInput) (a Attempt, ok bool) {
	a = Attempt{Deadline: input.Deadline, started: now}
	relay, found := l.pickRelay(now, input.Relays)
	switch {
	case input.DirectFailed:
		return a.overRelay(relay), found && l.state != Direct
	case !found, l.state == Direct:
	case l.state == Suspect && !input.Idempotent && l.relayTestCanWait(now):
	case l.state == Relayed && l.probeDue(now, input.Idempotent):
		a.Probe = true
		if input.Idempotent {
			a.Deadline = now.Add(input.Deadline.Sub(now) / 2)
		}
		l.probeEndsBy = a.Deadline.Add(probeMargin)
	default:
		return a.overRelay(relay), true
	}
	return a, true
}

// relayTestCanWait reports whether a suspect link still leaves the test of the relay
// to idempotent requests.
func (l *Link) relayTestCanWait(now time.Time) bool {
	return now.Sub(l.stateSince) < relayTestWait && len(l.deferred) < relayTestFailures
}

// overRelay returns the attempt with the given relay. Its deadline is earlier by the
// time reserved for the relay's reply.
func (a Attempt) overRelay(relay vm.ID) Attempt {
	a.Relay = relay
	a.Deadline = a.Deadline.Add(-min(replyMargin, a.Deadline.Sub(a.started)/replyMarginDivisor))
	return a
}

// pickRelay returns the relay in use if it is still among relays. Otherwise it
// returns the first of relays that did not fail recently.
func (l *Link) pickRelay(now time.Time, relays []vm.ID) (vm.ID, bool) {
	usable := func(id vm.ID) bool { return !now.Before(l.avoidUntil[id]) }
	if l.relay != "" && usable(l.relay) && slices.Contains(relays, l.relay) {
		return l.relay, true
	}
	i := slices.IndexFunc(relays, usable)
	if i < 0 {
		return "", false
	}
	return relays[i], true
}

// probeDue reports whether the next request is a probe of the direct path. Only one
// probe is in flight at a time. Idempotent requests may probe earlier than others.
func (l *Link) probeDue(now time.Time, idempotent bool) bool {
	due := l.nextProbeAt
	if !idempotent {
		due = due.Add(nonIdempotentProbeDelay)
	}
	return !now.Before(due) && !now.Before(l.probeEndsBy)
}

// recordDirect records the result of a direct attempt. A failure is deferred only if
// a relay is usable that can show whether the link or the server is at fault.
func (l *Link) recordDirect(now time.Time, a Attempt, e Evidence, relays []vm.ID) AttemptResult {
	if a.Probe {
		l.probeEndsBy = time.Time{}
	}
	switch {
	case e == ServerResponded, e == Refused:
		return l.directSucceeded(now, a)
	case !e.Failed():
		if a.Probe {
			l.nextProbeAt = now.Add(firstRelayPeriod)
		}
		return AttemptResult{Deferred: l.state != Direct}
	case a.Probe && l.state == Relayed:
		l.startRelayPeriod(now)
		return AttemptResult{Deferred: true, Change: ProbeFailed}
	case l.state == Relayed:
		// The link is at fault if the attempt started before it was found bad. A
		// later attempt without probe was sent directly because no relay was
		// usable, so its failure counts against the server.
		return AttemptResult{Deferred: !a.started.After(l.stateSince)}
	case l.state == Direct && now.Before(l.serverFaultUntil), len(l.deferred) >= maxDeferred:
		return AttemptResult{}
	}
	if _, ok := l.pickRelay(now, relays); !ok {
		return AttemptResult{CountNow: l.takeDeferred()}
	}
	return l.deferFailure(now, e)
}

// deferFailure records a failure of unknown cause and makes a direct link suspect.
func (l *Link) deferFailure(now time.Time, e Evidence) AttemptResult {
	verdict := AttemptResult{Deferred: true}
	if l.state == Direct {
		l.state, l.stateSince, l.cause = Suspect, now, e
		verdict.Change = Suspected
	}
	l.deferred = append(l.deferred, e)
	return verdict
}

// directSucceeded makes the link direct, unless the attempt started before the link
// changed its state. If the link was suspect, its deferred failures were not caused
// by the link and are counted against the server.
func (l *Link) directSucceeded(now time.Time, a Attempt) AttemptResult {
	l.serverFaults, l.serverFaultUntil = 0, time.Time{}
	if l.state == Direct || a.started.Before(l.stateSince) {
		return AttemptResult{}
	}
	l.state, l.stateSince, l.relay, l.relayFailures = Direct, now, "", 0
	return AttemptResult{CountNow: l.takeDeferred(), Change: Restored}
}

// recordRelayed records the result of an attempt over a relay.
func (l *Link) recordRelayed(now time.Time, a Attempt, e Evidence) AttemptResult {
	switch {
	case e == RelayFailed:
		l.avoidRelay(now, a.Relay)
		return AttemptResult{Deferred: true, Change: RelaySwitched}
	case e == ServerResponded:
		return l.relayedSucceeded(now, a)
	case !e.Failed():
		// The evidence is Refused, which is a fault of the server's process, or
		// NoEvidence. Neither shows anything about the link, so its state stays.
		return AttemptResult{}
	}
	return l.relayedFailed(now, a)
}

// relayedSucceeded makes a suspect link relayed and drops its deferred failures,
// because the server responded.
func (l *Link) relayedSucceeded(now time.Time, a Attempt) AttemptResult {
	l.relayFailures = 0
	if l.state != Suspect {
		return AttemptResult{}
	}
	l.state, l.stateSince, l.relay = Relayed, now, a.Relay
	l.serverFaults, l.deferred = 0, nil
	l.startRelayPeriod(now)
	return AttemptResult{Change: Relaying}
}

// relayedFailed handles an exchange over a relay that got nothing from the server.
// On a suspect link, the deferred failures are counted against the server, the link
// becomes direct, and further failures count immediately for a while. On a relayed
// link, the next attempt uses another relay. After two failures in a row the direct
// path is probed, in case only the links of the relays are bad now.
func (l *Link) relayedFailed(now time.Time, a Attempt) AttemptResult {
	l.avoidRelay(now, a.Relay)
	switch l.state {
	case Suspect:
		l.state, l.stateSince, l.relay = Direct, now, ""
		l.serverFaultUntil = now.Add(backoff(firstServerFaultPeriod, maxServerFaultPeriod, l.serverFaults))
		l.serverFaults++
		return AttemptResult{CountNow: l.takeDeferred(), Change: ServerBlamed}
	case Relayed:
		l.relayFailures++
		if l.relayFailures == 2 && l.nextProbeAt.After(now) {
			l.nextProbeAt = now
		}
		return AttemptResult{Change: RelaySwitched}
	}
	return AttemptResult{}
}

// startRelayPeriod sets the time of the next probe of the direct path. Each period is
// twice as long as the one before.
func (l *Link) startRelayPeriod(now time.Time) {
	l.nextProbeAt = now.Add(backoff(firstRelayPeriod, maxRelayPeriod, l.relayPeriods))
	l.relayPeriods++
}

// avoidRelay excludes the relay from further use for relayAvoidPeriod, because an
// exchange over it failed. It also deletes the expired entries of other relays.
func (l *Link) avoidRelay(now time.Time, relay vm.ID) {
	for id, until := range l.avoidUntil {
		if !now.Before(until) {
			delete(l.avoidUntil, id)
		}
	}
	if l.avoidUntil == nil {
		l.avoidUntil = make(map[vm.ID]time.Time)
	}
	l.avoidUntil[relay] = now.Add(relayAvoidPeriod)
	if l.relay == relay {
		l.relay = ""
	}
}

// takeDeferred removes and returns the deferred failures.
func (l *Link) takeDeferred() []Evidence {
	taken := l.deferred
	l.deferred = nil
	return taken
}

// removable reports whether the record no longer affects any decision.
func (l *Link) removable(now time.Time) bool {
	return l.state == Direct && !now.Before(l.serverFaultUntil) && now.Sub(l.stateSince) >= recoveredRetention
}
