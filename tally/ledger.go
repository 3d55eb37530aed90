package tally

import (
	"time"

	"almondstile/shard"
)

// Observer takes in what happened at other VMs. missed says that it happened
// while this VM could not hear of it.
type Observer interface {
	Observe(now time.Time, subject Subject, delta Counts, missed bool)
}

const (
	// zoneSends and remoteSends are how often a relay sends a change inside the
	// zone and to other zones, ownSends how often another VM sends its own. Two
	// relays pass on each change, so one lost datagram delays nothing.
	ownSends    = 2
	zoneSends   = 1
	remoteSends = 1
	// startSlack is by how much uptimes of VMs that started together differ when
	// they are compared.
	startSlack = 300 * time.Millisecond
	// settledUptime is the uptime from which a VM hears of each change, so that
	// totals which it sees first have just changed.
	settledUptime = 2 * time.Second
	// originIdle is how long the totals of a silent origin are kept.
	originIdle = 60 * time.Second
)

// entry is what is known of one record and whether it must be sent on.
type entry struct {
	record      Record
	zoneSends   int
	remoteSends int
	// urgentZone and urgentRemote say that the change must not wait for the next
	// regular message.
	urgentZone, urgentRemote bool
	// missedZone and missedRemote say that receivers did not hear of the change
	// when it was made.
	missedZone, missedRemote bool
	// changed is the time since the start of the ledger at the last change.
	changed time.Duration
}

func (e *entry) hasten() { e.urgentZone, e.urgentRemote = true, true }

// Ledger holds the totals of this VM and the last totals of all others.
type Ledger struct {
	self     Origin
	started  time.Time
	observer Observer
	// urgent is called when a failure was counted or heard of, which others
	// should know before they send to the same server.
	urgent  func()
	entries shard.Map[string, *entry] // by origin and subject
	// pending holds the keys of entries with sends left. Its locks are taken
	// before those of entries.
	pending shard.Map[string, struct{}]
	origins shard.Map[Origin, *originState]
}

type originState struct {
	lastHeard time.Time
}

// NewLedger returns an empty ledger of a process that starts now. urgent is
// called, without blocking, when there is news that must not wait; it may be nil.
func NewLedger(now time.Time, self Origin, observer Observer, urgent func()) *Ledger {
	if urgent == nil {
		urgent = func() {}
	}
	return &Ledger{started: now, self: self, observer: observer, urgent: urgent}
}

// isUrgent reports whether counts hold news that must not wait: a server's
// failure, or that a team's tokens run out.
func isUrgent(s Subject, delta Counts) bool {
	switch s.Kind() {
	case Server:
		return delta[Failed] > 0
	case Team:
		return delta[AdmittedNearLimit] > 0
	default:
		return s.Kind() == Fingerprint
	}
}

// Add counts something at this VM.
func (l *Ledger) Add(now time.Time, s Subject, f Field, n uint32) {
	key := string(l.self) + string(s)
	var delta Counts
	delta[f] = n
	urgent := isUrgent(s, delta)
	l.entries.Do(key, newEntry, func(e *entry) {
		e.record.Origin, e.record.Subject = l.self, s
		e.record.Counts[f] += n
		e.record.Uptime = now.Sub(l.started)
		e.changed = e.record.Uptime
		e.zoneSends, e.remoteSends = ownSends, remoteSends
		if urgent {
			e.hasten()
		}
	})
	l.pending.Store(key, struct{}{})
	if urgent {
		l.urgent()
	}
}

// Heard notes that a process of another VM lives.
func (l *Ledger) RecordActivity(now time.Time, o Origin) {
	l.origins.Do(o, func() *originState { return &originState{} }, func(s *originState) {
		s.lastHeard = now
	})
}

// Onward says where merged records have to be passed on to.
type Forwarding struct {
	Zone, OtherZones bool
	// Told says that all VMs of the zone got the records from another relay.
	DeliveredInZone bool
}

// Merge takes in records of other VMs.
func (l *Ledger) Merge(now time.Time, records []Record, onward Forwarding) {
	for _, r := range records {
		if r.Origin != l.self {
			l.merge(now, r, onward)
		}
	}
}

func (l *Ledger) merge(now time.Time, r Record, onward Forwarding) {
	key := string(r.Origin) + string(r.Subject)
	l.RecordActivity(now, r.Origin)
	history := l.historyOf(now, r)
	var delta Counts
	newer := false
	l.entries.Update(key, func(e *entry, exists bool) (*entry, bool) {
		if !exists {
			e = &entry{}
			e.record.Counts = history
			newer = true
		}
		d, ok := r.Counts.minus(e.record.Counts)
		if ok && onward.DeliveredInZone {
			e.zoneSends, e.urgentZone = 0, false
		}
		if !ok || (exists && d == Counts{}) {
			return e, true
		}
		delta, newer = d, true
		e.record, e.changed = r, now.Sub(l.started)
		e.missedZone, e.missedRemote = r.Missed, r.Missed
		if onward.Zone {
			e.zoneSends = zoneSends
		}
		if onward.OtherZones {
			e.remoteSends = remoteSends
		}
		if isUrgent(r.Subject, delta) {
			e.hasten()
		}
		return e, true
	})
	if newer && (onward.Zone || onward.OtherZones) {
		l.pending.Store(key, struct{}{})
		if isUrgent(r.Subject, delta) {
			l.urgent()
		}
	}
	if newer && delta != (Counts{}) {
		l.observer.Observe(now, r.Subject, delta, r.Missed)
	}
}

// historyOf returns the part of totals that are seen for the first time which had
// happened before this process could hear of it: nothing of an origin that is as
// young as this one, else all. Only an admission that a settled VM hears of is
// new, the last one: missing it would let the team have one more for each origin.
func (l *Ledger) historyOf(now time.Time, r Record) Counts {
	uptime := now.Sub(l.started)
	if r.Uptime <= uptime+startSlack {
		return Counts{}
	}
	history := r.Counts
	if r.Subject.Kind() == Team && uptime >= settledUptime && history[Admitted] > 0 {
		history[Admitted]--
	}
	return history
}

// Scope says which records to take: all changed ones or the urgent ones only.
type Scope int

// The scopes.
const (
	AllChanged Scope = iota
	UrgentOnly
)

// Own returns this VM's changed records that were not sent often enough.
func (l *Ledger) DequeueOwn(scope Scope) []Record {
	return l.take(func(e *entry) (missed, wanted bool) {
		if e.record.Origin != l.self {
			return false, false
		}
		return e.forZone(scope)
	})
}

// DequeueForZone returns all changed records for the VMs of the zone.
func (l *Ledger) DequeueForZone(scope Scope) []Record {
	return l.take(func(e *entry) (missed, wanted bool) { return e.forZone(scope) })
}

// DequeueForOtherZones returns the changed records of this zone for other zones.
func (l *Ledger) DequeueForOtherZones(scope Scope) []Record {
	return l.take(func(e *entry) (missed, wanted bool) {
		return useUp(scope, &e.remoteSends, &e.urgentRemote, &e.missedRemote)
	})
}

func (e *entry) forZone(scope Scope) (missed, due bool) {
	return useUp(scope, &e.zoneSends, &e.urgentZone, &e.missedZone)
}

// useUp counts a send and reports whether it is due, and of a change that its
// receivers missed.
func useUp(scope Scope, sends *int, urgent, missed *bool) (wasMissed, due bool) {
	if *sends == 0 || scope == UrgentOnly && !*urgent {
		return false, false
	}
	wasMissed = *missed
	*sends--
	*urgent = false
	*missed = wasMissed && *sends > 0
	return wasMissed, true
}

// take returns the records that are wanted now.
func (l *Ledger) take(wanted func(*entry) (missed, due bool)) []Record {
	var out []Record
	l.pending.Range(func(key string, _ struct{}) (keep bool) {
		l.entries.DoExisting(key, func(e *entry) {
			if missed, due := wanted(e); due {
				r := e.record
				r.Missed = missed
				out = append(out, r)
			}
			keep = e.zoneSends > 0 || e.remoteSends > 0
		})
		return keep
	})
	return out
}

// Sweep forgets origins that were silent for long.
func (l *Ledger) Sweep(now time.Time) {
	silent := make(map[Origin]bool)
	l.origins.Range(func(o Origin, s *originState) bool {
		if now.Sub(s.lastHeard) < originIdle {
			return true
		}
		silent[o] = true
		return false
	})
	l.entries.Range(func(_ string, e *entry) bool { return !silent[e.record.Origin] })
}

func newEntry() *entry { return &entry{} }
