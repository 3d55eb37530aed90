package backend

import "time"

// RampOptions configures the slow start of cold servers.
type RampOptions struct {
	// SuccessesPerStep is the number of successes in a row that are needed for one
	// more slot.
	SuccessesPerStep int
	// MinStepInterval is the minimum time between two steps. It keeps a burst of
	// fast responses from raising the limit before the server's caches are filled.
	MinStepInterval time.Duration
	// Disabled makes all slots available at once. It exists for measuring the
	// effect of the ramp.
	Disabled bool
}

// Defaults of RampOptions.
const (
	defaultRampSuccesses = 8
	defaultRampStepTime  = time.Second
)

// Ramp limits the concurrency of a server during slow start. The limit starts at
// the server's cold slots and rises by one slot when enough successes in a row
// were recorded and the minimum time since the last step has passed. A failure
// resets the count of successes.
type Ramp struct {
	limit     int
	successes int
	lastStep  time.Time
}

// Restart resets the limit to coldSlots, or to 1 if coldSlots is lower.
func (r *Ramp) Restart(now time.Time, coldSlots int) {
	*r = Ramp{limit: max(1, coldSlots), lastStep: now}
}

// Limit returns the number of requests that the server may run at a time.
func (r *Ramp) Limit() int { return r.limit }

// RecordSuccess counts a success and raises the limit by one if the conditions in
// o are met. The limit does not rise above slots.
func (r *Ramp) RecordSuccess(now time.Time, slots int, o RampOptions) {
	if r.limit >= slots {
		return
	}
	r.successes++
	if r.successes >= o.SuccessesPerStep && now.Sub(r.lastStep) >= o.MinStepInterval {
		r.limit++
		r.successes = 0
		r.lastStep = now
	}
}

// RecordFailure resets the count of successes. The limit stays.
func (r *Ramp) RecordFailure() { r.successes = 0 }
