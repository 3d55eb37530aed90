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
	// tickEvery is how often the decision logic is asked for due actions.
	tickEvery = 50 * time.Millisecond
	// askTimeout bounds a heartbeat call; an older answer would hardly count.
	askTimeout = time.Second
	// storeTimeout bounds a call to the table.
	storeTimeout = 2 * time.Second
)

// Config is what a Fleet is made of.
type Config struct {
	Self    vm.VM
	Options Options
	Table   store.Table
	// Caller sends heartbeats to the other VMs.
	Caller link.Caller
	Log    logging.Logger
	// ConfigVersion returns the version of the configuration in use here. Nil
	// means that heartbeats carry none.
	ConfigVersion func() uint64
	// OnHeartbeat, if set, is called with the state of each VM that was heard. It must
	// not block.
	OnHeartbeat func(peer vm.VM, heartbeat Heartbeat)
	// Observer, if set, counts the lists that this VM begins to use.
	Observer Observer
}

// Observer counts changes of the member list. It must not block.
type Observer interface {
	ListChanged(list vm.MemberList)
}

// Fleet keeps this VM's place among the entry VMs: it renews the session,
// follows the member list, takes part in removing lost VMs and hears its peers.
type Manager struct {
	config Config
	member *Member
	store  storeActions

	mu          sync.Mutex // guards the fields below
	published   uint64
	subscribers []chan vm.MemberList
	lastReady   string
}

// NewManager returns a Fleet that does nothing until Run.
func NewManager(c Config) *Manager {
	return &Manager{config: c, member: NewMember(c.Self, c.Options), store: storeActions{c.Table}}
}

// Run joins the fleet and stays in it until the context ends or the VM is gone
// from the list for good. It returns an error only if another process took the
// VM's ID. Call Leave first for a graceful shutdown.
func (f *Manager) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var calls conc.WaitGroup
	defer calls.Wait()
	defer cancel()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		if left, superseded := f.member.HasLeft(); superseded {
			return errors.Newf("another process took the ID of VM %q", f.config.Self.ID)
		} else if left {
			return nil
		}
		if f.config.ConfigVersion != nil {
			f.member.SetConfigVersion(f.config.ConfigVersion())
		}
		f.start(ctx, &calls, f.member.Tick(time.Now()))
		f.publish()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// start carries out each action, and what follows from it, in a goroutine.
func (f *Manager) start(ctx context.Context, calls *conc.WaitGroup, actions []Action) {
	for _, a := range actions {
		calls.Go(func() {
			result := f.perform(ctx, a)
			next := f.member.HandleResult(time.Now(), a, result)
			f.publish()
			f.start(ctx, calls, next)
		})
	}
}

func (f *Manager) perform(ctx context.Context, a Action) Result {
	if a.Kind == SendHeartbeat {
		return f.ask(ctx, a)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	result := f.store.run(ctx, f.config.Self.ID, a)
	if result.Err != nil {
		f.config.Log.WithError(result.Err).Debug("a call to the store failed")
	}
	return result
}

func (f *Manager) ask(ctx context.Context, a Action) Result {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var answer Heartbeat
	err := f.config.Caller.Call(ctx, a.Peer, HeartbeatMethod, a.HeartbeatRequest, &answer)
	if err == nil && f.config.OnHeartbeat != nil {
		f.config.OnHeartbeat(a.Peer, answer)
	}
	return Result{Err: err, Heartbeat: answer}
}

// Handler answers heartbeat questions; register it under HeartbeatMethod.
func (f *Manager) HeartbeatHandler() link.Handler {
	return link.Handle(func(_ context.Context, _ vm.ID, q HeartbeatRequest) (Heartbeat, error) {
		return f.member.AnswerHeartbeat(time.Now(), q), nil
	})
}

// Self returns this VM.
func (f *Manager) Self() vm.VM { return f.config.Self }

// List returns the member list that this VM uses.
func (f *Manager) List() vm.MemberList { return f.member.Roster().List }

// MayAct reports whether this VM holds the role and may act in it at now, and
// since when; see Member.MayAct.
func (f *Manager) MayAct(now time.Time, role vm.Role) (since time.Time, ok bool) {
	return f.member.MayAct(now, role)
}

// Ready reports whether this VM should get requests, and if not, why.
func (f *Manager) Ready(now time.Time) (ready bool, reason string) { return f.member.Ready(now) }

// Peers returns what this VM heard from the others, for status output.
func (f *Manager) Peers() map[vm.ID]PeerState { return f.member.Peers() }

// Leave starts the graceful departure. MayAct is false from now on, so callers
// hand over their roles first. Run returns once the VM is off the list.
func (f *Manager) Leave() { f.member.Leave() }

// Subscribe returns a channel that gets the newest member list after each
// change. A list that was not received is replaced by the next.
func (f *Manager) Subscribe() <-chan vm.MemberList {
	f.mu.Lock()
	defer f.mu.Unlock()
	subscriber := make(chan vm.MemberList, 1)
	f.subscribers = append(f.subscribers, subscriber)
	if f.published > 0 {
		subscriber <- f.List()
	}
	return subscriber
}

// publish hands a new list to the subscribers and logs changes of state.
func (f *Manager) publish() {
	list := f.List()
	ready, reason := f.Ready(time.Now())
	f.mu.Lock()
	defer f.mu.Unlock()
	if reason != f.lastReady {
		f.lastReady = reason
		f.config.Log.WithField("ready", ready).WithField("reason", reason).Info("readiness changed")
	}
	if list.Version <= f.published {
		return
	}
	f.published = list.Version
	f.config.Log.WithField("version", list.Version).WithField("vms", len(list.VMs)).Info("the member list changed")
	if f.config.Observer != nil {
		f.config.Observer.ListChanged(list)
	}
	for _, subscriber := range f.subscribers {
		select {
		case <-subscriber:
		default:
		}
		subscriber <- list // never blocks: only publish and Subscribe send, under the lock
	}
}
