package membership

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"almondstile/vm"

	"github.com/cespare/xxhash/v2"
)

// phase is the phase of a member's life cycle.
type phase int

const (
	// joining means that the VM is not in the list, or does not know it yet.
	joining phase = iota
	// listed means that the VM is in the list.
	listed
	// leaving means that the VM is shutting down and does not act any more.
	leaving
	// gone means that the VM has left the list, or that another process with the
	// same ID replaced it. Both are final.
	gone
)

// Member is the decision logic of one VM: when to renew its session, join, remove
// other VMs and leave, and whether the VM may act in a role. It does no I/O. Its
// methods are safe for concurrent use.
type Member struct {
	self    vm.VM
	options Options
	tracker SessionTracker
	peers   peerTable

	mu               sync.Mutex // guards the fields below
	phase            phase
	superseded       bool
	session          sessionState
	list             listState
	inFlight         [actionKindCount]bool
	nextPoll         time.Time
	lastPoll         time.Time
	nextSessionsRead time.Time
	jitter           *rand.Rand
	configVersion    uint64
}

// NewMember returns the decision logic of a VM that starts now. Zero fields of
// options get their defaults.
func NewMember(self vm.VM, options Options) *Member {
	options = options.withDefaults()
	seed := xxhash.Sum64String(string(self.ID) + "/" + self.Incarnation)
	return &Member{
		self:    self,
		options: options,
		session: newSessionState(self, options),
		jitter:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetConfigVersion sets the configuration version that is sent in heartbeats.
func (m *Member) SetConfigVersion(version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.configVersion = version
}

// Tick returns the actions that are due at now. Callers call it several times a
// second.
func (m *Member) Tick(now time.Time) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase == gone {
		return nil
	}
	if !m.leaseAndListValid(now) && m.supportedByMajority(now) {
		m.list.supportedAt = now
	}
	var actions []Action
	if !now.Before(m.nextPoll) && !m.inFlight[ReadListVersion] {
		m.lastPoll, m.nextPoll = now, now.Add(m.options.PollEvery)
		actions = m.start(actions, Action{Kind: ReadListVersion, DecidedAt: now})
	}
	if !now.Before(m.nextSessionsRead) && !m.inFlight[ReadSessions] {
		m.nextSessionsRead = now.Add(m.options.WatchEvery)
		if m.readsAllSessions(now) {
			actions = m.start(actions, Action{Kind: ReadSessions, DecidedAt: now})
		}
	}
	return append(actions, m.dueHeartbeats(now)...)
}

// start appends the action and marks its kind as in flight, unless an action of
// the same kind is in flight already.
func (m *Member) start(actions []Action, a Action) []Action {
	if m.inFlight[a.Kind] {
		return actions
	}
	m.inFlight[a.Kind] = true
	return append(actions, a)
}

// HandleResult applies the result of an action and returns the actions that follow
// from it.
func (m *Member) HandleResult(now time.Time, a Action, r Result) []Action {
	if a.Kind == SendHeartbeat {
		m.handleHeartbeatResult(now, a, r)
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight[a.Kind] = false
	if m.phase == gone {
		return nil
	}
	switch a.Kind {
	case ReadListVersion:
		return m.handleVersionResult(now, a, r)
	case ReadRoster:
		return m.handleRosterResult(now, a, r)
	case ReadSession:
		m.handleSessionReadResult(now, r)
		if r.Err == nil && m.phase != gone {
			return m.sessionActions(now)
		}
	case WriteSession:
		m.handleSessionWriteResult(now, a, r)
	case ReadSessions:
		if r.Err == nil {
			m.tracker.Observe(a.DecidedAt, now, r.Sessions, m.list.roster.List)
			m.finishJoin(now)
			return m.proposeUpdate(now, a.DecidedAt)
		}
	case UpdateRoster:
		return m.handleUpdateResult(now, a, r)
	}
	return nil
}

// handleVersionResult handles a read of the list's version. It reads the list if
// the version changed. This VM writes its session only after a successful read of
// the version. In a store outage this leaves fewer writes whose outcome is
// unknown; such a write keeps this VM from supporting other VMs as holders.
func (m *Member) handleVersionResult(now time.Time, a Action, r Result) []Action {
	if r.Err != nil {
		return nil
	}
	var actions []Action
	if m.list.roster.isList(r.Version, r.ListID) {
		m.delayActingAfterLapse(now)
		m.list.recordRead(a.DecidedAt)
		m.updatePhase(now) // the session row may have been read after the list
	} else {
		actions = m.start(actions, Action{Kind: ReadRoster, DecidedAt: now})
	}
	return append(actions, m.sessionActions(now)...)
}

// readsAllSessions reports whether this VM reads the sessions of all VMs. A VM
// whose join is not finished reads them, because it needs the proof that older
// lists are out of use. Of the other VMs only the watchers do. A list of up to
// WatcherCount VMs consists of watchers only.
func (m *Member) readsAllSessions(now time.Time) bool {
	if m.phase != listed || !m.list.joinFinished || len(m.list.roster.List.VMs) <= m.options.WatcherCount {
		return true
	}
	return m.watcherRank(now) < m.options.WatcherCount
}

// watcherTerm is how long a set of watchers serves. A new set starts every
// minute, so each half of a term overlaps with the set before or after it.
const watcherTerm = 2 * time.Minute

// watcherRank returns the lower of this VM's ranks in the two sets of watchers
// that serve at now, 0 being the first. It also staggers the attempts of VMs to
// update the list.
func (m *Member) watcherRank(now time.Time) int {
	halfTermSeconds := int64(watcherTerm / time.Second / 2)
	halfTerm := now.Unix() / halfTermSeconds
	return min(m.rankInHalfTerm(halfTerm), m.rankInHalfTerm(halfTerm-1))
}

// rankInHalfTerm returns this VM's rank in the set of watchers that starts with
// the given half term, counted since the Unix epoch. A VM that is not in the list
// ranks last.
func (m *Member) rankInHalfTerm(halfTerm int64) int {
	const watcherRole vm.RoleKind = "watcher"
	ranked := m.list.roster.List.Rank(vm.Role{Kind: watcherRole, Name: fmt.Sprint(halfTerm)})
	for i, v := range ranked {
		if v.ID == m.self.ID {
			return i
		}
	}
	return len(ranked)
}

// Leave starts the graceful departure. From now on this VM does not act, and the
// next actions remove it from the list.
func (m *Member) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase != gone {
		m.phase = leaving
		m.nextPoll = time.Time{}
	}
}

// HasLeft reports whether the VM has left the list for good. superseded is true if
// the reason is that another process took over its ID.
func (m *Member) HasLeft() (left, superseded bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.phase == gone, m.superseded
}
