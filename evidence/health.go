package evidence

import (
	"math"
	"time"
)

// faultModel estimates the probability that a server is in a faulty phase. A server
// is modelled as a hidden Markov process that switches between a healthy and a
// faulty phase at random; only the results of requests are observed.
//
// One failure after many successes raises the probability at once, which an average
// failure rate over some time would not. A few successes or some seconds lower it
// again.
type faultModel struct {
	// faultProbability is the probability of the faulty phase, from 0 to 1.
	faultProbability float64
}

const (
	// healthyFailureRate is the failure rate in a healthy phase, about 1 in 80.
	healthyFailureRate = 0.0125
	// faultyFailureRate is the failure rate in a faulty phase. Servers in a faulty
	// phase fail between a third and all of their requests.
	faultyFailureRate = 0.6
	// meanHealthyPhase and meanFaultyPhase are the mean durations of the phases.
	meanHealthyPhase = 60 * time.Second
	meanFaultyPhase  = 4 * time.Second
	// minFaultProbability bounds the effect of many successes, so that the next
	// faulty phase is detected quickly.
	minFaultProbability = 0.01
	// maxUpdates bounds the number of equal results that are applied one by one. After
	// that many the probability is at its bound.
	maxUpdates = 100
	// maxFaultProbability bounds the effect of many failures, so that a recovered
	// server gets requests again soon.
	maxFaultProbability = 0.995
)

// priorFaultProbability is the probability of the faulty phase without any results.
const priorFaultProbability = float64(meanFaultyPhase) / float64(meanFaultyPhase+meanHealthyPhase)

// recordFailures updates the model with n failures.
func (m *faultModel) recordFailures(n uint64) { m.update(n, faultyFailureRate, healthyFailureRate) }

// recordSuccesses updates the model with n successful responses.
func (m *faultModel) recordSuccesses(n uint64) {
	m.update(n, 1-faultyFailureRate, 1-healthyFailureRate)
}

// update applies Bayes' rule for n equal results. likelihoodFaulty and
// likelihoodHealthy are the probabilities of such a result in each phase.
func (m *faultModel) update(n uint64, likelihoodFaulty, likelihoodHealthy float64) {
	for range min(n, maxUpdates) {
		faulty, healthy := m.faultProbability*likelihoodFaulty, (1-m.faultProbability)*likelihoodHealthy
		m.faultProbability = min(max(faulty/(faulty+healthy), minFaultProbability), maxFaultProbability)
	}
}

// advance lets the model decay towards priorFaultProbability: the phase may have
// changed during the elapsed time.
func (m *faultModel) advance(elapsed time.Duration) {
	rate := 1/meanHealthyPhase.Seconds() + 1/meanFaultyPhase.Seconds()
	m.faultProbability = priorFaultProbability + (m.faultProbability-priorFaultProbability)*math.Exp(-rate*elapsed.Seconds())
}

// failureRate returns the expected share of requests that fail, from 0 to 1.
func (m faultModel) failureRate() float64 {
	return m.faultProbability*faultyFailureRate + (1-m.faultProbability)*healthyFailureRate
}
