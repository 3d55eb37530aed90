package evidence

import (
	"math"
	"time"
)

// A server is taken to be in one of two phases, sound or faulty, that change
// from one moment to the next. health is the filter for the phase of which only
// results are seen (a hidden Markov model). One failure after many successes so
// raises the suspicion at once, which a share of failures over some time would
// not, and a few successes or some seconds clear it.
type health struct {
	// faulty is the probability of the faulty phase.
	faulty float64
}

const (
	// soundFailures is the share of failures of a sound server, about 1 in 80.
	soundFailures = 0.0125
	// faultyFailures is the share of failures of a server in a faulty phase,
	// which lies between a third and all.
	faultyFailures = 0.6
	// soundPhase and faultyPhase are the mean lengths of the phases.
	soundPhase  = 60 * time.Second
	faultyPhase = 4 * time.Second
	// leastFaulty keeps a long row of successes from hiding a new phase.
	leastFaulty = 0.01
	// mostFaulty keeps a long row of failures from delaying the return.
	mostFaulty = 0.995
)

// usualFaulty is the probability of the faulty phase without any results.
const usualFaulty = float64(faultyPhase) / float64(faultyPhase+soundPhase)

// failed takes in n failures.
func (h *health) failed(n int) { h.update(n, faultyFailures, soundFailures) }

// succeeded takes in n good responses.
func (h *health) succeeded(n int) { h.update(n, 1-faultyFailures, 1-soundFailures) }

// update applies Bayes' rule with the likelihoods of a result in each phase.
func (h *health) update(n int, ifFaulty, ifSound float64) {
	for range n {
		f, s := h.faulty*ifFaulty, (1-h.faulty)*ifSound
		h.faulty = min(max(f/(f+s), leastFaulty), mostFaulty)
	}
}

// pass lets time pass, in which the phase may have changed unseen.
func (h *health) pass(elapsed time.Duration) {
	rate := 1/soundPhase.Seconds() + 1/faultyPhase.Seconds()
	h.faulty = usualFaulty + (h.faulty-usualFaulty)*math.Exp(-rate*elapsed.Seconds())
}

// failing returns the share of requests that are expected to fail.
func (h health) failing() float64 {
	return h.faulty*faultyFailures + (1-h.faulty)*soundFailures
}
