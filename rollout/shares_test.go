package rollout

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a good version that never gets all requests at a service at its limit,
// because the sum over its servers is a rounding error below the old servers' capacity.
func TestTargetsWithTheOldCapacityTakeAllRequests(t *testing.T) {
	for _, requestTime := range []time.Duration{0, 70 * time.Millisecond, 330 * time.Millisecond} {
		for servers := 1; servers <= 150; servers++ {
			j := NewJudge(time.Unix(1000, 0), 0, Order{Duration: testDuration}, Bounds{ExposedShare: 0.1})
			j.findings.requestSeconds = requestTime.Seconds()
			s := Situation{OldServers: servers, OldSlots: 3 * servers, ArrivalsPerSecond: 1e6}
			for i := range servers {
				s.Targets = append(s.Targets, TargetServer{Key: fmt.Sprint(i), Slots: 3})
			}
			if share := j.capacityShare(s, s.Targets); share != 1 {
				t.Errorf("%d servers of either version, requests of %s: share %v, want 1", servers, requestTime, share)
			}
			if share := j.capacityShare(s, s.Targets[1:]); share >= 1 {
				t.Errorf("%d of %d servers, requests of %s: share %v, want less than 1", servers-1, servers, requestTime, share)
			}
		}
	}
}
