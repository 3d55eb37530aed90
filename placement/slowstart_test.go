package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

// simulateSlowStart sends requests for 4 s through many VMs that learn of each
// other's sends after the delay. It returns the largest number of requests that the
// starting server got within one second. restart lets all VMs start at the
// beginning, each with a waiting caller.
func simulateSlowStart(rng *rand.Rand, vms int, maxPerSecond, arrivals float64, delay time.Duration, restart bool) int {
	const step = 5 * time.Millisecond
	const seconds = 4
	type send struct {
		at time.Duration
		vm int
	}
	var sends []send
	maxInSecond := 0
	for now := time.Duration(0); now < seconds*time.Second; now += step {
		requests := int(arrivals * step.Seconds())
		if rng.Float64() < arrivals*step.Seconds()-float64(requests) {
			requests++
		}
		if restart && now == 0 {
			requests += vms // each VM has a caller that came back after the restart
		}
		for range requests {
			vm := rng.IntN(vms)
			sentLastSecond := 0
			for _, s := range sends {
				if now-s.at < time.Second && (s.vm == vm || now-s.at > delay) {
					sentLastSecond++
				}
			}
			slowStart := SlowStart{MaxPerSecond: maxPerSecond, SentLastSecond: sentLastSecond, ArrivalsPerSecond: arrivals, RemoteSendsUnknown: restart && now < time.Second, VMs: vms}
			if rng.Float64() < slowStart.AdmitProbability() {
				sends = append(sends, send{now, vm})
			}
		}
		inSecond := 0
		for _, s := range sends {
			if now-s.at < time.Second {
				inSecond++
			}
		}
		maxInSecond = max(maxInSecond, inSecond)
	}
	return maxInSecond
}

// Guards against overloading a server in slow start: many VMs see it idle at the
// same moment and all send to it. 48 VMs that restarted together sent 13 requests
// in a second to a server that sustained 5. A load of 100 requests a second has the
// same effect without a restart.
func TestSlowStartLimitsRequestRate(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 20; seed++ {
		rng := rand.New(rand.NewPCG(seed, 1))
		for _, maxPerSecond := range []float64{5, 11, 30} {
			// The bound that operators state: one and a half times the rate, plus 5.
			bound := int(maxPerSecond*1.5) + 5
			for _, restart := range []bool{false, true} {
				if most := simulateSlowStart(rng, 48, maxPerSecond, 100, 150*time.Millisecond, restart); most > bound {
					t.Errorf("seed %d, rate %v, restart %v: %d requests in a second, allowed %d", seed, maxPerSecond, restart, most, bound)
				}
			}
		}
	}
}

// Guards against a slow start that leaves a server idle although its rate allows
// more: at a low rate of arrivals it must get all requests.
func TestSlowStartUsesServerAtLowLoad(t *testing.T) {
	t.Parallel()
	c := SlowStart{MaxPerSecond: 10, SentLastSecond: 0, ArrivalsPerSecond: 8, VMs: 48}
	if got := c.AdmitProbability(); got < 1 {
		t.Errorf("probability %v at 8 arrivals/s and a rate of 10/s, want 1", got)
	}
}
