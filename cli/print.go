package cli

import (
	"fmt"
	"io"
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
	case operator.DiscardReply:
		printDiscard(w, v)
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
	line(w, "Plan %s on version %d", plan.ID, plan.BaseVersion)
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
