package retry

import (
	"testing"
	"time"
)

// Guards against hedges that use up the budget of a service that answers late, so that its
// failed requests cannot be repeated.
func TestHedgesLeaveAPartOfTheBudgetToRetries(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewReplicatedBudgets(now.Add(-time.Minute), startTimes{starts: []time.Duration{0}}, BudgetLimits{Ratio: 0.2, Slack: 20, Window: 10 * time.Second})
	for range 100 {
		b.RecordFirstAttempt(now, "s")
	}
	budget := b.Left(now, "s", 1)
	hedges := 0
	for b.Spend(now, "s", 1, HedgeReserve) {
		hedges++
	}
	retries := 0
	for b.Spend(now, "s", 1, 0) {
		retries++
	}
	if float64(hedges) > (1-HedgeReserve)*budget || float64(retries) < HedgeReserve*budget-1 || hedges == 0 {
		t.Errorf("of a budget of %.1f there were %d hedges and then %d retries", budget, hedges, retries)
	}
}
