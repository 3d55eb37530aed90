package outlier

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"almondstile/backend"
	"almondstile/contract"
	"almondstile/link"
	"almondstile/logging"
	"almondstile/shard"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// ErrNotHome means that this VM is not the service's home or may not act as it now.
var ErrNotHome = errors.New("outlier: not the home of this service")

// Members provides the member list and this VM's right to act in a role.
type Members interface {
	List() vm.MemberList
	Self() vm.VM
	// MayAct reports whether this VM holds the role now, and since when.
	MayAct(now time.Time, role vm.Role) (since time.Time, ok bool)
}

// ConfigSource provides the newest configuration.
type ConfigSource interface {
	Index() *contract.Index
}

// Homes holds one detector for each service whose home is this VM. It is safe for
// concurrent use.
type Homes struct {
	detectors    shard.Map[contract.ServiceID, *Detector]
	quarantine   *Quarantine
	members      Members
	configSource ConfigSource
	caller       link.Caller
	clock        func() time.Time
	log          logging.Logger
	ablation     Ablation
	observer     Observer
}

// NewHomes returns a Homes without detectors. The first report on a service creates
// its detector. The VM's Reporter must use the same quarantine.
func NewHomes(q *Quarantine, m Members, c ConfigSource, caller link.Caller, clock func() time.Time, log logging.Logger) *Homes {
	return &Homes{quarantine: q, members: m, configSource: c, caller: caller, clock: clock, log: log, observer: noopObserver{}}
}

// SetObserver sets the observer that counts decisions. It must be called before the
// first report.
func (h *Homes) SetObserver(o Observer) { h.observer = o }

// Handlers returns the handlers of the messages to a service's home, by method.
func (h *Homes) Handlers() map[string]link.Handler {
	return map[string]link.Handler{
		MethodReport: link.Handle(h.HandleReport),
		MethodCrash:  link.Handle(h.HandleCrash),
	}
}

// HandleReport processes an owner's report and returns the health states of the
// reported servers. It returns ErrNotHome if this VM is not the home or does not
// know the service.
func (h *Homes) HandleReport(_ context.Context, from vm.ID, r Report) (ReportReply, error) {
	now := h.clock()
	index := h.configSource.Index()
	config, ok := ServiceConfigOf(index, r.Service)
	if !ok {
		return ReportReply{}, errors.Wrapf(ErrNotHome, "unknown service %q", r.Service)
	}
	if _, ok := h.members.MayAct(now, r.Service.HomeRole()); !ok {
		return ReportReply{}, ErrNotHome
	}
	r.Servers = h.reportsOwnedBy(from, r, index)
	var reply ReportReply
	h.detectors.Do(r.Service, h.newDetector, func(d *Detector) {
		reply = d.processReport(now, r, config)
	})
	reply.Crashes = h.exchangeCrashes(now, r)
	return reply, nil
}

// newDetector creates the detector for the first report on a service. That report
// shows that this VM has become the service's home.
func (h *Homes) newDetector() *Detector {
	h.observer.HomeRoleTakenOver()
	d := NewDetector(h.ablation)
	d.observer = h.observer
	return d
}

// reportsOwnedBy returns the reports on servers that the sender owns according to
// this VM's member list. The other servers count as not reported until both VMs
// have the same list.
func (h *Homes) reportsOwnedBy(from vm.ID, r Report, index *contract.Index) []ServerReport {
	list := h.members.List()
	var owned []ServerReport
	for _, s := range r.Servers {
		server := index.Server(s.Server)
		if server == nil || index.ServiceOf(s.Server) != r.Service {
			continue
		}
		if owner, ok := list.Holder(server.OwnerRole()); ok && owner.ID == from {
			owned = append(owned, s)
		}
	}
	return owned
}

// processReport updates the detector with a report and returns the reply to the
// owner. The caller adds the crashes.
func (d *Detector) processReport(now time.Time, r Report, config ServiceConfig) ReportReply {
	for _, s := range r.Servers {
		d.Observe(now, s)
	}
	d.Decide(now, config)
	var reply ReportReply
	for _, s := range r.Servers {
		if health := d.Health(now, s.Server); health.State != backend.Normal || health.EjectionCount > 0 {
			reply.Health = append(reply.Health, health)
		}
	}
	reply.ConfigVersion, reply.PackedStates = config.ConfigVersion, packStates(d.States(config))
	return reply
}

// exchangeCrashes records the crashes in the report and returns the recorded ones
// that the report did not list.
func (h *Homes) exchangeCrashes(now time.Time, r Report) []Crash {
	for _, c := range r.Crashes {
		h.quarantine.AddCrash(now, c)
	}
	return slices.DeleteFunc(h.quarantine.Crashes(now, r.Service), func(c Crash) bool {
		return slices.ContainsFunc(r.Crashes, func(known Crash) bool { return known.RequestID == c.RequestID })
	})
}

// HandleCrash records a crash and sends it to all owners of the service before it
// returns. A retry by the caller therefore finds the crash recorded at every reachable
// owner. The other owners receive it with the reply to their next report.
func (h *Homes) HandleCrash(ctx context.Context, _ vm.ID, c Crash) (struct{}, error) {
	now := h.clock()
	if _, ok := h.members.MayAct(now, c.Service.HomeRole()); !ok {
		return struct{}{}, ErrNotHome
	}
	h.quarantine.AddCrash(now, c)
	var wg conc.WaitGroup
	for _, owner := range h.owners(c.Service) {
		wg.Go(func() {
			if err := h.caller.Call(ctx, owner, MethodQuarantine, c, &json.RawMessage{}); err != nil {
				h.log.WithError(err).Warnf("Sending owner VM %s the crash of server %s failed. The reply to the VM's next report contains the crash.", owner.ID, c.Server)
			}
		})
	}
	wg.Wait()
	return struct{}{}, nil
}

// owners returns the VMs that own servers of a service, except this VM.
func (h *Homes) owners(id contract.ServiceID) []vm.VM {
	service := h.configSource.Index().Service(id)
	if service == nil {
		return nil
	}
	list, self := h.members.List(), h.members.Self().ID
	var owners []vm.VM
	for i := range service.Servers {
		owner, ok := list.Holder(service.Servers[i].OwnerRole())
		if ok && owner.ID != self && !slices.Contains(owners, owner) {
			owners = append(owners, owner)
		}
	}
	return owners
}
