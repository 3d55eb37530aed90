package daemon

import (
	"context"
	"time"

	"almondstile/backend"
	"almondstile/contract"
	"almondstile/operator"
	"almondstile/quota"
	"almondstile/vm"
)

// buildOperators creates the server of the operators' API.
func (d *Daemon) buildOperators() {
	d.operators = operator.NewServer(d.planner, statusView{d}, d.fleet, d.metrics.Registry(),
		d.settings.Security.Operators, d.budget, d.log.Part("operator"))
}

// statusView implements operator.Fleet on the daemon.
type statusView struct{ d *Daemon }

// Ready implements operator.Fleet.
func (f statusView) Ready() (bool, string) { return f.d.Ready(time.Now()) }

// Status implements operator.Fleet. It reports the state that this VM knows and
// asks the other members for their configuration versions until ctx ends.
func (f statusView) Status(ctx context.Context) operator.Status {
	d, now := f.d, time.Now()
	index, list := d.follower.Index(), d.fleet.List()
	ready, reason := d.Ready(now)
	status := operator.Status{
		VM: d.self.ID, Zone: d.self.Zone, Ready: ready, Reason: reason,
		ConfigurationVersion: index.Version(), MemberListVersion: list.Version,
	}
	for _, v := range d.follower.VersionsInForce(ctx, d.self.ID, list.VMs, now) {
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
	status.Teams, status.InactiveTeams = f.teams(index, list, now)
	return status
}

// teams returns the status of the teams that sent a request to this VM in the last
// minute, and the number of the other teams.
func (f statusView) teams(index *contract.Index, list vm.MemberList, now time.Time) (active []operator.TeamStatus, others int) {
	rates := f.d.metrics.ActiveTeams(now)
	for _, t := range index.Configuration().Teams {
		rate, ok := rates[t.ID]
		if !ok {
			others++
			continue
		}
		team := operator.TeamStatus{
			ID: t.ID, RatePerSecond: t.RatePerSecond, Burst: t.Burst,
			AdmittedPerSecond: rate.Admitted, RejectedPerSecond: rate.Rejected,
		}
		for _, bucket := range quota.BucketIDs(&t) {
			if home, ok := list.Holder(quota.HomeRole(bucket)); ok {
				team.Homes = append(team.Homes, home.ID)
			}
		}
		active = append(active, team)
	}
	return active, others
}

// service returns the status of a service according to the newest state that this
// VM received from the service's home.
func (f statusView) service(index *contract.Index, s *contract.Service, now time.Time) operator.ServiceStatus {
	states := make(map[contract.ServerID]backend.ServerState)
	if reported, err := backend.DecodeStates(f.d.servers.ServiceState(s.ID)); err == nil {
		for _, state := range reported {
			states[state.Server] = state
		}
	}
	status := operator.ServiceStatus{ID: s.ID}
	for i := range s.Servers {
		facts := f.collectFacts(index, &s.Servers[i], states)
		server := f.server(&s.Servers[i], facts, now)
		status.TotalSlots += server.Slots
		if facts.Healthy() {
			status.HealthySlots += server.Slots
		}
		status.Servers = append(status.Servers, server)
	}
	status.FloorSlots = contract.FloorSlots(s.FloorShare, index.SlotsForNewRequests(s))
	return status
}

// collectFacts returns what this VM knows about a server. The server's owner counts
// as failed from a failed call until the next successful one. That includes the
// times after a pause, when this VM no longer avoids the owner.
func (f statusView) collectFacts(index *contract.Index, s *contract.Server, states map[contract.ServerID]backend.ServerState) operator.ServerFacts {
	facts := operator.ServerFacts{Leaving: s.Leaving, AcceptsNewRequests: index.AcceptsNewRequests(s)}
	facts.State, facts.Reported = states[s.ID]
	if owner, ok := f.owner(s); ok {
		record, _ := f.d.links.Record(owner.ID)
		facts.HasOwner, facts.OwnerFailed = true, record.Failures > 0
	}
	return facts
}

// owner returns the VM that owns the server according to the member list.
func (f statusView) owner(s *contract.Server) (vm.VM, bool) {
	return f.d.fleet.List().Holder(s.OwnerRole())
}

// server returns the status of a server. The numbers of requests in flight and
// queued are set only if this VM owns the server.
func (f statusView) server(s *contract.Server, facts operator.ServerFacts, now time.Time) operator.ServerStatus {
	status := operator.ServerStatus{ID: s.ID, Zone: s.Zone, Slots: s.Slots}
	status.State, status.Why = facts.Classify()
	if owner, ok := f.owner(s); ok {
		status.Owner = owner.ID
	}
	if localStatus, ok := f.d.servers.Status(now, s.ID); ok && status.Owner == f.d.self.ID {
		status.InFlight, status.Queued = &localStatus.InFlight, &localStatus.Queued
	}
	return status
}
