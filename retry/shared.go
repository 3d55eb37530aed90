package retry

import (
	"time"

	"almondstile/contract"
	"almondstile/shard"
	"almondstile/tally"
)

// Terms bound the repeats of a service over all VMs: in any window, at most
// Ratio × requests + Slack.
type BudgetLimits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// sharedSlots divides the window; a slot is the resolution of its start.
	sharedSlots = 20
	// keptSlots is one more: a window that starts within a slot reaches into it.
	keptSlots = sharedSlots + 1
	// slackUsed is the part of the slack that is given out. The rest covers
	// repeats that VMs send before they hear of each other.
	slackUsed = 0.7
	// startSlack is the part of that which a process gives out at its start. It
	// grows evenly to all of it over startWindows windows: the processes before it
	// may have used theirs a moment before they ended.
	startSlack   = 0.1
	startWindows = 1.5
)

// Shared is a retry budget that all VMs keep alike from the counts of their own
// sends and those that they hear of. The zero value allows nothing.
type SharedBudgets struct {
	terms    BudgetLimits
	started  time.Time
	services shard.Map[tally.Subject, *sends]
}

// NewSharedBudgets returns the budget of a process that starts at the time, which knows
// nothing of what was sent before.
func NewSharedBudgets(started time.Time, t BudgetLimits) *SharedBudgets {
	return &SharedBudgets{terms: t, started: started}
}

// sends counts first sends and repeats in the slots of the window.
type sends struct {
	slots [keptSlots]struct {
		number        int64 // the slot's number since the epoch
		first, repeat float64
	}
}

// First counts the first send of a request.
func (s *SharedBudgets) RecordFirstAttempt(now time.Time, service contract.ServiceID) {
	s.RecordSends(now, tally.SubjectOf(tally.Service, string(service)), 1, 0)
}

// Spend counts a repeat and reports whether it may be sent. share is the part
// of the fleet that hears of it.
func (s *SharedBudgets) Spend(now time.Time, service contract.ServiceID, share float64) (ok bool) {
	slot, slack := s.slot(now), s.slack(now)
	s.services.Do(tally.SubjectOf(tally.Service, string(service)), newSends, func(c *sends) {
		first, repeat := c.sum(slot)
		if ok = repeat+1 <= s.terms.Ratio*first+slack*share; ok {
			c.add(slot, 0, 1)
		}
	})
	return ok
}

// slack returns the part of the slack that is given out at the time.
func (s *SharedBudgets) slack(now time.Time) float64 {
	most := s.terms.Slack * slackUsed
	grown := now.Sub(s.started).Seconds() / (startWindows * s.terms.Window.Seconds())
	return most * min(max(startSlack, grown), 1)
}

// Sent counts sends of other VMs.
func (s *SharedBudgets) RecordSends(now time.Time, subject tally.Subject, first, repeat uint32) {
	slot := s.slot(now)
	s.services.Do(subject, newSends, func(c *sends) { c.add(slot, float64(first), float64(repeat)) })
}

// Rate returns the rate per second at which requests of the service were sent
// over the last two slots.
func (s *SharedBudgets) SendRate(now time.Time, service contract.ServiceID) float64 {
	slot := s.slot(now)
	sent := 0.0
	s.services.DoExisting(tally.SubjectOf(tally.Service, string(service)), func(c *sends) {
		for i := range c.slots {
			if c.slots[i].number == slot || c.slots[i].number == slot-1 {
				sent += c.slots[i].first + c.slots[i].repeat
			}
		}
	})
	return sent / (2 * s.terms.Window.Seconds() / sharedSlots)
}

func (s *SharedBudgets) slot(now time.Time) int64 {
	return now.UnixNano() / int64(max(s.terms.Window/sharedSlots, time.Millisecond))
}

func (c *sends) add(number int64, first, repeat float64) {
	slot := &c.slots[number%keptSlots]
	if slot.number != number {
		slot.number, slot.first, slot.repeat = number, 0, 0
	}
	slot.first += first
	slot.repeat += repeat
}

// sum returns the sends of the window that ends now: the requests that are
// certainly in it and the repeats that may be.
func (c *sends) sum(now int64) (first, repeat float64) {
	for i := range c.slots {
		slot := &c.slots[i]
		if slot.number > now-sharedSlots && slot.number <= now {
			first += slot.first
		}
		if slot.number > now-keptSlots && slot.number <= now {
			repeat += slot.repeat
		}
	}
	return first, repeat
}

func newSends() *sends { return &sends{} }
