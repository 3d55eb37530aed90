package membership

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"almondstile/vm"

	"github.com/cespare/xxhash/v2"
)

// phase is the part of its life that a member is in.
type phase int

const (
	// joining: not in the list, or not known to be.
	joining phase = iota
	// listed: in the list.
	listed
	// leaving: shutting down; this VM acts no more.
	leaving
	// gone: left, or replaced by another process with the same ID.
	gone
)

// Member decides for one VM: when to renew, watch, join, remove others and
// leave, and whether the VM may act in a role. It does no I/O. Its methods may
// be called from several goroutines.
type Member struct {
	self    vm.VM
	options Options
	watch   SessionTracker
	heard   heard

	mu         sync.Mutex // guards the fields below
	phase      phase
	superseded bool
	session    ownSession
	list       ownList
	busy       [actionKinds]bool
	nextPoll   time.Time
	lastPoll   time.Time
	nextWatch  time.Time
	jitter     *rand.Rand
	config     uint64
}

// NewMember returns the decision logic of a VM that starts now.
func NewMember(self vm.VM, options Options) *Member {
	options = options.withDefaults()
	seed := xxhash.Sum64String(string(self.ID) + "/" + self.Incarnation)
	return &Member{
		self:    self,
		options: options,
		session: newOwnSession(self, options),
		jitter:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetConfigVersion sets the version of the configuration that heartbeats carry.
func (m *Member) SetConfigVersion(version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.config = version
}

// Tick returns the actions that are due. It is called several times a second.
func (m *Member) Tick(now time.Time) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase == gone {
		return nil
	}
	var actions []Action
	if !now.Before(m.nextPoll) && !m.busy[ReadListVersion] {
		m.lastPoll, m.nextPoll = now, now.Add(m.options.PollEvery)
		actions = m.start(actions, Action{Kind: ReadListVersion, DecidedAt: now})
	}
	if !now.Before(m.nextWatch) && !m.busy[ReadSessions] {
		m.nextWatch = now.Add(m.options.WatchEvery)
		if m.watches(now) {
			actions = m.start(actions, Action{Kind: ReadSessions, DecidedAt: now})
		}
	}
	return append(actions, m.questions(now)...)
}

// start appends the action unless one of its kind is under way.
func (m *Member) start(actions []Action, a Action) []Action {
	if m.busy[a.Kind] {
		return actions
	}
	m.busy[a.Kind] = true
	return append(actions, a)
}

// Done takes in the result of an action and returns what follows from it.
func (m *Member) HandleResult(now time.Time, a Action, r Result) []Action {
	if a.Kind == SendHeartbeat {
		m.answered(now, a, r)
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy[a.Kind] = false
	if m.phase == gone {
		return nil
	}
	switch a.Kind {
	case ReadListVersion:
		return m.headRead(now, a, r)
	case ReadRoster:
		m.rosterRead(now, a, r)
	case ReadSession:
		m.sessionRead(now, r)
		if r.Err == nil && m.phase != gone {
			return m.sessionActions(now)
		}
	case WriteSession:
		m.sessionWritten(now, a, r)
	case ReadSessions:
		if r.Err == nil {
			m.watch.Observe(a.DecidedAt, now, r.Sessions, m.list.roster.List)
			m.settle(now)
			return m.changes(now, a.DecidedAt)
		}
	case UpdateRoster:
		return m.rosterChanged(now, a, r)
	}
	return nil
}

// headRead follows a read of the list's version. Writes of the own session
// follow a read that succeeded: in an outage this leaves fewer writes whose
// outcome is unknown, and such a write keeps this VM from vouching for others.
func (m *Member) headRead(now time.Time, a Action, r Result) []Action {
	if r.Err != nil {
		return nil
	}
	var actions []Action
	if r.Version == m.list.roster.List.Version {
		m.list.confirm(a.DecidedAt)
		m.follow(now) // the session may have become known after the list
	} else {
		actions = m.start(actions, Action{Kind: ReadRoster, DecidedAt: now})
	}
	return append(actions, m.sessionActions(now)...)
}

// watches reports whether this VM reads all sessions. VMs that are not sure to
// be full members do, for they need the proof that older lists are out of use;
// of the others only a few do, chosen anew each minute with an overlap.
func (m *Member) watches(now time.Time) bool {
	if m.phase != listed || !m.list.settled || len(m.list.roster.List.VMs) <= m.options.WatcherCount {
		return true
	}
	return m.watcherRank(now) < m.options.WatcherCount
}

// watcherTerm is how long a set of watchers serves, half of it together with
// the set before.
const watcherTerm = 2 * time.Minute

// watcherRank is the position of this VM among the watchers, which also
// staggers their attempts to change the list.
func (m *Member) watcherRank(now time.Time) int {
	half := int64(watcherTerm / time.Second / 2)
	term := now.Unix() / half
	return min(m.rankInTerm(term), m.rankInTerm(term-1))
}

func (m *Member) rankInTerm(term int64) int {
	const watcherRole vm.RoleKind = "watcher"
	ranked := m.list.roster.List.Rank(vm.Role{Kind: watcherRole, Name: fmt.Sprint(term)})
	for i, v := range ranked {
		if v.ID == m.self.ID {
			return i
		}
	}
	return len(ranked)
}

// Leave starts the graceful departure: from now on this VM does not act, and
// the next actions remove it from the list.
func (m *Member) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase != gone {
		m.phase = leaving
		m.nextPoll = time.Time{}
	}
}

// Gone reports whether the VM has left the list, and whether that is because
// another process took its ID.
func (m *Member) HasLeft() (left, superseded bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.phase == gone, m.superseded
}
