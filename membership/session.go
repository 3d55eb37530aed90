package membership

import (
	"fmt"
	"strings"
	"time"

	"almondstile/store"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
)

// ownSession is what a member knows of its own session row.
type ownSession struct {
	lease Lease
	// row is the row as last read or written; known is false if it must be read
	// before the next write.
	row   SessionRow
	known bool
	// held says that the row was this process's own at some time.
	held bool
	// number counts the sessions of this process and is part of the nonce.
	number int
	// doubtful says that a write may take effect at any moment. It was the
	// first of those sent at doubtSent on version doubtVersion; it can take
	// effect no more once the row has a later version.
	doubtful     bool
	doubtSent    time.Time
	doubtVersion uint64
	// contacts counts the writes that took effect, contactAt is when this was
	// last learned.
	contacts  uint64
	contactAt time.Time
	nextRenew time.Time
}

func newOwnSession(self vm.VM, o Options) ownSession {
	s := ownSession{lease: Lease{Term: o.LeaseDuration}}
	s.row.ID = self.ID
	return s
}

func (s *ownSession) nonce(self vm.VM) string {
	return fmt.Sprintf("%s.%d", self.Incarnation, s.number)
}

// mine reports whether the row was written by this process.
func (m *Member) mine(row SessionRow) bool {
	return strings.HasPrefix(row.Nonce, m.self.Incarnation+".")
}

// sessionActions returns the next call for the own session row.
func (m *Member) sessionActions(now time.Time) []Action {
	s := &m.session
	switch {
	case m.busy[WriteSession] || m.busy[ReadSession]:
		return nil
	case !s.known:
		return m.start(nil, Action{Kind: ReadSession, DecidedAt: now})
	case m.phase == leaving:
		return m.departure(now)
	case now.Before(s.nextRenew) && m.mine(s.row):
		return nil
	}
	row := SessionRow{ID: m.self.ID, Version: s.row.Version, Nonce: s.nonce(m.self)}
	if m.phase == joining {
		row.VM = &m.self
	}
	// Spreads the renewals of VMs that started together by 10% each way.
	s.nextRenew = now.Add(m.options.RenewEvery * time.Duration(90+m.jitter.IntN(20)) / 100)
	if m.options.RenewEvery <= m.options.PollEvery {
		s.nextRenew = time.Time{} // each poll renews
	}
	return m.start(nil, Action{Kind: WriteSession, DecidedAt: now, Session: row})
}

func (m *Member) sessionWritten(now time.Time, a Action, r Result) {
	s := &m.session
	switch {
	case r.Err == nil:
		s.row = a.Session
		s.row.Version++
		s.tookEffect(now, a.DecidedAt)
	case errors.Is(r.Err, store.ErrNotDone):
		s.nextRenew = time.Time{}
	case errors.Is(r.Err, store.ErrConditionFailed):
		s.known = false
	default:
		s.known = false
		if !s.doubtful {
			s.doubtful, s.doubtSent, s.doubtVersion = true, a.DecidedAt, a.Session.Version
		}
	}
}

// tookEffect notes a write that certainly took effect and was sent at sent.
func (s *ownSession) tookEffect(now, sent time.Time) {
	s.lease.Renew(sent)
	s.held, s.doubtful = true, false
	s.contacts++
	s.contactAt = now
}

func (m *Member) sessionRead(now time.Time, r Result) {
	if r.Err != nil {
		return
	}
	s := &m.session
	row := r.Session
	switch {
	case row.Version > 0 && !m.mine(row) && s.held:
		m.phase, m.superseded = gone, true
		return
	case row.Version == 0 && s.held && s.row.Version > 0:
		// The fleet removed this VM. It joins again under a new nonce.
		s.number++
		s.lease.RenewalSentAt = time.Time{}
		s.doubtful = false // a write on a version of the deleted row cannot take effect
		m.dropOut()
	case s.doubtful && m.mine(row) && row.Version > s.doubtVersion:
		s.tookEffect(now, s.doubtSent)
	}
	s.row, s.known = row, true
	s.row.ID = m.self.ID
	if m.phase == leaving && row.Version == 0 {
		m.phase = gone
	}
}

// inDoubt reports whether a write of the session may take effect at any moment.
func (m *Member) inDoubt() bool { return m.session.doubtful || m.busy[WriteSession] }
