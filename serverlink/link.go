package serverlink

import (
	"slices"
	"time"

	"almondstile/vm"
)

// State says which way exchanges with a server take.
type State string

// The states of a link.
const (
	// Direct links work as far as known.
	Direct State = "direct"
	// Suspect links failed; exchanges over a relay find out whose fault it was.
	Suspect State = "suspect"
	// Relayed links are bad: the server answered over a relay.
	Relayed State = "relayed"
)

const (
	// trialWait is how long a suspicion waits for an idempotent request before
	// others are sent over the relay too. They run once on either way; an
	// idempotent one can be repeated if the untested relay loses it.
	// After trialFailures failures there is nothing to wait for.
	trialWait     = 250 * time.Millisecond
	trialFailures = 3
	// firstStay is the time on the relay before the direct way is tried again.
	// It doubles with each failed try, so that a long cut costs few requests a
	// part of their time.
	firstStay = 2 * time.Second
	maxStay   = time.Minute
	// probeWait is how much longer the direct way waits for an idempotent
	// request before another one tries it.
	probeWait = 5 * time.Second
	// probeMargin is added to the deadline of a probe whose end was not told.
	probeMargin = time.Second
	// firstBlame is the time after a blame in which failures count against the
	// server at once. It doubles with each blame in a row, because trials over
	// relays take time of requests that a dead server cannot answer anyway.
	firstBlame = time.Second
	maxBlame   = 30 * time.Second
	// relayPause is how long a relay that failed is not used for the server.
	relayPause = 4 * time.Second
	// memory is how long a link that works again is remembered, so that a
	// flapping link stays on the relay longer each time. It is short, because a
	// server that now and then misses a deadline looks alike.
	memory = 10 * time.Second
	// maxWithheld bounds the failures kept per server; later ones are evidence
	// at once. It is above trialFailures and the few slots of a server, whose
	// attempts may be running when the suspicion begins.
	maxWithheld = 16
	// replyMargin is kept of a relayed attempt's time for the relay's reply, at
	// most replyShare of it: otherwise the relay's word that the server is
	// silent would always come too late. Zones are 1.5 ms apart.
	replyMargin = 25 * time.Millisecond
	replyShare  = 8
	// maxDoublings keeps the shifts below the width of a Duration.
	maxDoublings = 10
)

// Link is the record of the link to one server. It is guarded by the lock of
// its shard.
type Link struct {
	state State
	since time.Time
	cause Evidence
	// withheld are the failures since the suspicion began.
	withheld []Evidence
	relay    vm.ID
	// avoid holds the relays that failed lately, with the end of the pause.
	avoid map[vm.ID]time.Time
	// relayFailures counts the failures at the server over relays in a row.
	relayFailures int
	// directAt is when the direct way is tried again; stays counts the times
	// that it was found bad.
	directAt time.Time
	stays    int
	// probeUntil is the end of the running probe.
	probeUntil time.Time
	// blameUntil is the end of the time without suspicions.
	blameUntil time.Time
	blames     int
}

func doubled(first, most time.Duration, times int) time.Duration {
	return min(first<<min(times, maxDoublings), most)
}

// plan chooses the way of the next attempt; ok is false if there is none.
func (l *Link) plan(now time.Time, ask Ask) (a Attempt, ok bool) {
	a = Attempt{Deadline: ask.Deadline, started: now}
	relay, found := l.pick(now, ask.Relays)
	switch {
	case ask.DirectFailed:
		return a.over(relay), found && l.state != Direct
	case !found, l.state == Direct:
	case l.state == Suspect && !ask.Idempotent && l.trialCanWait(now):
	case l.state == Relayed && l.probeDue(now, ask.Idempotent):
		a.Probe = true
		if ask.Idempotent {
			a.Deadline = now.Add(ask.Deadline.Sub(now) / 2)
		}
		l.probeUntil = a.Deadline.Add(probeMargin)
	default:
		return a.over(relay), true
	}
	return a, true
}

func (l *Link) trialCanWait(now time.Time) bool {
	return now.Sub(l.since) < trialWait && len(l.withheld) < trialFailures
}

// over sends the attempt over a relay.
func (a Attempt) over(relay vm.ID) Attempt {
	a.Relay = relay
	a.Deadline = a.Deadline.Add(-min(replyMargin, a.Deadline.Sub(a.started)/replyShare))
	return a
}

// pick stays with the relay in use and otherwise takes the best that did not
// fail lately.
func (l *Link) pick(now time.Time, relays []vm.ID) (vm.ID, bool) {
	usable := func(id vm.ID) bool { return !now.Before(l.avoid[id]) }
	if l.relay != "" && usable(l.relay) && slices.Contains(relays, l.relay) {
		return l.relay, true
	}
	i := slices.IndexFunc(relays, usable)
	if i < 0 {
		return "", false
	}
	return relays[i], true
}

// probeDue reports whether the next request tries the direct way: one at a
// time, and an idempotent one if there is any.
func (l *Link) probeDue(now time.Time, idempotent bool) bool {
	due := l.directAt
	if !idempotent {
		due = due.Add(probeWait)
	}
	return !now.Before(due) && !now.Before(l.probeUntil)
}

// directEnded records a direct attempt. A failure is withheld only if one of
// the relays can tell the link's faults from the server's.
func (l *Link) directEnded(now time.Time, a Attempt, e Evidence, relays []vm.ID) Verdict {
	if a.Probe {
		l.probeUntil = time.Time{}
	}
	switch {
	case e == Heard, e == Refused:
		return l.directWorked(now, a)
	case !e.Failed():
		if a.Probe {
			l.directAt = now.Add(firstStay)
		}
		return Verdict{Withhold: l.state != Direct}
	case a.Probe && l.state == Relayed:
		l.stay(now)
		return Verdict{Withhold: true, Change: ProbeFailed}
	case l.state == Relayed:
		// Unless the attempt began before the link was found bad, no relay was
		// usable, and nothing can tell whose fault the failure is.
		return Verdict{Withhold: !a.started.After(l.since)}
	case l.state == Direct && now.Before(l.blameUntil), len(l.withheld) >= maxWithheld:
		return Verdict{}
	}
	if _, ok := l.pick(now, relays); !ok {
		return Verdict{Released: l.takeWithheld()}
	}
	return l.suspect(now, e)
}

func (l *Link) suspect(now time.Time, e Evidence) Verdict {
	verdict := Verdict{Withhold: true}
	if l.state == Direct {
		l.state, l.since, l.cause = Suspect, now, e
		verdict.Change = Suspected
	}
	l.withheld = append(l.withheld, e)
	return verdict
}

// directWorked ends a suspicion or the use of a relay, unless the attempt began
// before. A failure that was withheld was then not the link's.
func (l *Link) directWorked(now time.Time, a Attempt) Verdict {
	l.blames, l.blameUntil = 0, time.Time{}
	if l.state == Direct || a.started.Before(l.since) {
		return Verdict{}
	}
	l.state, l.since, l.relay, l.relayFailures = Direct, now, "", 0
	return Verdict{Released: l.takeWithheld(), Change: Restored}
}

// relayEnded records an attempt over a relay.
func (l *Link) relayEnded(now time.Time, a Attempt, e Evidence) Verdict {
	switch {
	case e == RelayFailed:
		l.avoidRelay(now, a.Relay)
		return Verdict{Withhold: true, Change: RelaySwitched}
	case e == Heard:
		return l.relayWorked(now, a)
	case !e.Failed():
		// A refused connection blames the process; the link stays as judged.
		return Verdict{}
	}
	return l.relayFailedToo(now, a)
}

func (l *Link) relayWorked(now time.Time, a Attempt) Verdict {
	l.relayFailures = 0
	if l.state != Suspect {
		return Verdict{}
	}
	l.state, l.since, l.relay = Relayed, now, a.Relay
	l.blames, l.withheld = 0, nil
	l.stay(now)
	return Verdict{Change: Relaying}
}

// relayFailedToo blames the server. On a bad link another relay is next, and
// after two failures in a row the direct way, in case only the relays' links
// are bad by now.
func (l *Link) relayFailedToo(now time.Time, a Attempt) Verdict {
	l.avoidRelay(now, a.Relay)
	switch l.state {
	case Suspect:
		l.state, l.since, l.relay = Direct, now, ""
		l.blameUntil = now.Add(doubled(firstBlame, maxBlame, l.blames))
		l.blames++
		return Verdict{Released: l.takeWithheld(), Change: ServerBlamed}
	case Relayed:
		l.relayFailures++
		if l.relayFailures == 2 && l.directAt.After(now) {
			l.directAt = now
		}
		return Verdict{Change: RelaySwitched}
	}
	return Verdict{}
}

// stay sets the time on the relay before the direct way is tried again.
func (l *Link) stay(now time.Time) {
	l.directAt = now.Add(doubled(firstStay, maxStay, l.stays))
	l.stays++
}

func (l *Link) avoidRelay(now time.Time, relay vm.ID) {
	for id, until := range l.avoid {
		if !now.Before(until) {
			delete(l.avoid, id)
		}
	}
	if l.avoid == nil {
		l.avoid = make(map[vm.ID]time.Time)
	}
	l.avoid[relay] = now.Add(relayPause)
	if l.relay == relay {
		l.relay = ""
	}
}

func (l *Link) takeWithheld() []Evidence {
	taken := l.withheld
	l.withheld = nil
	return taken
}

// forgettable reports whether the record no longer matters.
func (l *Link) forgettable(now time.Time) bool {
	return l.state == Direct && !now.Before(l.blameUntil) && now.Sub(l.since) >= memory
}
