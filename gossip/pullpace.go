package gossip

import (
	"time"

	"almondstile/shard"
	"almondstile/vm"
)

const (
	// initialPullDelay is the delay after a pull from a VM that did not bring what the VM had
	// announced. It doubles with each further one, up to maxPullDelay.
	initialPullDelay = 200 * time.Millisecond
	maxPullDelay     = 1600 * time.Millisecond
)

// pullPace decides when this VM may pull from each other VM. Messages come many times a
// second; without a pause a VM whose announcements are never fulfilled would be pulled from
// as often. The zero value is ready to use.
type pullPace struct {
	delays shard.Map[vm.ID, pullDelay]
}

// pullDelay holds the fruitless pulls from one VM since the last one that was not.
type pullDelay struct {
	fruitless int
	until     time.Time
}

// allows reports whether this VM may pull from the other one.
func (p *pullPace) allows(now time.Time, from vm.ID) bool {
	d, ok := p.delays.Load(from)
	return !ok || !now.Before(d.until)
}

// record records a pull and whether it brought what had been announced.
func (p *pullPace) record(now time.Time, from vm.ID, fruitful bool) {
	p.delays.Update(from, func(d pullDelay, _ bool) (pullDelay, bool) {
		if fruitful {
			return pullDelay{}, false
		}
		if now.Sub(d.until) > maxPullDelay {
			d.fruitless = 0 // the last one was long ago
		}
		d.fruitless++
		d.until = now.Add(min(initialPullDelay<<min(d.fruitless-1, 4), maxPullDelay))
		return d, true
	})
}
