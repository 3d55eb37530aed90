package catalog

import "time"

const (
	// batchPause is the pause after a call that returned changes, so that changes
	// in quick succession are read with one call. It is short compared with the
	// 2 s in which a change has to be in force.
	batchPause = 100 * time.Millisecond
	// minCallInterval is the least time between the starts of two steps of a reader,
	// whatever the store answers. A step is one call, or two if the whole table is read.
	minCallInterval = 100 * time.Millisecond
	// initialRetryDelay is the delay after the first of a series of calls that failed or
	// brought nothing new. It doubles with each further one, up to maxRetryDelay after a
	// failure and to maxIdleDelay, a share of the wait for changes, otherwise.
	initialRetryDelay = 250 * time.Millisecond
	maxRetryDelay     = 1500 * time.Millisecond
	maxIdleShare      = 0.5
	// waitedShare is the part of the wait for changes from which on a call without changes
	// has waited as it was asked to.
	waitedShare = 0.5
)

// pace decides how long a reader pauses between its calls. A call that failed, or that
// brought nothing new without having waited for it, is followed by a delay that grows.
type pace struct {
	wait         time.Duration // that calls for changes ask for
	maxIdleDelay time.Duration
	failures     int // calls that failed since the last one that did not
	idle         int // calls without changes or a wait since the last one with either
}

func newPace(times ReadTimes) pace {
	return pace{wait: times.longPollWait, maxIdleDelay: time.Duration(maxIdleShare * float64(times.longPollWait))}
}

// pauseAfter returns the pause after a step with the result that took a time. random is a
// random number, uniformly distributed in [0, 1): delays are spread, so that VMs that met
// the same answer at the same moment don't call again at the same moment.
func (p *pace) pauseAfter(result Result, took time.Duration, random float64) time.Duration {
	pause := minCallInterval - took
	switch {
	case result == ResultFailed || result == ResultOverloaded || result == ResultHistoryLost:
		p.failures++
		pause = spread(grow(p.failures, maxRetryDelay), random)
	case result == ResultChanged || result == ResultOvertaken:
		p.failures, p.idle = 0, 0
		pause = max(batchPause, pause)
	case result == ResultUnchanged && took >= time.Duration(waitedShare*float64(p.wait)):
		p.failures, p.idle = 0, 0
	default:
		p.failures = 0
		p.idle++
		pause = max(spread(grow(p.idle, p.maxIdleDelay), random), pause)
	}
	return max(pause, 0)
}

// grow returns the delay after a number of calls in series.
func grow(calls int, limit time.Duration) time.Duration {
	return min(initialRetryDelay<<min(calls-1, 4), limit)
}

// spread returns a delay between 0.5 and 1.5 times the given one.
func spread(delay time.Duration, random float64) time.Duration {
	return delay/2 + time.Duration(random*float64(delay))
}
