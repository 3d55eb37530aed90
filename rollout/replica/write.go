package replica

import (
	"time"

	"almondstile/contract"
	"almondstile/rollout"
)

const (
	// initialWriteDelay is the pause after the first failed attempt to write a state. It
	// doubles with each further one, up to maxWriteDelay.
	initialWriteDelay = 250 * time.Millisecond
	maxWriteDelay     = 2 * time.Second
	// copyTimeout is the time after a write within which this VM's copy of the states has
	// it. Later it is written again, which does nothing if it is there.
	copyTimeout = 3 * time.Second
)

// writeSchedule holds what a VM has done to write one status of an order.
type writeSchedule struct {
	status rollout.Status
	// dueSince is when the status was to be written first, by any VM.
	dueSince time.Time
	// delay is how long this VM leaves an attempt to others.
	delay time.Duration
	// busy is true while an attempt is under way. notBefore is the time of the next one,
	// and pausedUntil that of the next one of any status.
	busy                   bool
	notBefore, pausedUntil time.Time
	// failures counts the attempts since the last one that succeeded.
	failures int
}

// restart returns the schedule of another status. The pause after the last attempt holds
// for it too, so that the rate of calls is bounded whatever the store answers.
func (w writeSchedule) restart() writeSchedule {
	return writeSchedule{busy: w.busy, pausedUntil: w.pausedUntil}
}

// Due returns the states that this VM has to write now, and marks the attempts as under
// way: RecordWrite must follow for each. delay is how long this VM leaves the write to
// others. The version of a state's Row is the one that the store has to have.
func (r *Rollouts) Due(now time.Time, delay time.Duration) (due []rollout.State) {
	if r == nil {
		return nil
	}
	r.services.Range(func(_ contract.ServiceID, m *migration) bool {
		if state, ok := m.due(now, delay); ok {
			due = append(due, state)
		}
		return true
	})
	return due
}

// due returns the state that is to be written now, if there is one.
func (m *migration) due(now time.Time, delay time.Duration) (rollout.State, bool) {
	wanted, ok := m.wanted(now)
	w := &m.write
	if !ok {
		*w = w.restart()
		return rollout.State{}, false
	}
	if w.status != wanted.Status {
		*w = w.restart()
		w.status, w.dueSince = wanted.Status, now
	}
	if w.busy || now.Before(w.notBefore) || now.Before(w.pausedUntil) || now.Sub(w.dueSince) < delay {
		return rollout.State{}, false
	}
	w.busy, w.delay = true, delay
	return wanted, true
}

// wanted returns the state that the store should have, if it is another one than it has.
func (m *migration) wanted(now time.Time) (rollout.State, bool) {
	if !m.knowsRow() {
		return rollout.State{}, false
	}
	next := m.stored
	switch {
	case m.order == nil:
		if m.withdrawnSince.IsZero() || now.Sub(m.withdrawnSince) < withdrawalTime {
			return rollout.State{}, false
		}
		next.Status = rollout.RolledBack // the target version has got nothing since
		return next, true
	case m.hasLostFinal():
		next = m.lost
		next.Row = m.stored.Row
		return next, true
	case !m.open() || m.judge == nil:
		return rollout.State{}, false
	case !m.stored.IsOf(m.order):
		next = rollout.State{
			Service: m.order.Service, OrderVersion: m.order.Row.Version, Target: m.order.Target,
			StartedAt: m.orderedAt, Status: rollout.Running, Row: m.stored.Row,
		}
	}
	settled := now.Sub(m.verdictAt) >= settleTime && m.decision.WriteStatus
	switch {
	case m.verdict == rollout.RollBack && settled:
		next.Status = rollout.RolledBack
	case m.verdict == rollout.Complete && settled && m.emptied(now):
		next.Status, next.Replaced = rollout.Completed, m.otherVersions()
	}
	return next, !next.SaysLike(m.stored)
}

// otherVersions returns the versions of the service's servers other than the target.
func (m *migration) otherVersions() (other []rollout.Version) {
	for version := range m.arrivals.heldUntil {
		if version != m.order.Target {
			other = append(other, version)
		}
	}
	return other
}

// RecordWrite records the result of an attempt to write a state: whether it was written,
// and otherwise the state that the store has, if that is known. random is uniformly
// distributed in [0, 1).
func (r *Rollouts) RecordWrite(now time.Time, written rollout.State, succeeded bool, stored *rollout.State, random float64) {
	r.services.DoExisting(written.Service, func(m *migration) {
		if stored != nil {
			m.setStored(now, *stored)
		}
		m.write.record(now, succeeded, random)
	})
}

// record records the result of an attempt. Each one is followed by a pause. After one that
// did not succeed the VM leaves the next one to others again, so that the calls of a large
// fleet are spread over the time in which each VM has a turn.
func (w *writeSchedule) record(now time.Time, succeeded bool, random float64) {
	w.busy = false
	if succeeded {
		w.failures, w.notBefore, w.pausedUntil = 0, now.Add(copyTimeout), now.Add(initialWriteDelay)
		return
	}
	nominal := min(initialWriteDelay<<min(w.failures, 4), maxWriteDelay)
	w.failures++
	w.pausedUntil = now.Add(w.delay + nominal/2 + time.Duration(random*float64(nominal)))
}
