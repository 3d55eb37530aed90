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

// ErrNotHome says that this VM is not the service's home or may not act as it.
var ErrNotHome = errors.New("outlier: not the home of this service")

// Members tells which VMs hold which roles.
type Members interface {
	List() vm.MemberList
	Self() vm.VM
	// MayAct reports whether this VM holds the role now and since when.
	MayAct(now time.Time, role vm.Role) (since time.Time, ok bool)
}

// Contracts gives the newest configuration.
type ConfigSource interface {
	Index() *contract.Index
}

// Homes holds the detectors of the services whose home this VM is. It is safe
// for concurrent use.
type Homes struct {
	detectors  shard.Map[contract.ServiceID, *Detector]
	quarantine *Quarantine
	members    Members
	contracts  ConfigSource
	caller     link.Caller
	clock      func() time.Time
	log        logging.Logger
	ablation   Ablation
	observer   Observer
}

// NewHomes returns homes without detectors; the first report makes one. The
// quarantine is shared with the VM's Reporter.
func NewHomes(q *Quarantine, m Members, c ConfigSource, caller link.Caller, clock func() time.Time, log logging.Logger) *Homes {
	return &Homes{quarantine: q, members: m, contracts: c, caller: caller, clock: clock, log: log, observer: ignore{}}
}

// SetObserver names what counts the decisions, before the first report.
func (h *Homes) SetObserver(o Observer) { h.observer = o }

// Handlers returns the handlers of the messages to a service's home.
func (h *Homes) Handlers() map[string]link.Handler {
	return map[string]link.Handler{
		MethodReport: link.Handle(h.HandleReport),
		MethodCrash:  link.Handle(h.HandleCrash),
	}
}

// HandleReport takes in an owner's report and returns the verdicts on its
// servers.
func (h *Homes) HandleReport(_ context.Context, from vm.ID, r Report) (ReportReply, error) {
	now := h.clock()
	index := h.contracts.Index()
	terms, ok := ServiceConfigOf(index, r.Service)
	if !ok {
		return ReportReply{}, errors.Wrapf(ErrNotHome, "unknown service %q", r.Service)
	}
	if _, ok := h.members.MayAct(now, r.Service.HomeRole()); !ok {
		return ReportReply{}, ErrNotHome
	}
	r.Servers = h.ownedBy(from, r, index)
	var reply ReportReply
	h.detectors.Do(r.Service, h.newDetector, func(d *Detector) {
		reply = d.answer(now, r, terms)
	})
	reply.Crashes = h.exchangeCrashes(now, r)
	return reply, nil
}

// newDetector is called with the first report on a service, which shows that
// this VM has become its home.
func (h *Homes) newDetector() *Detector {
	h.observer.HomeRoleTakenOver()
	d := NewDetector(h.ablation)
	d.observer = h.observer
	return d
}

// ownedBy drops the servers that the reporter does not own by this VM's list.
// They count as not reported until both VMs have the same list.
func (h *Homes) ownedBy(from vm.ID, r Report, index *contract.Index) []ServerReport {
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

// answer updates the detector with a report and returns what the owner needs.
func (d *Detector) answer(now time.Time, r Report, terms ServiceConfig) ReportReply {
	for _, s := range r.Servers {
		d.Observe(now, s)
	}
	d.Decide(now, terms)
	var reply ReportReply
	for _, s := range r.Servers {
		if v := d.Health(now, s.Server); v.State != backend.Normal || v.EjectionCount > 0 {
			reply.Health = append(reply.Health, v)
		}
	}
	reply.ConfigVersion, reply.PackedStates = terms.ConfigVersion, packStates(d.States(terms))
	return reply
}

// exchangeCrashes learns the owner's crashes and returns those it does not know.
func (h *Homes) exchangeCrashes(now time.Time, r Report) []Crash {
	for _, c := range r.Crashes {
		h.quarantine.AddCrash(now, c)
	}
	return slices.DeleteFunc(h.quarantine.Crashes(now, r.Service), func(c Crash) bool {
		return slices.ContainsFunc(r.Crashes, func(known Crash) bool { return known.RequestID == c.RequestID })
	})
}

// HandleCrash records a crash and tells all owners of the service before it
// returns, so that the caller's next try already meets the record. Owners that
// cannot be reached learn it with the reply to their next report.
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
				h.log.WithError(err).Warnf("owner %s was not told of a crash of %s", owner.ID, c.Server)
			}
		})
	}
	wg.Wait()
	return struct{}{}, nil
}

// owners returns the VMs that own servers of a service, except this one.
func (h *Homes) owners(id contract.ServiceID) []vm.VM {
	service := h.contracts.Index().Service(id)
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
