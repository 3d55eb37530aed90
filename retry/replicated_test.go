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

// Guards against retries of all VMs together that exceed the budget in a window. The
// VMs receive each other's counters late. After a kill of all VMs at once or one by
// one, the retries of the earlier processes still count.
func TestSharedBudgetHoldsOverAllVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms, step, length = 16, 20 * time.Millisecond, 25 * time.Second
		limits := BudgetLimits{Ratio: 0.2, Slack: float64(rapid.IntRange(40, 200).Draw(t, "slack")), Window: 10 * time.Second}
		requestsPerSecond := float64(rapid.IntRange(1, 80).Draw(t, "requests_per_s"))
		delay := time.Duration(rapid.IntRange(20, 150).Draw(t, "delay_ms")) * time.Millisecond
		const service contract.ServiceID = "service-1"
		subject := tally.SubjectOf(tally.Service, string(service))
		kill := rapid.SampledFrom([]string{"none", "all", "one by one"}).Draw(t, "kill")
		var budgets [vms]*ReplicatedBudgets
		var started [vms]time.Duration
		for i := range budgets {
			budgets[i] = NewReplicatedBudgets(time.Unix(1000, 0), limits)
		}
		type send struct {
			at      time.Duration
			vm      int
			isRetry bool
		}
		var sends []send
		delivered, dueRequests := 0, 0.0
		start := time.Unix(1000, 0)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for at := time.Duration(0); at < length; at += step {
			now := start.Add(at)
			for i := range budgets {
				all := kill == "all" && at == length/2
				single := kill == "one by one" && at == time.Duration(i+1)*time.Second
				if all || single {
					budgets[i], started[i] = NewReplicatedBudgets(now, limits), at
				}
			}
			for ; delivered < len(sends) && at-sends[delivered].at >= delay; delivered++ {
				s := sends[delivered]
				for i := range budgets {
					switch {
					case i == s.vm, s.at < started[i]:
					case s.isRetry:
						budgets[i].RecordSends(start.Add(s.at), subject, 0, 1)
					default:
						budgets[i].RecordSends(start.Add(s.at), subject, 1, 0)
					}
				}
			}
			for dueRequests += requestsPerSecond * step.Seconds(); dueRequests >= 1; dueRequests-- {
				vm := rng.IntN(vms)
				budgets[vm].RecordFirstAttempt(now, service)
				sends = append(sends, send{at, vm, false})
				if budgets[vm].Spend(now, service, 1) { // every first attempt fails
					sends = append(sends, send{at, vm, true})
				}
			}
		}
		for i := range sends {
			first, retries := 0, 0
			for _, s := range sends[i:] {
				if s.at-sends[i].at >= limits.Window {
					break
				}
				if s.isRetry {
					retries++
				} else {
					first++
				}
			}
			if bound := limits.Ratio*float64(first) + limits.Slack; float64(retries) > bound {
				t.Fatalf("%d retries for %d first attempts in %s, want at most %.1f", retries, first, limits.Window, bound)
			}
		}
	})
}
