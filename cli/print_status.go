package cli

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"almondstile/operator"
)

// printStatus writes what is wrong first, then the state of the whole fleet.
func printStatus(w io.Writer, s operator.Status) {
	state := "ready"
	if !s.Ready {
		state = "not ready: " + s.Reason
	}
	line(w, "VM %s in zone %s, %s", s.VM, s.Zone, state)
	line(w, "Version %d in force; member list %d with %d VMs", s.ConfigurationVersion, s.MemberListVersion, len(s.Members))
	out := notServing(s.Services)
	line(w, "%s", summary(out))
	section(w, "Servers that are not in full service, worst first", out, func(v operator.ServerStatus) string {
		return fmt.Sprintf("%s\t%s\tzone %s\towner %s\t%s", v.ID, v.State, v.Zone, cmp.Or(v.Owner, "none"), v.Why)
	})
	behind := slices.DeleteFunc(slices.Clone(s.Members), func(m operator.MemberStatus) bool {
		return m.Known && m.ConfigurationVersion == s.ConfigurationVersion
	})
	section(w, fmt.Sprintf("VMs at another version (%d of %d)", len(behind), len(s.Members)), behind, memberLine)
	printServices(w, s.Services)
	section(w, "Zones", s.Zones, func(z operator.ZoneStatus) string { return fmt.Sprintf("%s\t%s", z.ID, inOrOut(z.Out)) })
	printTeams(w, s)
}

func printServices(w io.Writer, services []operator.ServiceStatus) {
	services = slices.Clone(services)
	slices.SortStableFunc(services, func(a, b operator.ServiceStatus) int {
		return cmp.Compare(healthyShare(a), healthyShare(b))
	})
	section(w, "Services, least healthy first", services, func(v operator.ServiceStatus) string {
		return fmt.Sprintf("%s\thealthy slots %d of %d\tfloor %d\t%d servers",
			v.ID, v.HealthySlots, v.TotalSlots, v.FloorSlots, len(v.Servers))
	})
}

func printTeams(w io.Writer, s operator.Status) {
	teams := slices.Clone(s.Teams)
	slices.SortStableFunc(teams, func(a, b operator.TeamStatus) int {
		return cmp.Compare(b.RejectedPerSecond, a.RejectedPerSecond)
	})
	section(w, "Teams active at this VM, most rejections first", teams, func(t operator.TeamStatus) string {
		return fmt.Sprintf("%s\thomes %v\trate %v\tburst %d\tadmitted %.1f/s\trejected %.1f/s",
			t.ID, t.Homes, t.RatePerSecond, t.Burst, t.AdmittedPerSecond, t.RejectedPerSecond)
	})
	line(w, "Teams not active at this VM in the last minute: %d", s.OtherTeams)
}

// healthyShare is 0 for a service without slots, which serves nobody.
func healthyShare(s operator.ServiceStatus) float64 {
	return float64(s.HealthySlots) / float64(max(s.TotalSlots, 1))
}

func memberLine(m operator.MemberStatus) string {
	if !m.Known {
		return fmt.Sprintf("%s\tzone %s\tunknown", m.VM, m.Zone)
	}
	return fmt.Sprintf("%s\tzone %s\tversion %d", m.VM, m.Zone, m.ConfigurationVersion)
}

// worstFirst orders the states of servers: faults, then servers on their way
// back, then what operators asked for.
var worstFirst = []operator.ServerState{
	operator.ServerUnreachable, operator.ServerEjected, operator.ServerLowWeight, operator.ServerProbing,
	operator.ServerCold, operator.ServerUnknown, operator.ServerZoneOut, operator.ServerLeaving,
}

// notServing lists the servers that are not in full service, worst first.
func notServing(services []operator.ServiceStatus) []operator.ServerStatus {
	var out []operator.ServerStatus
	for _, s := range services {
		for _, server := range s.Servers {
			if server.State != operator.ServerServing {
				out = append(out, server)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b operator.ServerStatus) int {
		return cmp.Compare(slices.Index(worstFirst, a.State), slices.Index(worstFirst, b.State))
	})
	return out
}

// summary counts the servers that are not in full service by state.
func summary(out []operator.ServerStatus) string {
	if len(out) == 0 {
		return "All servers are serving"
	}
	counts := make(map[operator.ServerState]int)
	for _, server := range out {
		counts[server.State]++
	}
	var parts []string
	for _, state := range worstFirst {
		if counts[state] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[state], state))
		}
	}
	return "Servers: " + strings.Join(parts, ", ")
}
