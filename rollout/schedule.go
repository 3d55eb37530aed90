package rollout

import "time"

const (
	// The write margin is the time before the deadline by which the old servers should be
	// empty. It covers the spread of the verdict and two failed writes to the store.
	writeMarginPart                = 8
	minWriteMargin, maxWriteMargin = 1500 * time.Millisecond, 3 * time.Second
	// The shift period precedes the write margin. In it, all requests move and the old
	// servers finish theirs.
	shiftPeriodPart                = 4
	minShiftPeriod, maxShiftPeriod = 3 * time.Second, 15 * time.Second
	// minComparePart is the least part of a short roll-out in which versions are compared.
	minComparePart = 3
	// rampPart is the part of the shift period in which the share grows to 1, at most
	// maxRamp.
	rampPart = 3
	maxRamp  = 1500 * time.Millisecond
)

// schedule holds the times of a roll-out's phases since its order. Each VM follows its own
// clock, so the phases need no messages.
type schedule struct {
	// shift is when requests begin to move if the comparison is clear, latestShift when the
	// roll-out is given up if it is not.
	shift, latestShift time.Duration
	// ramp is the time in which the share then grows to 1.
	ramp time.Duration
	// writeBy is when the old servers should be empty.
	writeBy  time.Duration
	deadline time.Duration
}

// newSchedule returns the phases of a roll-out of the duration.
func newSchedule(duration time.Duration) schedule {
	writeMargin := min(max(duration/writeMarginPart, minWriteMargin), maxWriteMargin)
	period := min(max(duration/shiftPeriodPart, minShiftPeriod), maxShiftPeriod)
	ramp := min(period/rampPart, maxRamp)
	shift := max(duration-writeMargin-period, duration/minComparePart)
	return schedule{
		shift:       shift,
		latestShift: max(duration-writeMargin-ramp, shift),
		ramp:        ramp,
		writeBy:     max(duration-writeMargin, shift),
		deadline:    duration,
	}
}

// tail returns the time from the latest shift to the deadline.
func (s schedule) tail() time.Duration { return s.deadline - s.latestShift }
