package retry

import (
	"time"

	"almondstile/tally"
)

// minUptimeLead is how much longer than this VM another one must have run to know of
// earlier attempts. Less is the difference of VMs that start together.
const minUptimeLead = 1 * time.Second

// Windows holds the attempts of the last window as one VM knows them. A VM that has
// just started adopts those of a VM that has run for longer. Otherwise each restart
// would give out a part of the slack that was used already.
type Windows struct {
	// CompleteFor is the time for which the counts include the attempts of all VMs.
	CompleteFor time.Duration
	Services    []ServiceWindow
}

// ServiceWindow holds the attempts of one service.
type ServiceWindow struct {
	Subject tally.Subject
	Slots   []SlotCounts
}

// SlotCounts holds the first attempts and retries of one slot. Age is the number of
// slots between it and the slot at the time of the Windows.
type SlotCounts struct {
	Age            int
	First, Retries uint64
}

// CompleteFor returns the time for which the counts include the attempts of all VMs.
func (s *ReplicatedBudgets) CompleteFor(now time.Time) time.Duration {
	return now.Sub(s.epoch) - time.Duration(s.completeSince.Load())
}

// NeedsWindowsOf reports whether a VM whose process has run for the uptime knows of
// attempts in the last window that this VM does not know of.
func (s *ReplicatedBudgets) NeedsWindowsOf(now time.Time, uptime time.Duration) bool {
	known := s.CompleteFor(now)
	return known < s.limits.Window && uptime > known+minUptimeLead
}

// Windows returns the attempts of the last window.
func (s *ReplicatedBudgets) Windows(now time.Time) Windows {
	w, slot := Windows{CompleteFor: s.CompleteFor(now)}, s.slotNumber(now)
	s.services.Range(func(subject tally.Subject, c *sendCounts) bool {
		service := ServiceWindow{Subject: subject}
		for i := range c.slots {
			counts := &c.slots[i]
			if age := slot - counts.number; age >= 0 && age < keptSlots {
				service.Slots = append(service.Slots, SlotCounts{Age: int(age), First: uint64(counts.first), Retries: uint64(counts.retries)})
			}
		}
		if len(service.Slots) > 0 {
			w.Services = append(w.Services, service)
		}
		return true
	})
	return w
}

// Adopt takes the attempts of another VM's windows if they are complete for longer than
// this VM's. Attempts that this VM has counted as well are not added again.
func (s *ReplicatedBudgets) Adopt(now time.Time, w Windows) {
	if w.CompleteFor <= s.CompleteFor(now) {
		return
	}
	slot := s.slotNumber(now)
	for _, service := range w.Services {
		s.services.Do(service.Subject, newSendCounts, func(c *sendCounts) {
			for _, counts := range service.Slots {
				if counts.Age >= 0 && counts.Age < keptSlots {
					c.raise(slot-int64(counts.Age), float64(counts.First), float64(counts.Retries))
				}
			}
		})
	}
	s.completeSince.Store(int64(now.Sub(s.epoch) - min(w.CompleteFor, s.limits.Window)))
}

// raise sets the counts of the slot with the number to at least the given ones.
func (c *sendCounts) raise(number int64, first, retries float64) {
	c.add(number, 0, 0)
	slot := &c.slots[number%keptSlots]
	slot.first, slot.retries = max(slot.first, first), max(slot.retries, retries)
}
