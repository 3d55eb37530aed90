package tally

import (
	"math"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"almondstile/shard"
)

// Observer receives the changes of other VMs' counts. resent is true if the record
// with the change was sent again after a gap in messages, so that the events may
// have happened a while ago.
type Observer interface {
	Observe(now time.Time, subject Subject, delta Counts, resent bool)
}

const (
	// ownSends is the number of times that a VM sends a change of its own counts in
	// its zone: once, and again with the next message WithRepeats. relayZoneSends and relayRemoteSends are the number of times that a
	// relay sends a change in its zone and to other zones. Two relays forward each
	// change, so the loss of one datagram delays nothing.
	ownSends         = 2
	relayZoneSends   = 1
	relayRemoteSends = 1
	// uptimeTolerance is the largest difference between compared uptimes of VMs that
	// count as started together.
	uptimeTolerance = 300 * time.Millisecond
	// fullDeliveryUptime is the uptime from which a VM receives every change. Totals
	// that it receives for the first time after it have just changed.
	fullDeliveryUptime = 2 * time.Second
	// originRetention is the time for which the totals of a silent origin are kept.
	originRetention = 60 * time.Second
	// silentOriginRetention is the time for which it is remembered that the totals of
	// a silent origin were deleted. It exceeds the longest expected partition by far.
	silentOriginRetention = 24 * time.Hour
	// rolloutRetention is the time for which the totals of a roll-out are kept at least
	// after their last change. It exceeds the longest pause of the requests to one version.
	rolloutRetention = 10 * time.Minute
)

// entry holds the last totals of one origin and subject, and the sends that are
// still due.
type entry struct {
	record          Record
	zoneSendsLeft   int
	remoteSendsLeft int
	// urgentZone and urgentRemote are true if the change must be sent in the zone or
	// to other zones before the next regular message.
	urgentZone, urgentRemote bool
	// resentToZone and resentToRemote are true if the next send repeats a change that
	// did not reach its receivers when it was made.
	resentToZone, resentToRemote bool
	// changedAt is this VM's uptime at the last change.
	changedAt time.Duration
}

// markUrgent makes the change urgent for all receivers.
func (e *entry) markUrgent() { e.urgentZone, e.urgentRemote = true, true }

// Ledger holds the totals of this VM and the last received totals of all others. It
// is safe for concurrent use.
type Ledger struct {
	self     Origin
	started  time.Time
	observer Observer
	// notifyUrgent is called when a change of this VM, or one to forward, is urgent
	// according to isUrgent.
	notifyUrgent func()
	entries      shard.Map[Subject, map[Origin]*entry]
	// pending holds the keys of entries with sends left. Its locks are taken
	// before the locks of entries, and those of origins after them.
	pending shard.Map[entryKey, struct{}]
	origins shard.Map[Origin, *originState]
	// hasRollouts is set while there may be totals of roll-outs, and rolloutsSweptAt is
	// the uptime in nanoseconds at which old ones were last deleted.
	hasRollouts     atomic.Bool
	rolloutsSweptAt atomic.Int64
}

// entryKey is the subject and then the origin of an entry.
type entryKey string

func keyOf(s Subject, o Origin) entryKey { return entryKey(string(s) + string(o)) }

// parts returns the subject and the origin of the key.
func (k entryKey) parts() (Subject, Origin) {
	return Subject(k[:subjectBytes]), Origin(k[subjectBytes:])
}

// updateEntry calls fn with the entry of the origin and the subject while it is locked.
// Without one, it first stores the result of create.
func (l *Ledger) updateEntry(s Subject, o Origin, create func() *entry, fn func(*entry)) {
	l.entries.Do(s, func() map[Origin]*entry { return make(map[Origin]*entry) }, func(byOrigin map[Origin]*entry) {
		e, ok := byOrigin[o]
		if !ok {
			if isOfRollout(s) {
				l.hasRollouts.Store(true)
			}
			e = create()
			byOrigin[e.record.Origin] = e
		}
		fn(e)
	})
}

// existingEntry calls fn with the entry of the key, if there is one, while it is locked.
func (l *Ledger) existingEntry(k entryKey, fn func(*entry)) {
	s, o := k.parts()
	l.entries.DoExisting(s, func(byOrigin map[Origin]*entry) {
		if e, ok := byOrigin[o]; ok {
			fn(e)
		}
	})
}

// retainEntries calls fn for each entry while it is locked, and deletes those for which
// fn returns false.
func (l *Ledger) retainEntries(fn func(*entry) (keep bool)) {
	l.entries.Range(func(_ Subject, byOrigin map[Origin]*entry) bool {
		for o, e := range byOrigin {
			if !fn(e) {
				delete(byOrigin, o)
			}
		}
		return len(byOrigin) > 0
	})
}

// originState holds the time of the last message or record of an origin.
type originState struct {
	lastMessage time.Time
	// totalsDeleted is set if totals of the origin were deleted while it was silent.
	// What of its totals was counted before is not known any more.
	totalsDeleted bool
}

// NewLedger returns an empty ledger of a process that starts now. notifyUrgent is
// called when there are urgent records to send; it must not block and may be nil.
func NewLedger(now time.Time, self Origin, observer Observer, notifyUrgent func()) *Ledger {
	if notifyUrgent == nil {
		notifyUrgent = func() {}
	}
	return &Ledger{started: now, self: self, observer: observer, notifyUrgent: notifyUrgent}
}

// isUrgent reports whether a change must be sent before the next regular message:
// a server's failure, which other VMs should learn of before they send to the same
// server, a team that is near its limit, a server that leaves, a request to a server
// with a limit, a request that crashed a server, a failure of the new version of a
// roll-out, or a verdict on it.
func isUrgent(s Subject, delta Counts) bool {
	switch s.Kind() {
	case Server:
		return delta[Failed] > 0
	case Team:
		return delta[AdmittedNearLimit] > 0
	case Incarnation:
		return delta[Leaving] > 0 || delta[LimitedSends] > 0
	case Rollout:
		return delta[RollBacks] > 0 || delta[Completions] > 0 || delta[Shifts] > 0
	default:
		return s.Kind() == Fingerprint || s.Kind() == FailedSample
	}
}

// remoteSends returns how often a relay sends a change of the subject to other zones.
// Costs stay in their zone: its VMs get samples enough, and bytes between zones are dear.
func remoteSends(s Subject) int {
	if s.Kind() == Cost {
		return 0
	}
	return relayRemoteSends
}

// Add adds n to a field of this VM's own totals of the subject.
func (l *Ledger) Add(now time.Time, s Subject, f Field, n uint64) {
	var delta Counts
	delta[f] = n
	l.AddCounts(now, s, delta)
}

// AddCounts adds to several fields of this VM's own totals of the subject. Other VMs
// get all of them in the same record.
func (l *Ledger) AddCounts(now time.Time, s Subject, delta Counts) {
	urgent := isUrgent(s, delta)
	l.updateEntry(s, l.self, func() *entry { return newEntry(s, l.self) }, func(e *entry) {
		for f := range delta {
			e.record.Counts[f] += delta[f]
		}
		e.record.Uptime = now.Sub(l.started)
		e.changedAt = e.record.Uptime
		e.zoneSendsLeft, e.remoteSendsLeft = ownSends, remoteSends(s)
		if urgent {
			e.markUrgent()
		}
	})
	l.pending.Store(keyOf(s, l.self), struct{}{})
	if urgent {
		l.notifyUrgent()
	}
}

// RecordActivity records that the origin, a process of another VM, is alive at the
// time now.
func (l *Ledger) RecordActivity(now time.Time, o Origin) {
	if l.origins.DoExisting(o, func(s *originState) { s.lastMessage = now }) {
		return
	}
	o = Origin(strings.Clone(string(o))) // o may be part of a whole message
	l.origins.Do(o, func() *originState { return &originState{} }, func(s *originState) { s.lastMessage = now })
}

// Forwarding selects the receivers to which merged records are forwarded.
type Forwarding struct {
	Zone, OtherZones bool
	// DeliveredInZone is true if another relay sends the records to all VMs of the
	// zone, so that this VM need not.
	DeliveredInZone bool
}

// Merge applies records of other VMs: it passes the differences from the last totals
// to the observer and schedules the records for forwarding. It ignores records of
// this VM, and totals that are lower than the last ones because they are older.
func (l *Ledger) Merge(now time.Time, records []Record, forwarding Forwarding) {
	var active Origin
	for _, r := range records {
		if r.Origin == l.self {
			continue
		}
		if r.Origin != active { // the records of an origin stand together
			active = r.Origin
			l.RecordActivity(now, active)
		}
		l.merge(now, r, forwarding)
	}
}

func (l *Ledger) merge(now time.Time, r Record, forwarding Forwarding) {
	var delta Counts
	created, newer := false, false
	create := func() *entry {
		// The strings of a received record are parts of the whole message.
		e := newEntry(Subject(strings.Clone(string(r.Subject))), Origin(strings.Clone(string(r.Origin))))
		e.record.Counts = l.countsBeforeStart(now, r)
		created, newer = true, true
		return e
	}
	l.updateEntry(r.Subject, r.Origin, create, func(e *entry) {
		d, ok := r.Counts.minus(e.record.Counts)
		if ok && forwarding.DeliveredInZone {
			e.zoneSendsLeft, e.urgentZone = 0, false
		}
		if !ok || (!created && d == Counts{}) {
			return
		}
		delta, newer = d, true
		r.Origin, r.Subject = e.record.Origin, e.record.Subject
		e.record, e.changedAt = r, now.Sub(l.started)
		e.resentToZone, e.resentToRemote = r.Resent, r.Resent
		if forwarding.Zone {
			e.zoneSendsLeft = relayZoneSends
		}
		if forwarding.OtherZones {
			e.remoteSendsLeft = remoteSends(r.Subject)
		}
		if isUrgent(r.Subject, delta) {
			e.markUrgent()
		}
	})
	if newer && (forwarding.Zone || forwarding.OtherZones) {
		l.pending.Store(keyOf(r.Subject, r.Origin), struct{}{})
		if isUrgent(r.Subject, delta) {
			l.notifyUrgent()
		}
	}
	if newer && delta != (Counts{}) {
		l.observer.Observe(now, r.Subject, delta, r.Resent)
	}
}

// countsBeforeStart returns, for totals that are received for the first time, the
// part from before this process could receive them. It is zero if the record's
// uptime is at most this process's uptime plus uptimeTolerance, because its origin
// then started no earlier. For an older origin, and for one whose totals were deleted
// while it was silent, it is all of the totals. After
// fullDeliveryUptime, the last admission of a team is excepted: it has just
// happened, and leaving it out would allow the team one extra request per origin.
// Totals of roll-outs begin with an order and are excepted as a whole.
func (l *Ledger) countsBeforeStart(now time.Time, r Record) Counts {
	uptime := now.Sub(l.started)
	if isOfRollout(r.Subject) {
		return Counts{}
	}
	if r.Uptime <= uptime+uptimeTolerance && !l.totalsDeleted(r.Origin) {
		return Counts{}
	}
	before := r.Counts
	if r.Subject.Kind() == Team && uptime >= fullDeliveryUptime && before[Admitted] > 0 {
		before[Admitted]--
	}
	return before
}

// NoLimit is the limit of a send of all records.
const NoLimit = math.MaxInt

// Scope selects the records to dequeue: all changed ones or only the urgent ones.
type Scope int

// The scopes.
const (
	// AllChanged selects changes that were not sent yet.
	AllChanged Scope = iota
	// UrgentOnly selects those of them that don't wait for the next regular message.
	UrgentOnly
	// WithRepeats selects all changes that have sends left.
	WithRepeats
)

// DequeueOwn returns this VM's own changed records that have sends left in its zone, at most
// limit of them, and counts one send of each.
func (l *Ledger) DequeueOwn(scope Scope, limit int) []Record {
	return l.dequeue(limit, func(e *entry) (resent, due bool) {
		repeat := e.zoneSendsLeft < ownSends
		if e.record.Origin != l.self || repeat && scope != WithRepeats {
			return false, false
		}
		return e.consumeZoneSend(scope)
	})
}

// DequeueForZone returns the changed records of all origins that have sends left to
// the VMs of this VM's zone, at most limit of them, and counts one send of each.
func (l *Ledger) DequeueForZone(scope Scope, limit int) []Record {
	return l.dequeue(limit, func(e *entry) (resent, due bool) { return e.consumeZoneSend(scope) })
}

// DequeueForOtherZones returns the changed records of this zone's origins that have
// sends left to other zones, at most limit of them, and counts one send of each.
func (l *Ledger) DequeueForOtherZones(scope Scope, limit int) []Record {
	return l.dequeue(limit, func(e *entry) (resent, due bool) {
		return consumeSend(scope, &e.remoteSendsLeft, &e.urgentRemote, &e.resentToRemote)
	})
}

// consumeZoneSend is consumeSend for a send in the zone.
func (e *entry) consumeZoneSend(scope Scope) (resent, due bool) {
	return consumeSend(scope, &e.zoneSendsLeft, &e.urgentZone, &e.resentToZone)
}

// consumeSend reports whether a send is due within the scope and, if it is, counts
// it. wasResent is true if the send repeats a change that did not reach its
// receivers.
func consumeSend(scope Scope, sendsLeft *int, urgent, resent *bool) (wasResent, due bool) {
	if *sendsLeft == 0 || scope == UrgentOnly && !*urgent {
		return false, false
	}
	wasResent = *resent
	*sendsLeft--
	*urgent = false
	*resent = wasResent && *sendsLeft > 0
	return wasResent, true
}

// dequeue returns the pending records for which consume reports that a send is due, at most
// limit of them, and removes those without sends left from pending. If there may be more, each
// has the same chance, so that none waits for long.
func (l *Ledger) dequeue(limit int, consume func(*entry) (resent, due bool)) []Record {
	var out []Record
	chance := 1.0
	if pending := l.pending.Len(); pending > limit {
		chance = float64(limit) / float64(pending)
	}
	l.pending.Range(func(key entryKey, _ struct{}) (keep bool) {
		if len(out) >= limit || chance < 1 && rand.Float64() >= chance {
			return true
		}
		l.existingEntry(key, func(e *entry) {
			if resent, due := consume(e); due {
				r := e.record
				r.Resent = resent
				out = append(out, r)
			}
			keep = e.zoneSendsLeft > 0 || e.remoteSendsLeft > 0
		})
		return keep
	})
	return out
}

// totalsDeleted reports whether totals of the origin were deleted by Sweep.
func (l *Ledger) totalsDeleted(o Origin) bool {
	deleted := false
	l.origins.DoExisting(o, func(s *originState) { deleted = s.totalsDeleted })
	return deleted
}

// Sweep deletes the totals of origins that were silent for originRetention, and those of
// roll-outs that have not changed for rolloutRetention.
func (l *Ledger) Sweep(now time.Time) {
	expired := make(map[Origin]bool)
	l.origins.Range(func(o Origin, s *originState) bool {
		silent := now.Sub(s.lastMessage)
		if silent < originRetention {
			return true
		}
		expired[o], s.totalsDeleted = true, true
		return silent < silentOriginRetention
	})
	if len(expired) > 0 {
		l.retainEntries(func(e *entry) bool { return !expired[e.record.Origin] })
	}
	l.sweepRollouts(now)
}

// sweepRollouts deletes the totals of roll-outs that have not changed for
// rolloutRetention. It looks for them once in that time, if there were any.
func (l *Ledger) sweepRollouts(now time.Time) {
	uptime := now.Sub(l.started)
	if !l.hasRollouts.Load() || uptime-time.Duration(l.rolloutsSweptAt.Load()) < rolloutRetention {
		return
	}
	l.rolloutsSweptAt.Store(int64(uptime))
	left := false
	l.retainEntries(func(e *entry) bool {
		if !isOfRollout(e.record.Subject) {
			return true
		}
		keep := uptime-e.changedAt < rolloutRetention
		left = left || keep
		return keep
	})
	l.hasRollouts.Store(left)
}

// isOfRollout reports whether the subject belongs to one order of a roll-out. Receivers
// need all that was counted since the order, also before their start, and nothing some time
// after its end.
func isOfRollout(s Subject) bool {
	switch s.Kind() {
	case Rollout, Sample, FailedSample, RolloutLoad:
		return true
	default:
		return false
	}
}

// newEntry returns the entry of an origin and a subject without counts.
func newEntry(s Subject, o Origin) *entry {
	return &entry{record: Record{Subject: s, Origin: o}}
}
