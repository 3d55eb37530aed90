package placement

import "time"

// Demand describes the requests for a service, over all VMs.
type Demand struct {
	// SentPerSecond is the number of requests that the VMs send to servers in a second.
	SentPerSecond float64
	// Unserved is the share (0 to 1) of the recent requests that were not served: the VMs
	// turned them away, or they got no good response in the end.
	Unserved float64
}

const (
	// trialUnservedShare is the share of a service's requests that are not served from which
	// on its unused servers get trial requests.
	trialUnservedShare = 0.1
	// trialIdleTime is the time without a request after which a server gets a trial request
	// that may be retried. Others follow trialHeadStart later, and only have to be used
	// where nobody sends requests that may be retried.
	trialIdleTime  = 1 * time.Second
	trialHeadStart = 150 * time.Millisecond
	// trialRateGrowth is the increase, in each second, of the rate of trial requests to one
	// server by all VMs together, and maxTrialRate its upper bound. The VMs draw
	// independently of each other. The rate makes it all but certain that one of them has
	// tried a server a second after trialIdleTime.
	trialRateGrowth = 20.0
	maxTrialRate    = 30.0
	// maxTrialFaultProbability is the fault probability (0 to 1) above which a server gets
	// no trial request, and fullTrialFaultProbability the one below which it gets them at
	// the full rate. The probability falls below both within some seconds of the last
	// failure, however many there were.
	maxTrialFaultProbability  = 0.6
	fullTrialFaultProbability = 0.55
	// minTrialRateFactor is the part of the rate at maxTrialFaultProbability.
	minTrialRateFactor = 0.15
	// maxTrialShare is the largest share of the requests that are trial requests.
	maxTrialShare = 0.4
)

// PickTrial selects at random whether the request is a trial request of a server that has had
// no request for a while, and which one. It returns the index of the candidate.
//
// A single failure keeps requests from a server for seconds. While all requests are served that
// costs nobody anything. Otherwise the servers that are left get more and more requests, and
// fail some of these, until few are left. While a service does not serve a part of its
// requests, each of its servers is therefore tried in time, whichever they are: which servers
// have recovered is not known without a request.
func PickTrial(candidates []Candidate, demand Demand, retryable bool, random float64) (index int, ok bool) {
	if demand.Unserved < trialUnservedShare {
		return 0, false
	}
	idleTime := trialIdleTime
	if !retryable {
		idleTime += trialHeadStart
	}
	rates := make([]float64, len(candidates))
	total := 0.0
	for i := range candidates {
		rates[i] = candidates[i].trialRate(idleTime)
		total += rates[i]
	}
	share := min(total/max(demand.SentPerSecond, 1), maxTrialShare)
	if total == 0 || random >= share {
		return 0, false
	}
	position := random / share * total
	for i, rate := range rates {
		if position -= rate; position < 0 {
			return i, true
		}
	}
	return 0, false
}

// trialRate returns the number of trial requests a second that the server should get from all
// VMs together, if trial requests begin after idleTime. A server whose slots are in use is not
// unused.
func (c *Candidate) trialRate(idleTime time.Duration) float64 {
	overdue := c.IdleTime - idleTime
	if overdue <= 0 || c.Tried || c.FaultProbability > maxTrialFaultProbability || c.Work >= float64(max(c.Slots, 1)) {
		return 0
	}
	factor := (maxTrialFaultProbability - c.FaultProbability) / (maxTrialFaultProbability - fullTrialFaultProbability)
	return min(trialRateGrowth*overdue.Seconds(), maxTrialRate) * min(max(factor, minTrialRateFactor), 1)
}
