package replica

import (
	"fmt"
	"testing"

	"almondstile/history"
	"almondstile/rollout"
	"almondstile/tally"
)

// at returns the position of a version in an era that the store states.
func at(era, version uint64) history.Position {
	return history.Position{Era: history.Era{Stated: era}, Version: version}
}

// orderAt returns an order for the service "s" that was written at a position.
func orderAt(target rollout.Version, row history.Position) *rollout.Order {
	order := newOrder(row.Version)
	order.Target, order.Row = target, row
	return order
}

// Guards against an order that is ignored, and the verdict and counts of another one that
// apply to it, because the store lost that one and gave its version out again.
func TestOrderWithTheVersionOfALostOne(t *testing.T) {
	r, lost, order := newRollouts("vm-1"), orderAt(target, at(1, 7)), orderAt(later, at(2, 7))
	r.Sync(start, copies(lost, nil, oldVersion, target, later))
	announce(r, start, lost, tally.RollBacks)
	r.Sync(start, copies(order, nil, oldVersion, target, later))
	if open := r.Orders(); len(open) != 1 || open[0].Target != later {
		t.Errorf("the open orders are %+v, want one with target %s", open, later)
	}
	setShare(r, 1)
	expectChoices(t, "after the order", r, order, "", 0.5, later)
	announce(r, start, lost, tally.RollBacks)
	expectChoices(t, "after a verdict on the lost order", r, order, "", 0.5, later)
}

// Guards against an order whose version gets requests by the rule of a lost order with a
// higher version, until the next Sync.
func TestRuleOfALostOrderDoesNotHoldForTheNextOne(t *testing.T) {
	r, lost, order := newRollouts("vm-1"), orderAt(target, at(1, 9)), orderAt(later, at(2, 5))
	r.Sync(start, copies(lost, nil, oldVersion, target, later))
	r.Refresh(start.Add(hold)) // no version is held any more
	setShare(r, 0)
	if got := choices(r, order, "", 0.5, oldVersion, later); fmt.Sprint(got) != "[v1]" {
		t.Errorf("a request may go to %v, want the old version", got)
	}
}
