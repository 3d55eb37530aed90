package callrate

import (
	"context"
	"testing"
	"time"

	_ "almondstile/standin/seeded" // fixes the seed of the property test

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

// Guards against a fleet whose calls in some second are beyond what the store grants all
// VMs together, however often each VM wants to call and however many VMs there are. The
// fleets and limits are those of the platform's deployments.
func TestCallsOfAFleetStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := rapid.SampledFrom([]struct {
			vms   int
			limit float64
		}{{1, 2000}, {36, 2000}, {48, 2000}, {98, 6000}, {137, 6000}, {292, 16000}, {420, 23000}}).Draw(t, "fleet")
		s := NewShare(Limits{ReadsPerSecond: fleet.limit}, func() int { return fleet.vms }, nil)
		rate := s.perSecond(Read)
		var b bucket
		var calls []time.Duration // of one VM
		now := time.Second
		for range rapid.IntRange(50, 400).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond
			if delay, ok := b.reserve(now, rate, time.Second); ok {
				calls = append(calls, now+delay)
			}
			if rapid.IntRange(0, 9).Draw(t, "rejected") == 0 {
				b.reduce(now, rate)
			}
		}
		for first, last := 0, 0; last < len(calls); last++ {
			for calls[last]-calls[first] >= time.Second {
				first++
			}
			if together := float64((last - first + 1) * fleet.vms); together > fleet.limit {
				t.Fatalf("%d VMs make %.0f calls within a second, the limit is %.0f", fleet.vms, together, fleet.limit)
			}
		}
	})
}

// Guards against VMs that go on at the same rate while the store rejects calls because of
// it, and against VMs that stay slow for good.
func TestShareShrinksWhileTheStoreRejectsCalls(t *testing.T) {
	const rate = 20.0
	count := func(b *bucket, from time.Duration) (calls int) {
		for now := from; now < from+10*time.Second; now += 10 * time.Millisecond {
			if _, ok := b.reserve(now, rate, 0); ok {
				calls++
				if from == time.Second {
					b.reduce(now, rate)
				}
			}
		}
		return calls
	}
	var b bucket
	rejected := count(&b, time.Second)
	b.refill(time.Minute, rate)
	if calm := count(&b, time.Minute); rejected > calm/2 || calm < 10*rate {
		t.Errorf("%d calls in 10 s while the store rejects them and %d afterwards, want at most half, and %.0f", rejected, calm, 10*rate)
	}
}

// Guards against calls that wait for a token beyond their deadline, and against waits that
// outlast their context.
func TestWaitEndsWithTheCall(t *testing.T) {
	now := time.Second
	s := NewShare(Limits{}, func() int { return 1 }, func() time.Duration { return now })
	for range int(maxReadsPerSecond) {
		if err := s.Wait(context.Background(), Read); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	if err := s.Wait(ctx, Read); !errors.Is(err, ErrNoShare) {
		t.Errorf("a call without a token before its deadline got %v, want ErrNoShare", err)
	}
	if err := s.Wait(context.Background(), Write); err != nil {
		t.Errorf("a write has to wait for reads: %v", err)
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.Wait(canceled, Read); !errors.Is(err, context.Canceled) {
		t.Errorf("a wait whose context has ended returned %v", err)
	}
}

// Guards against a VM of a large fleet that may never call the store, because its bucket holds
// less than one token and the time until there is one exceeds the time limit of each call.
func TestSmallShareAdmitsCallsWithAShortTimeLimit(t *testing.T) {
	const limit, vms, timeLimit = 100.0, 420, 700 * time.Millisecond
	s := NewShare(Limits{ReadsPerSecond: limit}, func() int { return vms }, nil)
	rate := s.perSecond(Read)
	var b bucket
	admitted := 0
	for now := time.Second; now < 61*time.Second; now += 100 * time.Millisecond {
		if _, ok := b.reserve(now, rate, timeLimit); ok {
			admitted++
		}
	}
	if least := int(rate * 60 / 2); admitted < least {
		t.Errorf("%d calls were admitted in a minute at %.1f a second, want at least %d", admitted, rate, least)
	}
}
