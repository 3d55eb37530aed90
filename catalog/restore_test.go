package catalog

import (
	"fmt"
	"testing"
	"time"
)

const (
	// lostVersions is how far the simulated store goes back, beyond the versions of
	// configurations. Without a stated era it does not give all of them out again.
	lostVersions  = 200
	maxCopyAge    = 4 * time.Second
	restoreCount  = 2
	maxRewrite    = 2 * time.Second // until the operator writes again
	maxStoreAway  = 3 * time.Second
	maxClockStep  = 20 * time.Second
	restorePeriod = 10 * time.Second
)

// goBack makes the store unavailable for a while and come back from an older copy; the
// operator then writes the next configuration. With passed set, the store has given out the
// lost versions again before any VM reads.
func (p *propagation) goBack(older storeState, passed bool) {
	away := time.Duration(p.rng.Int64N(int64(maxStoreAway)))
	for _, v := range p.vms {
		v.turnedAwayUntil, v.silent = p.now+away, p.rng.IntN(2) == 0
	}
	older.version -= min(older.version-older.row.Version, lostVersions)
	p.after(away/2, func() {
		p.restore(older)
		if p.statesEra && p.rng.IntN(2) == 0 {
			p.clockStep = time.Duration(p.rng.Int64N(int64(2*maxClockStep))) - maxClockStep
		}
		if passed {
			p.write()
			p.version += 2 * lostVersions
		}
	})
	p.after(away+time.Duration(p.rng.Int64N(int64(maxRewrite))), p.write)
}

// Guards against VMs that do not follow a store that came back from an older copy, through
// peers of both eras, and against VMs that go back to an older configuration with it.
func TestChangesAreInForceInTimeAfterTheStoreWentBack(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		for _, statesEra := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed %d, states its era %v", seed, statesEra), func(t *testing.T) {
				t.Parallel()
				p := newPropagation(seed, smallZone)
				p.statesEra = statesEra
				p.playRestores(t, statesEra && seed%2 == 0)
			})
		}
	}
}

// playRestores plays restoreCount restores among changes of the configuration, and returns
// at the first breach of a promise.
func (p *propagation) playRestores(t *testing.T, passed bool) {
	nextWrite := time.Second
	var older storeState
	copyAt, restoreAt := time.Duration(0), time.Duration(0)
	for restores := 0; p.now < (restoreCount+1)*restorePeriod; p.step() {
		if p.now >= nextWrite {
			p.write()
			nextWrite = p.now + time.Duration(p.rng.ExpFloat64()*float64(600*time.Millisecond))
		}
		if copyAt == 0 && restores < restoreCount {
			copyAt = p.now + restorePeriod/2
			restoreAt = copyAt + time.Duration(p.rng.Int64N(int64(maxCopyAge)))
		}
		if p.now == copyAt {
			older = p.storeState
			p.version += lostVersions
		}
		if restoreAt > 0 && p.now >= restoreAt {
			restores, copyAt, restoreAt = restores+1, 0, 0
			p.goBack(older, passed)
		}
		if !p.check(t) {
			return
		}
	}
}
