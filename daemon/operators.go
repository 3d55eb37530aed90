package daemon

import (
	"context"
	"time"

	"almondstile/backend"
	"almondstile/contract"
	"almondstile/operator"
	"almondstile/outlier"
	"almondstile/quota"
)

// buildOperators builds the operators' listener.
func (d *Daemon) buildOperators() {
	d.operators = operator.NewServer(d.planner, fleetView{d}, d.metrics.Registry(),
		d.settings.Security.Operators, d.log.Part("operator"))
}

// fleetView is the daemon as operators see it.
type fleetView struct{ d *Daemon }

func (f fleetView) Ready() (bool, string) { return f.d.Ready(time.Now()) }

// Status collects this VM's view and asks the other members for their versions.
func (f fleetView) Status(ctx context.Context) operator.Status {
	d, now := f.d, time.Now()
	index, list := d.follower.Index(), d.fleet.List()
	ready, reason := d.Ready(now)
	status := operator.Status{
		VM: d.self.ID, Zone: d.self.Zone, Ready: ready, Reason: reason,
		ConfigurationVersion: index.Version(), MemberListVersion: list.Version,
	}
	for _, v := range d.follower.InForce(ctx, d.self.ID, list.VMs, now) {
		member, _ := list.Find(v.VM)
		status.Members = append(status.Members, operator.MemberStatus{
			VM: v.VM, Zone: member.Zone, Known: v.Known, ConfigurationVersion: v.Version,
		})
	}
	for _, z := range index.Configuration().Zones {
		status.Zones = append(status.Zones, operator.ZoneStatus{ID: z.ID, Out: z.Out})
	}
	for i := range index.Configuration().Services {
		status.Services = append(status.Services, f.service(index, &index.Configuration().Services[i], now))
	}
	for _, t := range index.Configuration().Teams {
		team := operator.TeamStatus{ID: t.ID, RatePerSecond: t.RatePerSecond, Burst: t.Burst}
		for _, bucket := range quota.Buckets(&t) {
			if home, ok := list.Holder(quota.Role(bucket)); ok {
				team.Homes = append(team.Homes, home.ID)
			}
		}
		status.Teams = append(status.Teams, team)
	}
	return status
}

// service describes a service from the newest state that its home sent here.
func (f fleetView) service(index *contract.Index, s *contract.Service, now time.Time) operator.ServiceStatus {
	states := make(map[contract.ServerID]backend.ServerState)
	if known, err := backend.DecodeStates(f.d.servers.ServiceState(s.ID)); err == nil {
		for _, state := range known {
			states[state.Server] = state
		}
	}
	status := operator.ServiceStatus{ID: s.ID}
	for i := range s.Servers {
		server := f.server(index, &s.Servers[i], states, now)
		status.TotalSlots += server.Slots
		if server.State == operator.ServerServing {
			status.HealthySlots += server.Slots
		}
		status.Servers = append(status.Servers, server)
	}
	status.FloorSlots = contract.FloorSlots(s.FloorShare, index.SlotsForNewWork(s))
	return status
}

func (f fleetView) server(index *contract.Index, s *contract.Server, states map[contract.ServerID]backend.ServerState, now time.Time) operator.ServerStatus {
	status := operator.ServerStatus{ID: s.ID, Zone: s.Zone, Slots: s.Slots, State: operator.ServerUnknown}
	if owner, ok := f.d.fleet.List().Holder(outlier.OwnerRole(s)); ok {
		status.Owner = owner.ID
	}
	state, known := states[s.ID]
	switch {
	case s.Leaving:
		status.State, status.Why = operator.ServerLeaving, "an operator takes it out of service"
	case !index.TakesNewWork(s):
		status.State, status.Why = operator.ServerZoneOut, "its availability zone is out"
	case !known:
		status.Why = "no report of its service has reached this VM"
	case state.Ejected:
		status.State, status.Why = operator.ServerEjected, "it serves worse than the other servers of its service"
	case !state.Warm:
		status.State, status.Why = operator.ServerCold, "it starts cold and gets a limited number of requests"
	default:
		status.State = operator.ServerServing
	}
	if own, ok := f.d.servers.Status(now, s.ID); ok {
		status.InFlight, status.Queued = own.InFlight, own.Queued
	}
	return status
}
