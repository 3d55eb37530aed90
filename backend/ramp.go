package backend

import "time"

// RampOptions sets the pace of slow start.
type RampOptions struct {
	// Successes is the length of the run of successes that earns one more slot.
	SuccessesPerStep int
	// MinStepInterval is the least time between two steps, so that a burst of quick
	// responses does not warm a server faster than its caches fill.
	MinStepInterval time.Duration
	// Off admits all slots at once. It exists to measure what the ramp is worth.
	Disabled bool
}

// Default pace of slow start.
const (
	defaultRampSuccesses = 8
	defaultRampStepTime  = time.Second
)

// Ramp limits the requests that a cold server runs at a time. It starts at the
// server's cold slots and gains one slot after each run of successes and a
// minimum time. A failure starts the run again.
type Ramp struct {
	allowed   int
	successes int
	lastStep  time.Time
}

// Restart sets the ramp back to the cold slots.
func (r *Ramp) Restart(now time.Time, coldSlots int) {
	*r = Ramp{allowed: max(1, coldSlots), lastStep: now}
}

// Allowed returns the number of requests that the server may run at a time.
func (r *Ramp) Limit() int { return r.allowed }

// Succeeded counts a success and takes the next step if it is earned.
func (r *Ramp) RecordSuccess(now time.Time, slots int, o RampOptions) {
	if r.allowed >= slots {
		return
	}
	r.successes++
	if r.successes >= o.SuccessesPerStep && now.Sub(r.lastStep) >= o.MinStepInterval {
		r.allowed++
		r.successes = 0
		r.lastStep = now
	}
}

// Failed ends the run of successes.
func (r *Ramp) RecordFailure() { r.successes = 0 }
