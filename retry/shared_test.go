package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"almondstile/contract"
	_ "almondstile/standin/seeded" // fixes the seed of rapid
	"almondstile/tally"

	"pgregory.net/rapid"
)

// Guards against repeats that exceed the budget over all VMs in any window,
// while VMs hear of each other late, and after all VMs or one by one were killed:
// what the processes before them repeated still counts.
func TestSharedBudgetHoldsOverAllVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms, step, length = 16, 20 * time.Millisecond, 25 * time.Second
		terms := BudgetLimits{Ratio: 0.2, Slack: float64(rapid.IntRange(40, 200).Draw(t, "slack")), Window: 10 * time.Second}
		perSecond := float64(rapid.IntRange(1, 80).Draw(t, "requests_per_s"))
		delay := time.Duration(rapid.IntRange(20, 150).Draw(t, "delay_ms")) * time.Millisecond
		const service contract.ServiceID = "service-1"
		subject := tally.SubjectOf(tally.Service, string(service))
		kill := rapid.SampledFrom([]string{"none", "all", "one by one"}).Draw(t, "kill")
		var budgets [vms]*SharedBudgets
		var started [vms]time.Duration
		for i := range budgets {
			budgets[i] = NewSharedBudgets(time.Unix(1000, 0), terms)
		}
		type send struct {
			at     time.Duration
			vm     int
			repeat bool
		}
		var sends []send
		heard, due := 0, 0.0
		start := time.Unix(1000, 0)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for at := time.Duration(0); at < length; at += step {
			now := start.Add(at)
			for i := range budgets {
				all := kill == "all" && at == length/2
				own := kill == "one by one" && at == time.Duration(i+1)*time.Second
				if all || own {
					budgets[i], started[i] = NewSharedBudgets(now, terms), at
				}
			}
			for ; heard < len(sends) && at-sends[heard].at >= delay; heard++ {
				s := sends[heard]
				for i := range budgets {
					switch {
					case i == s.vm, s.at < started[i]:
					case s.repeat:
						budgets[i].RecordSends(start.Add(s.at), subject, 0, 1)
					default:
						budgets[i].RecordSends(start.Add(s.at), subject, 1, 0)
					}
				}
			}
			for due += perSecond * step.Seconds(); due >= 1; due-- {
				vm := rng.IntN(vms)
				budgets[vm].RecordFirstAttempt(now, service)
				sends = append(sends, send{at, vm, false})
				if budgets[vm].Spend(now, service, 1) { // every request fails
					sends = append(sends, send{at, vm, true})
				}
			}
		}
		for i := range sends {
			first, repeats := 0, 0
			for _, s := range sends[i:] {
				if s.at-sends[i].at >= terms.Window {
					break
				}
				if s.repeat {
					repeats++
				} else {
					first++
				}
			}
			if allowed := terms.Ratio*float64(first) + terms.Slack; float64(repeats) > allowed {
				t.Fatalf("%d repeats for %d requests in %s, allowed %.1f", repeats, first, terms.Window, allowed)
			}
		}
	})
}
