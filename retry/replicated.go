package retry

import (
	"sync/atomic"
	"time"

	"almondstile/contract"
	"almondstile/shard"
	"almondstile/tally"
)

// BudgetLimits limits the retries of a service over all VMs: in any period of length
// Window, at most Ratio × first attempts + Slack.
type BudgetLimits struct {
	// Ratio is the number of retries that one first attempt allows.
	Ratio float64
	// Slack is the number of retries that are allowed without any first attempt.
	Slack  float64
	Window time.Duration
}

const (
	// windowSlots is the number of slots of a window. A slot is the resolution with
	// which attempts are counted.
	windowSlots = 20
	// keptSlots is the number of slots that are kept. It is one more than windowSlots,
	// because a window that starts within a slot contains a part of it.
	keptSlots = windowSlots + 1
	// usedSlackShare is the part of the slack that is used. The rest covers retries
	// that VMs send before they receive each other's counters.
	usedSlackShare = 0.65
	// startupSlackShare is the part of the used slack that is available in the first
	// window after all VMs have started. Their earlier processes may have used all of
	// the used slack just before they stopped, so both together stay below the slack.
	startupSlackShare = 0.1
)

// HedgeReserve is the part (0 to 1) of a service's budget that hedges leave to retries. A
// hedge saves time, a retry the request. A service that is short of room answers late, so
// that hedges would use up the budget before its servers fail anything.
const HedgeReserve = 0.5

// ReplicatedBudgets holds a replicated retry budget for each service. Every VM
// updates its replica from its own attempts and from the counters that it receives
// from the other VMs. The zero value allows no retry. It is safe for concurrent use.
type ReplicatedBudgets struct {
	limits   BudgetLimits
	fleet    Fleet
	services shard.Map[tally.Subject, *sendCounts]
	// epoch is the time from which slots are numbered. Differences to it are taken on the
	// monotonic clock, so a step of the time of day moves no slot.
	epoch time.Time
	// completeSince is the time in nanoseconds from the epoch since which the counts include
	// the attempts of all VMs: the start of this process, or an earlier time after Adopt.
	completeSince atomic.Int64
}

// Fleet provides what this VM knows of the starts of the others.
type Fleet interface {
	// OlderVMsLive reports whether this VM receives messages from a VM that started
	// clearly before it.
	OlderVMsLive(now time.Time) bool
}

// NewReplicatedBudgets returns the budgets of a process that starts at the given time
// and does not know of earlier attempts.
func NewReplicatedBudgets(started time.Time, fleet Fleet, limits BudgetLimits) *ReplicatedBudgets {
	// Adopt counts attempts of one window before the start.
	s := &ReplicatedBudgets{limits: limits, fleet: fleet, epoch: started.Add(-2 * limits.Window)}
	s.completeSince.Store(int64(started.Sub(s.epoch)))
	return s
}

// sendCounts counts a service's first attempts and retries in the slots of the
// window.
type sendCounts struct {
	slots [keptSlots]struct {
		number         int64 // the slot's number from the epoch on
		first, retries float64
	}
}

// RecordFirstAttempt counts the first attempt of a request at this VM.
func (s *ReplicatedBudgets) RecordFirstAttempt(now time.Time, service contract.ServiceID) {
	s.RecordSends(now, tally.SubjectOf(tally.Service, string(service)), 1, 0)
}

// Spend reports whether the budget allows a retry that leaves the part reserve (0 to 1) of
// the budget to others, and counts it if so. share is the connected share of this VM (0 to
// 1); only this part of the slack is available.
func (s *ReplicatedBudgets) Spend(now time.Time, service contract.ServiceID, share, reserve float64) (ok bool) {
	slot, slack := s.slotNumber(now), s.availableSlack(now)
	s.services.Do(tally.SubjectOf(tally.Service, string(service)), newSendCounts, func(c *sendCounts) {
		first, retries := c.sum(slot)
		if ok = retries+1 <= (1-reserve)*(s.limits.Ratio*first+slack*share); ok {
			c.add(slot, 0, 1)
		}
	})
	return ok
}

// Left returns the number of retries that the budget still allows, 0 or less if it is used
// up. share is the connected share of this VM, from 0 to 1.
func (s *ReplicatedBudgets) Left(now time.Time, service contract.ServiceID, share float64) (left float64) {
	slot, slack := s.slotNumber(now), s.availableSlack(now)
	left = slack * share
	s.services.DoExisting(tally.SubjectOf(tally.Service, string(service)), func(c *sendCounts) {
		first, retries := c.sum(slot)
		left += s.limits.Ratio*first - retries
	})
	return left
}

// availableSlack returns the number of retries of the slack that are available at
// the given time. A VM that has just started knows of no earlier attempts. Until it has
// adopted those of an older VM it has no slack, and if there is no older VM, a part.
func (s *ReplicatedBudgets) availableSlack(now time.Time) float64 {
	slack := s.limits.Slack * usedSlackShare
	switch {
	case s.CompleteFor(now) >= s.limits.Window:
		return slack
	case s.fleet.OlderVMsLive(now):
		return 0
	default:
		return slack * startupSlackShare
	}
}

// RecordSends counts attempts of a service that were made now. Those of other VMs
// are counted when their counters arrive.
func (s *ReplicatedBudgets) RecordSends(now time.Time, subject tally.Subject, first, retries uint64) {
	slot := s.slotNumber(now)
	s.services.Do(subject, newSendCounts, func(c *sendCounts) { c.add(slot, float64(first), float64(retries)) })
}

// SendRate returns the number of attempts per second of the service over the last
// two slots, by all VMs.
func (s *ReplicatedBudgets) SendRate(now time.Time, service contract.ServiceID) float64 {
	slot := s.slotNumber(now)
	sent := 0.0
	s.services.DoExisting(tally.SubjectOf(tally.Service, string(service)), func(c *sendCounts) {
		for i := range c.slots {
			if c.slots[i].number == slot || c.slots[i].number == slot-1 {
				sent += c.slots[i].first + c.slots[i].retries
			}
		}
	})
	return sent / (2 * s.limits.Window.Seconds() / windowSlots)
}

// slotNumber returns the number of the slot at the given time, from the epoch on.
func (s *ReplicatedBudgets) slotNumber(now time.Time) int64 {
	return int64(max(now.Sub(s.epoch), 0) / max(s.limits.Window/windowSlots, time.Millisecond))
}

// add counts first attempts and retries in the slot with the number. It clears the
// counts of an older slot in the same place.
func (c *sendCounts) add(number int64, first, retries float64) {
	slot := &c.slots[number%keptSlots]
	if slot.number != number {
		slot.number, slot.first, slot.retries = number, 0, 0
	}
	slot.first += first
	slot.retries += retries
}

// sum returns the first attempts and retries in the window that ends in the slot now.
// It leaves out first attempts that may be before the window, and includes retries
// that may be in it.
func (c *sendCounts) sum(now int64) (first, retries float64) {
	for i := range c.slots {
		slot := &c.slots[i]
		if slot.number > now-windowSlots && slot.number <= now {
			first += slot.first
		}
		if slot.number > now-keptSlots && slot.number <= now {
			retries += slot.retries
		}
	}
	return first, retries
}

func newSendCounts() *sendCounts { return &sendCounts{} }
