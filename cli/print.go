package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"almondstile/configcheck"
	"almondstile/configstore"
	"almondstile/contract"
	"almondstile/operator"
	"almondstile/settings"

	"github.com/cockroachdb/errors"
)

// maxLines is the limit of lines in one section. It keeps the output on one
// screen. It also limits the faults that describeError lists.
const maxLines = 8

// print writes the result of a command to standard output: as JSON with --json,
// otherwise as aligned text.
func (g *globalOptions) print(value any) error {
	if g.JSON {
		return g.printJSON(value)
	}
	w := tabwriter.NewWriter(g.stdout, 0, 0, 2, ' ', 0)
	switch v := value.(type) {
	case planOutput:
		printPlan(w, v)
	case configstore.Outcome:
		printLine(w, "Accepted at version %d.", v.Version)
	case operator.DiscardReply:
		printDiscard(w, v)
	case operator.Status:
		printStatus(w, v)
	case *configcheck.Report:
		printReport(w, v)
	}
	return w.Flush()
}

// printLine formats one line and adds the line break.
func printLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}

// printSection writes a title, one line for each of the first maxLines items, and
// the number of items left out. It writes nothing if there are no items.
func printSection[T any](w io.Writer, title string, items []T, text func(T) string) {
	if len(items) == 0 {
		return
	}
	printLine(w, "%s", title)
	for _, item := range items[:min(len(items), maxLines)] {
		printLine(w, "  %s", text(item))
	}
	if more := len(items) - maxLines; more > 0 {
		printLine(w, "  and %d more; --json lists all", more)
	}
}

func printPlan(w io.Writer, out planOutput) {
	plan := out.Plan
	printLine(w, "Plan %s on version %d", plan.ID, plan.BaseVersion)
	printEffect(w, &plan.Effect)
	if out.Credential != "" {
		printLine(w, "Credential, shown only now: %s", out.Credential)
	}
	if !out.confirmFollows {
		printLine(w, "Nothing has changed yet. To make it take effect: almondstile confirm %s", plan.ID)
	}
}

func printEffect(w io.Writer, e *contract.Effect) {
	printSection(w, "Zones", e.Zones, func(z contract.ZoneEffect) string {
		if z.Kind != contract.Changed {
			return fmt.Sprintf("%s\t%s", z.ID, z.Kind)
		}
		return fmt.Sprintf("%s\t%s\t%s -> %s", z.ID, z.Kind, zoneState(z.OutBefore), zoneState(z.OutAfter))
	})
	printSection(w, "Services", e.Services, func(s contract.ServiceEffect) string {
		return fmt.Sprintf("%s\t%s\tslots for new work %d -> %d\tfloor %d\t%s",
			s.ID, s.Kind, s.SlotsBefore, s.SlotsAfter, s.FloorSlots, joinLimited("servers ", s.Servers))
	})
	printSection(w, "Teams", e.Teams, func(t contract.TeamEffect) string {
		return fmt.Sprintf("%s\t%s\trate %v -> %v\tburst %d -> %d\tweight %d -> %d\t%s%s", t.ID, t.Kind,
			t.Before.RatePerSecond, t.After.RatePerSecond, t.Before.Burst, t.After.Burst, t.Before.Weight, t.After.Weight,
			joinLimited("gains ", t.RoutesGained), joinLimited("loses ", t.RoutesLost))
	})
	printSection(w, "Keys", e.Keys, func(k contract.KeyEffect) string {
		return fmt.Sprintf("%s\t%s\tteam %s", k.ID, k.Kind, k.Team)
	})
	printSection(w, "Routes", e.Routes, func(r contract.RouteEffect) string {
		return fmt.Sprintf("%s\t%s\t%s", r.ID, r.Kind, strings.Join(r.Fields, ", "))
	})
	printSection(w, "Warnings", e.Warnings, func(s string) string { return s })
}

func zoneState(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

// joinLimited joins the first maxIDs IDs with commas, puts prefix in front and adds
// the number of IDs left out. It ends with a space. It returns "" if there are no
// IDs.
func joinLimited[T ~string](prefix string, ids []T) string {
	if len(ids) == 0 {
		return ""
	}
	const maxIDs = 4
	text := make([]string, 0, maxIDs)
	for _, id := range ids[:min(len(ids), maxIDs)] {
		text = append(text, string(id))
	}
	if len(ids) > maxIDs {
		text = append(text, fmt.Sprintf("and %d more", len(ids)-maxIDs))
	}
	return prefix + strings.Join(text, ", ") + " "
}

// printFaults lists all faults of a settings file without a limit, so that an
// operator can correct them in one pass. It returns an ExitError with ExitUsage if
// there are any.
func (g *globalOptions) printFaults(file string, faults []settings.Fault) error {
	if g.JSON {
		if err := g.printJSON(struct {
			Faults []settings.Fault `json:"faults"`
		}{append([]settings.Fault{}, faults...)}); err != nil {
			return err
		}
	} else {
		for _, f := range faults {
			printLine(g.stdout, "%s", f)
		}
	}
	if len(faults) > 0 {
		err := errors.Newf("faults in %s: %d", file, len(faults))
		return &ExitError{ExitUsage, errors.Mark(err, errPrinted)}
	}
	if !g.JSON {
		printLine(g.stdout, "%s: no faults", file)
	}
	return nil
}
