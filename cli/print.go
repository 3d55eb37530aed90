package cli

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"almondstile/configstore"
	"almondstile/contract"
	"almondstile/operator"
	"almondstile/settings"

	"github.com/cockroachdb/errors"
)

// maxLines bounds each section, so that the output fits on one screen.
const maxLines = 8

// print writes a result as JSON or for people.
func (g *globalOptions) print(value any) error {
	if g.JSON {
		return g.printJSON(value)
	}
	w := tabwriter.NewWriter(g.stdout, 0, 0, 2, ' ', 0)
	switch v := value.(type) {
	case planOutput:
		printPlan(w, v)
	case configstore.Outcome:
		line(w, "Accepted at version %d.", v.Version)
	case operator.Status:
		printStatus(w, v)
	}
	return w.Flush()
}

func line(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}

// section writes a title and at most maxLines lines.
func section[T any](w io.Writer, title string, items []T, text func(T) string) {
	if len(items) == 0 {
		return
	}
	line(w, "%s", title)
	for _, item := range items[:min(len(items), maxLines)] {
		line(w, "  %s", text(item))
	}
	if more := len(items) - maxLines; more > 0 {
		line(w, "  and %d more; --json lists all", more)
	}
}

func printPlan(w io.Writer, out planOutput) {
	plan := out.Plan
	line(w, "Plan %s on version %d", plan.ID, plan.Base)
	printEffect(w, &plan.Effect)
	if out.Credential != "" {
		line(w, "Credential, shown only now: %s", out.Credential)
	}
	if !out.confirming {
		line(w, "Nothing has changed yet. To make it take effect: almondstile confirm %s", plan.ID)
	}
}

func printEffect(w io.Writer, e *contract.Effect) {
	section(w, "Zones", e.Zones, func(z contract.ZoneEffect) string {
		if z.Kind != contract.Changed {
			return fmt.Sprintf("%s\t%s", z.ID, z.Kind)
		}
		return fmt.Sprintf("%s\t%s\t%s -> %s", z.ID, z.Kind, inOrOut(z.OutBefore), inOrOut(z.OutAfter))
	})
	section(w, "Services", e.Services, func(s contract.ServiceEffect) string {
		return fmt.Sprintf("%s\t%s\tslots for new work %d -> %d\tfloor %d\t%s",
			s.ID, s.Kind, s.SlotsBefore, s.SlotsAfter, s.FloorSlots, list("servers ", s.Servers))
	})
	section(w, "Teams", e.Teams, func(t contract.TeamEffect) string {
		return fmt.Sprintf("%s\t%s\trate %v -> %v\tburst %d -> %d\tweight %d -> %d\t%s%s", t.ID, t.Kind,
			t.Before.RatePerSecond, t.After.RatePerSecond, t.Before.Burst, t.After.Burst, t.Before.Weight, t.After.Weight,
			list("gains ", t.RoutesGained), list("loses ", t.RoutesLost))
	})
	section(w, "Keys", e.Keys, func(k contract.KeyEffect) string {
		return fmt.Sprintf("%s\t%s\tteam %s", k.ID, k.Kind, k.Team)
	})
	section(w, "Routes", e.Routes, func(r contract.RouteEffect) string {
		return fmt.Sprintf("%s\t%s\t%s", r.ID, r.Kind, strings.Join(r.Fields, ", "))
	})
	section(w, "Warnings", e.Warnings, func(s string) string { return s })
}

func inOrOut(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

// list joins a few IDs, or is empty.
func list[T ~string](prefix string, ids []T) string {
	if len(ids) == 0 {
		return ""
	}
	const most = 4
	text := make([]string, 0, most)
	for _, id := range ids[:min(len(ids), most)] {
		text = append(text, string(id))
	}
	if len(ids) > most {
		text = append(text, fmt.Sprintf("and %d more", len(ids)-most))
	}
	return prefix + strings.Join(text, ", ") + " "
}

func printStatus(w io.Writer, s operator.Status) {
	state := "ready"
	if !s.Ready {
		state = "not ready: " + s.Reason
	}
	line(w, "VM %s in zone %s, %s", s.VM, s.Zone, state)
	line(w, "Version %d in force; member list %d with %d VMs", s.ConfigurationVersion, s.MemberListVersion, len(s.Members))
	behind := slices.DeleteFunc(slices.Clone(s.Members), func(m operator.MemberStatus) bool {
		return m.Known && m.ConfigurationVersion == s.ConfigurationVersion
	})
	section(w, fmt.Sprintf("VMs at another version (%d of %d)", len(behind), len(s.Members)), behind, memberLine)
	section(w, "Zones", s.Zones, func(z operator.ZoneStatus) string { return fmt.Sprintf("%s\t%s", z.ID, inOrOut(z.Out)) })
	services := slices.Clone(s.Services)
	slices.SortStableFunc(services, func(a, b operator.ServiceStatus) int {
		return cmp.Compare(healthyShare(a), healthyShare(b))
	})
	section(w, "Services, least healthy first", services, func(v operator.ServiceStatus) string {
		return fmt.Sprintf("%s\thealthy slots %d of %d\tfloor %d\t%d servers",
			v.ID, v.HealthySlots, v.TotalSlots, v.FloorSlots, len(v.Servers))
	})
	section(w, "Servers that are not serving", notServing(s.Services), func(v operator.ServerStatus) string {
		return fmt.Sprintf("%s\t%s\tzone %s\towner %s\t%s", v.ID, v.State, v.Zone, v.Owner, v.Why)
	})
	teams := slices.Clone(s.Teams)
	slices.SortStableFunc(teams, func(a, b operator.TeamStatus) int {
		return cmp.Compare(b.RejectedPerSecond, a.RejectedPerSecond)
	})
	section(w, "Teams, most rejections first", teams, func(t operator.TeamStatus) string {
		return fmt.Sprintf("%s\thomes %v\trate %v\tburst %d\tadmitted %.1f/s\trejected %.1f/s",
			t.ID, t.Homes, t.RatePerSecond, t.Burst, t.AdmittedPerSecond, t.RejectedPerSecond)
	})
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

func notServing(services []operator.ServiceStatus) []operator.ServerStatus {
	var out []operator.ServerStatus
	for _, s := range services {
		for _, server := range s.Servers {
			if server.State != operator.ServerServing {
				out = append(out, server)
			}
		}
	}
	return out
}

// printFaults lists all faults, however many: they are to be corrected at once.
func (g *globalOptions) printFaults(file string, faults []settings.Fault) error {
	if g.JSON {
		if err := g.printJSON(struct {
			Faults []settings.Fault `json:"faults"`
		}{append([]settings.Fault{}, faults...)}); err != nil {
			return err
		}
	} else {
		for _, f := range faults {
			line(g.stdout, "%s", f)
		}
	}
	if len(faults) > 0 {
		err := errors.Newf("faults in %s: %d", file, len(faults))
		return &ExitError{ExitUsage, errors.Mark(err, errPrinted)}
	}
	if !g.JSON {
		line(g.stdout, "%s: no faults", file)
	}
	return nil
}
