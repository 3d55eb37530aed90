package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

// play sends a crowd of requests through many VMs that hear of each other after
// a delay, and returns the most that a cold server got within one second.
func play(rng *rand.Rand, vms int, perSecond, arrivals float64, delay time.Duration, restart bool) int {
	const step = 5 * time.Millisecond
	const seconds = 4
	type send struct {
		at time.Duration
		vm int
	}
	var sends []send
	most := 0
	for now := time.Duration(0); now < seconds*time.Second; now += step {
		requests := int(arrivals * step.Seconds())
		if rng.Float64() < arrivals*step.Seconds()-float64(requests) {
			requests++
		}
		if restart && now == 0 {
			requests += vms // every VM has a caller that came back
		}
		for range requests {
			vm := rng.IntN(vms)
			last := 0
			for _, s := range sends {
				if now-s.at < time.Second && (s.vm == vm || now-s.at > delay) {
					last++
				}
			}
			c := SlowStart{MaxPerSecond: perSecond, SentLastSecond: last, ArrivalsPerSecond: arrivals, RemoteSendsUnknown: restart && now < time.Second, VMs: vms}
			if rng.Float64() < c.AdmitProbability() {
				sends = append(sends, send{now, vm})
			}
		}
		inSecond := 0
		for _, s := range sends {
			if now-s.at < time.Second {
				inSecond++
			}
		}
		most = max(most, inSecond)
	}
	return most
}

// Guards against many VMs finding a cold server idle at the same moment: a herd
// of 48 VMs that had been killed sent 13 requests in a second to a server that
// bore 5, and a crowd does the same at 100 requests a second.
func TestColdServerGetsNoMoreThanItBears(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		rng := rand.New(rand.NewPCG(seed, 1))
		for _, perSecond := range []float64{5, 11, 30} {
			// The bound that operators state: half more than the rate, and a few.
			bound := int(perSecond*1.5) + 5
			for _, restart := range []bool{false, true} {
				if got := play(rng, 48, perSecond, 100, 150*time.Millisecond, restart); got > bound {
					t.Errorf("seed %d, rate %v, restart %v: %d requests in a second, allowed %d", seed, perSecond, restart, got, bound)
				}
			}
		}
	}
}

// Guards against a slow start that keeps a server idle: where few requests come,
// it takes them all.
func TestColdServerIsUsedWhenRequestsAreFew(t *testing.T) {
	c := SlowStart{MaxPerSecond: 10, SentLastSecond: 0, ArrivalsPerSecond: 8, VMs: 48}
	if got := c.AdmitProbability(); got < 1 {
		t.Errorf("chance %v with few arrivals, want 1", got)
	}
}
