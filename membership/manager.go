package membership

import (
	"context"
	"sync"
	"time"

	"almondstile/link"
	"almondstile/logging"
	"almondstile/store"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const (
	// tickInterval is the time between two calls of Member.Tick.
	tickInterval = 50 * time.Millisecond
	// heartbeatTimeout bounds a heartbeat call. A heartbeat counts only for
	// Options.HeartbeatValidity after the request was sent, so a later response
	// would be of little use.
	heartbeatTimeout = time.Second
	// storeTimeout bounds a call to the table.
	storeTimeout = 2 * time.Second
)

// Config holds the settings and dependencies of a Manager.
type Config struct {
	Self    vm.VM
	Options Options
	Table   store.Table
	// Caller sends heartbeats to the other VMs.
	Caller link.Caller
	Log    logging.Logger
	// ConfigVersion returns the version of the configuration that this VM uses.
	// If it is nil, heartbeats carry no configuration version.
	ConfigVersion func() uint64
	// OnHeartbeat, if set, is called with each heartbeat response and the VM that
	// sent it. It must not block.
	OnHeartbeat func(peer vm.VM, heartbeat Heartbeat)
	// Observer, if set, is notified of each list that this VM begins to use.
	Observer Observer
}

// Observer is notified of changes of the member list. It must not block.
type Observer interface {
	ListChanged(list vm.MemberList)
}

// Manager keeps this VM in the fleet of entry VMs. It renews the session, follows
// the member list, takes part in removing lost VMs and exchanges heartbeats. It
// carries out the Actions of a Member.
type Manager struct {
	config Config
	member *Member
	store  storeClient

	mu sync.Mutex // guards the fields below
	// loggedRejoins is the number of rejoins of the member that are logged.
	loggedRejoins uint64
	// publishedVersion is the version of the list last sent to the subscribers.
	publishedVersion uint64
	subscribers      []chan vm.MemberList
	// notReadyReason is the last logged reason, "" while this VM is ready.
	notReadyReason string
}

// NewManager returns a Manager that makes no calls until Run.
func NewManager(c Config) *Manager {
	return &Manager{config: c, member: NewMember(c.Self, c.Options), store: storeClient{c.Table}}
}

// Run joins the fleet and stays in it until the context ends or the VM has left
// the list for good. It returns an error only if another process took over the
// VM's ID. For a graceful shutdown, call Leave and wait for Run to return.
func (m *Manager) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var calls conc.WaitGroup
	defer calls.Wait()
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		if left, superseded := m.member.HasLeft(); superseded {
			return errors.Newf("another process took the ID of VM %q", m.config.Self.ID)
		} else if left {
			return nil
		}
		if m.config.ConfigVersion != nil {
			m.member.SetConfigVersion(m.config.ConfigVersion())
		}
		m.start(ctx, &calls, m.member.Tick(time.Now()))
		m.publish()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// start carries out each action in a goroutine of its own, and then the actions
// that follow from its result.
func (m *Manager) start(ctx context.Context, calls *conc.WaitGroup, actions []Action) {
	for _, a := range actions {
		calls.Go(func() {
			result := m.perform(ctx, a)
			next := m.member.HandleResult(time.Now(), a, result)
			m.publish()
			m.start(ctx, calls, next)
		})
	}
}

// perform makes the call of an action and waits for its result.
func (m *Manager) perform(ctx context.Context, a Action) Result {
	if a.Kind == SendHeartbeat {
		return m.sendHeartbeat(ctx, a)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	result := m.store.run(ctx, m.config.Self.ID, a)
	if result.Err != nil {
		m.config.Log.WithError(result.Err).Debug("A call to the store failed; it is repeated later if still needed.")
	}
	return result
}

// sendHeartbeat sends a heartbeat request to the peer of the action.
func (m *Manager) sendHeartbeat(ctx context.Context, a Action) Result {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var response Heartbeat
	err := m.config.Caller.Call(ctx, a.Peer, HeartbeatMethod, a.HeartbeatRequest, &response)
	if err == nil && m.config.OnHeartbeat != nil {
		m.config.OnHeartbeat(a.Peer, response)
	}
	return Result{Err: err, Heartbeat: response}
}

// HeartbeatHandler returns the handler that answers heartbeat requests. Register
// it under HeartbeatMethod.
func (m *Manager) HeartbeatHandler() link.Handler {
	return link.Handle(func(_ context.Context, _ vm.ID, request HeartbeatRequest) (Heartbeat, error) {
		return m.member.AnswerHeartbeat(time.Now(), request), nil
	})
}

// Self returns this VM.
func (m *Manager) Self() vm.VM { return m.config.Self }

// List returns the member list that this VM uses.
func (m *Manager) List() vm.MemberList { return m.member.Roster().List }

// MayAct reports whether this VM holds the role and may act in it at now. If ok
// is true, no other VM can have acted in it after since; see Member.MayAct.
func (m *Manager) MayAct(now time.Time, role vm.Role) (since time.Time, ok bool) {
	return m.member.MayAct(now, role)
}

// Ready reports whether this VM should receive requests. If not, reason says why.
func (m *Manager) Ready(now time.Time) (ready bool, reason string) { return m.member.Ready(now) }

// Peers returns the heartbeat state of the other VMs, for status output.
func (m *Manager) Peers() map[vm.ID]PeerState { return m.member.Peers() }

// Leave starts the graceful departure. From now on MayAct returns false, so
// callers hand over their roles before they call Leave. Run returns once the VM
// is removed from the list.
func (m *Manager) Leave() { m.member.Leave() }

// Subscribe returns a channel that receives the newest member list after each
// change, and at once the list in use if there is one. The channel holds one
// list; a newer list replaces one that was not received yet.
func (m *Manager) Subscribe() <-chan vm.MemberList {
	m.mu.Lock()
	defer m.mu.Unlock()
	subscriber := make(chan vm.MemberList, 1)
	m.subscribers = append(m.subscribers, subscriber)
	if m.publishedVersion > 0 {
		subscriber <- m.List()
	}
	return subscriber
}

// publish sends a new list to the subscribers and logs changes of the list and of
// the readiness.
func (m *Manager) publish() {
	list := m.List()
	ready, reason := m.Ready(time.Now())
	m.mu.Lock()
	defer m.mu.Unlock()
	if reason != m.notReadyReason {
		m.notReadyReason = reason
		m.config.Log.WithField("ready", ready).WithField("reason", reason).Info("The readiness of this VM changed.")
	}
	if rejoins := m.member.rejoins(); rejoins > m.loggedRejoins {
		m.loggedRejoins = rejoins
		m.config.Log.WithField("version", list.Version).Warn("The table has lost the member list that this VM used; its roles wait until no VM can act by it.")
	}
	if list.Version <= m.publishedVersion {
		return
	}
	m.publishedVersion = list.Version
	m.config.Log.WithField("version", list.Version).WithField("vms", len(list.VMs)).Info("The member list changed.")
	if m.config.Observer != nil {
		m.config.Observer.ListChanged(list)
	}
	for _, subscriber := range m.subscribers {
		select {
		case <-subscriber:
		default:
		}
		subscriber <- list // never blocks: only publish and Subscribe send, under the lock
	}
}
