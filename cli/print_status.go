package cli

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"almondstile/operator"
)

// printStatus writes the VM's own state, then problems (servers not in full
// service, VMs at another configuration version), then services, zones and teams.
func printStatus(w io.Writer, s operator.Status) {
	state := "ready"
	if !s.Ready {
		state = "not ready: " + s.Reason
	}
	printLine(w, "VM %s in zone %s, %s", s.VM, s.Zone, state)
	printLine(w, "Version %d in force; member list %d with %d VMs", s.ConfigurationVersion, s.MemberListVersion, len(s.Members))
	impaired := serversNotServing(s.Services)
	printLine(w, "%s", serverSummary(impaired))
	printSection(w, "Servers that are not in full service, worst first", impaired, func(v operator.ServerStatus) string {
		return fmt.Sprintf("%s\t%s\tzone %s\towner %s\t%s", v.ID, v.State, v.Zone, cmp.Or(v.Owner, "none"), v.Why)
	})
	otherVersion := slices.DeleteFunc(slices.Clone(s.Members), func(m operator.MemberStatus) bool {
		return m.Known && m.ConfigurationVersion == s.ConfigurationVersion
	})
	printSection(w, fmt.Sprintf("VMs at another version (%d of %d)", len(otherVersion), len(s.Members)), otherVersion, formatMember)
	printServices(w, s.Services)
	printSection(w, "Zones", s.Zones, func(z operator.ZoneStatus) string { return fmt.Sprintf("%s\t%s", z.ID, zoneState(z.Out)) })
	printTeams(w, s)
}

func printServices(w io.Writer, services []operator.ServiceStatus) {
	services = slices.Clone(services)
	slices.SortStableFunc(services, func(a, b operator.ServiceStatus) int {
		return cmp.Compare(healthyShare(a), healthyShare(b))
	})
	printSection(w, "Services, least healthy first", services, func(v operator.ServiceStatus) string {
		return fmt.Sprintf("%s\thealthy slots %d of %d\tfloor %d\t%d servers",
			v.ID, v.HealthySlots, v.TotalSlots, v.FloorSlots, len(v.Servers))
	})
}

func printTeams(w io.Writer, s operator.Status) {
	teams := slices.Clone(s.Teams)
	slices.SortStableFunc(teams, func(a, b operator.TeamStatus) int {
		return cmp.Compare(b.RejectedPerSecond, a.RejectedPerSecond)
	})
	printSection(w, "Teams active at this VM, most rejections first", teams, func(t operator.TeamStatus) string {
		return fmt.Sprintf("%s\thomes %v\trate %v\tburst %d\tadmitted %.1f/s\trejected %.1f/s",
			t.ID, t.Homes, t.RatePerSecond, t.Burst, t.AdmittedPerSecond, t.RejectedPerSecond)
	})
	printLine(w, "Teams not active at this VM in the last minute: %d", s.InactiveTeams)
}

// healthyShare returns the share of slots on healthy servers, from 0 to 1. It is 0
// for a service without slots, because such a service can't serve any request.
func healthyShare(s operator.ServiceStatus) float64 {
	return float64(s.HealthySlots) / float64(max(s.TotalSlots, 1))
}

func formatMember(m operator.MemberStatus) string {
	if !m.Known {
		return fmt.Sprintf("%s\tzone %s\tunknown", m.VM, m.Zone)
	}
	return fmt.Sprintf("%s\tzone %s\tversion %d", m.VM, m.Zone, m.ConfigurationVersion)
}

// statesWorstFirst lists the server states from worst to best: first faults, then
// servers that are returning to service, then states that operators asked for.
var statesWorstFirst = []operator.ServerState{
	operator.ServerUnreachable, operator.ServerEjected, operator.ServerLowWeight, operator.ServerProbing,
	operator.ServerCold, operator.ServerUnknown, operator.ServerZoneOut, operator.ServerLeaving,
}

// serversNotServing returns the servers of all services that are not in full
// service, sorted by state as in statesWorstFirst.
func serversNotServing(services []operator.ServiceStatus) []operator.ServerStatus {
	var impaired []operator.ServerStatus
	for _, s := range services {
		for _, server := range s.Servers {
			if server.State != operator.ServerServing {
				impaired = append(impaired, server)
			}
		}
	}
	slices.SortStableFunc(impaired, func(a, b operator.ServerStatus) int {
		return cmp.Compare(slices.Index(statesWorstFirst, a.State), slices.Index(statesWorstFirst, b.State))
	})
	return impaired
}

// serverSummary returns one line with the number of impaired servers in each state.
func serverSummary(impaired []operator.ServerStatus) string {
	if len(impaired) == 0 {
		return "All servers are serving"
	}
	counts := make(map[operator.ServerState]int)
	for _, server := range impaired {
		counts[server.State]++
	}
	var parts []string
	for _, state := range statesWorstFirst {
		if counts[state] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[state], state))
		}
	}
	return "Servers: " + strings.Join(parts, ", ")
}
