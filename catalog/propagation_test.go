package catalog

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"almondstile/contract"
)

const (
	simulationStep  = 5 * time.Millisecond
	simulatedTime   = 25 * time.Second
	simulatedZones  = 2
	smallZone       = 6 // VMs
	relaysPerZone   = 2
	maxChangeDelay  = 2 * time.Second
	contactTime     = 3 * time.Second // after which a VM must be current again
	heartbeatPeriod = 200 * time.Millisecond
	announceDelay   = 20 * time.Millisecond
	pullDelay       = 30 * time.Millisecond
	callDelay       = 8 * time.Millisecond
	lossRate        = 0.05
)

// propagation simulates VMs that keep copies of a store's table current, by calls to
// the store and by messages among each other, while the store turns some VMs away.
type propagation struct {
	rng *rand.Rand
	now time.Duration
	storeState
	// era is the number of the store's history, stated if statesEra is set.
	era       uint64
	statesEra bool
	// clockStep is what the store's clock shows beyond the simulated time.
	clockStep time.Duration
	// configuration is the operator's newest configuration.
	configuration uint64
	// writtenAt holds the time of each configuration that the store has not lost.
	writtenAt map[uint64]time.Duration
	vms       []*simulatedVM
	// actions holds what happens at later times.
	actions []simulatedAction
	calls   int // that reached the store
}

// storeState is the state of the simulated store.
type storeState struct {
	version uint64
	row     Row // holds the configuration
}

type simulatedAction struct {
	at time.Duration
	do func()
}

type simulatedVM struct {
	*Catalog
	zone, rank    int
	schedule      readSchedule
	pace          pace
	nextCheck     time.Duration
	calling       bool
	nextHeartbeat time.Duration
	// turnedAwayUntil is the time until which the store turns the VM away; with
	// silent it does not answer at all.
	turnedAwayUntil time.Duration
	silent          bool
	seen            uint64 // newest configuration that was in force
}

// now returns the VM's local time.
func (v *simulatedVM) now(p *propagation) time.Duration { return p.now + storeClockLag }

func newPropagation(seed uint64, vmsPerZone int) *propagation {
	p := &propagation{rng: rand.New(rand.NewPCG(seed, 21)), writtenAt: make(map[uint64]time.Duration)}
	p.write()
	for i := range simulatedZones * vmsPerZone {
		v := &simulatedVM{
			Catalog:  New(testDecoder{}, func() time.Duration { return p.now + storeClockLag }, newTestCatalog().log),
			zone:     i / vmsPerZone,
			rank:     min(i%vmsPerZone, relaysPerZone),
			schedule: newReadSchedule(NewReadTimes(maxChangeDelay)),
			pace:     newPace(NewReadTimes(maxChangeDelay)),
		}
		v.schedule.spread = time.Duration(p.rng.Float64() * float64(v.schedule.times.otherReaderSpread))
		v.Apply(OperatorTable, v.BeginCall(OperatorTable), p.wholeTable())
		p.vms = append(p.vms, v)
	}
	return p
}

func (p *propagation) after(d time.Duration, do func()) {
	p.actions = append(p.actions, simulatedAction{p.now + d, do})
}

// write changes the configuration in the store.
func (p *propagation) write() {
	p.version++
	p.configuration++
	p.row = Row{Key: "config", Value: configuration(p.configuration), Version: p.version}
	p.writtenAt[p.configuration] = p.now
}

// restore makes the store go back to an earlier state. Of the configurations, the newest
// one of that state is left.
func (p *propagation) restore(s storeState) {
	var left contract.Configuration
	if err := json.Unmarshal(s.row.Value, &left); err != nil {
		panic(err)
	}
	for c := range p.writtenAt {
		if c > left.Version {
			delete(p.writtenAt, c)
		}
	}
	p.storeState = s
	p.era++
}

// answer returns the store's response without rows.
func (p *propagation) answer() Changes {
	ch := Changes{Version: p.version, AsOf: p.now + p.clockStep}
	if p.statesEra {
		ch.Era = p.era
	}
	return ch
}

// changes returns the store's response to a call for the changes after a version.
func (p *propagation) changes(after uint64) Changes {
	ch := p.answer()
	if p.row.Version > after {
		ch.Rows = []Row{p.row}
	}
	return ch
}

// wholeTable returns the store's response to a read of the table.
func (p *propagation) wholeTable() Changes {
	ch := p.answer()
	ch.FullTable, ch.Rows = true, []Row{p.row}
	return ch
}

// read lets the VM call the store when its schedule requires it.
func (p *propagation) read(v *simulatedVM) {
	if v.calling || p.now < v.nextCheck {
		return
	}
	local := p.now + storeClockLag
	age := v.Age(OperatorTable)
	if limit := v.schedule.readAfterAge(local, v.rank); age < limit {
		v.nextCheck = p.now + min(max(limit-age, minCheckInterval), maxCheckInterval)
		return
	}
	v.calling = true
	if p.now < v.turnedAwayUntil {
		wait := callDelay
		if v.silent {
			wait = v.schedule.times.longPollWait + callMargin
		}
		p.after(wait, func() { p.conclude(v, ResultFailed, wait) })
		return
	}
	p.poll(v, p.now, v.BeginCall(OperatorTable))
	p.calls++
}

// conclude ends a step of the VM's reader that took a time.
func (p *propagation) conclude(v *simulatedVM, result Result, took time.Duration) {
	v.calling, v.nextCheck = false, p.now+v.pace.pauseAfter(result, took, p.rng.Float64())
	if result != ResultFailed {
		v.schedule.recordRead(p.now+storeClockLag, v.rank, len(p.vms)/simulatedZones, p.rng.Float64())
	}
	if result == ResultChanged {
		p.after(announceDelay, func() { p.announce(v) })
	}
}

// poll waits at the store for a change since a call that began at a time, or for the end
// of the call.
func (p *propagation) poll(v *simulatedVM, began time.Duration, call Call) {
	after, end := call.known.Version, began+v.schedule.times.longPollWait
	if p.now < v.turnedAwayUntil && v.silent {
		p.after(end+callMargin-p.now, func() { p.conclude(v, ResultFailed, p.now-began) })
		return
	}
	if p.now < v.turnedAwayUntil {
		p.conclude(v, ResultFailed, p.now-began)
		return
	}
	if after > p.version {
		p.after(callDelay, func() { p.readWhole(v, began) })
		return
	}
	if p.row.Version <= after && p.now < end {
		p.after(simulationStep, func() { p.poll(v, began, call) })
		return
	}
	ch := p.changes(after)
	p.after(callDelay, func() {
		result := v.Apply(OperatorTable, call, ch)
		if result == ResultNewEra {
			p.readWhole(v, began)
			return
		}
		p.conclude(v, result, p.now-began)
	})
}

// readWhole reads the whole table, in a step of the VM's reader that began at a time.
func (p *propagation) readWhole(v *simulatedVM, began time.Duration) {
	call := v.BeginCall(OperatorTable)
	p.calls++
	ch := p.wholeTable()
	p.after(callDelay, func() { p.conclude(v, v.Apply(OperatorTable, call, ch), p.now-began) })
}

// announce sends the version of the VM's copy: a relay to its zone and to a relay of
// the other zone, any other VM to the relays of its zone.
func (p *propagation) announce(v *simulatedVM) {
	for _, to := range p.vms {
		inZone := to.zone == v.zone
		relay, toRelay := v.rank < relaysPerZone, to.rank < relaysPerZone
		if to == v || !(inZone && (relay || toRelay) || !inZone && relay && to.rank == v.rank) || p.rng.Float64() < lossRate {
			continue
		}
		position, asOf := v.PositionAsOf(OperatorTable)
		store, known := v.StoreClock.At(v.now(p))
		hops := v.StoreClock.Hops(v.now(p))
		p.after(simulationStep, func() {
			if clockEra, ok := to.StoreClock.Era(); known && (!ok || clockEra == position.Era) {
				to.StoreClock.ObservePeer(to.now(p), store, hops)
			}
			if to.RecordPeerPosition(OperatorTable, position, asOf) {
				p.pull(to, v)
			}
		})
	}
}

// pull brings the rows of another VM's copy to the VM.
func (p *propagation) pull(to, from *simulatedVM) {
	position, _ := to.PositionAsOf(OperatorTable)
	d := from.DeltaSince(OperatorTable, position)
	local := from.now(p)
	store, known := from.StoreClock.At(local)
	hops := from.StoreClock.Hops(local)
	p.after(pullDelay, func() {
		if known && to.BeginsEra(OperatorTable, d) {
			to.StoreClock.Restart(d.Position.Era, local, store, hops+1)
		}
		if to.Merge(OperatorTable, d) && to.rank < relaysPerZone {
			p.after(announceDelay, func() { p.announce(to) })
		}
	})
}

// turnAway lets the store turn VMs away: always the first readers of all zones,
// which alone follow the store, and some others.
func (p *propagation) turnAway(d time.Duration, silent bool) {
	for _, v := range p.vms {
		if v.rank == 0 || p.rng.Float64() < 0.6 {
			v.turnedAwayUntil, v.silent = p.now+d, silent
		}
	}
}

// run plays the simulated time and returns the first breach of a promise.
func (p *propagation) run(t *testing.T) {
	nextWrite, nextOutage := time.Second, 3*time.Second+time.Duration(p.rng.Int64N(int64(2*time.Second)))
	for p.now < simulatedTime {
		if p.now >= nextWrite {
			p.write()
			nextWrite = p.now + time.Duration(p.rng.ExpFloat64()*float64(600*time.Millisecond))
		}
		if p.now >= nextOutage {
			p.turnAway(5*time.Second, p.rng.IntN(2) == 0)
			nextOutage += 11 * time.Second
		}
		p.step()
		if !p.check(t) {
			return
		}
	}
}

// step plays one simulationStep.
func (p *propagation) step() {
	pending := p.actions
	p.actions = nil
	for _, a := range pending {
		if a.at <= p.now {
			a.do()
		} else {
			p.actions = append(p.actions, a)
		}
	}
	for _, v := range p.vms {
		p.read(v)
		if p.now >= v.nextHeartbeat {
			v.nextHeartbeat = p.now + heartbeatPeriod
			p.announce(v)
		}
	}
	p.now += simulationStep
}

// check verifies that no VM goes back, and that each VM that the store serves has all
// changes that are older than maxChangeDelay. No VM may take its copy for younger than a
// change that it lacks.
func (p *propagation) check(t *testing.T) bool {
	for i, v := range p.vms {
		inForce := v.View().Index.Version()
		if inForce < v.seen {
			t.Errorf("at %s VM %d went back from version %d to %d", p.now, i, v.seen, inForce)
			return false
		}
		v.seen = inForce
		served := v.turnedAwayUntil == 0 || p.now > v.turnedAwayUntil+contactTime
		for newer, at := range p.writtenAt {
			if served && newer > inForce && p.now-at > maxChangeDelay {
				t.Errorf("at %s VM %d (zone %d, rank %d) still has version %d, and version %d was written %s ago",
					p.now, i, v.zone, v.rank, inForce, newer, p.now-at)
				return false
			}
			if age := v.Age(OperatorTable); newer > inForce && p.now-at > age+contradictionOffset {
				t.Errorf("at %s VM %d (zone %d, rank %d) takes its copy for %s old, and lacks version %d, which was written %s ago",
					p.now, i, v.zone, v.rank, age, newer, p.now-at)
				return false
			}
		}
	}
	return true
}

// Guards against changes that are in force too late while the store turns the first
// readers of all zones away, and against VMs that go back to an older version.
func TestChangesAreInForceInTimeWhenReadersLoseTheStore(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			newPropagation(seed, smallZone).run(t)
		})
	}
}

// Guards against a large fleet that calls the store for seconds after an outage: the
// copies of all VMs are old by then, and every VM took itself for a substitute.
func TestFewVMsFollowTheStoreAfterAnOutage(t *testing.T) {
	const largeZone, outage, afterwards = 60, 3 * time.Second, 8 * time.Second
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			p := newPropagation(seed, largeZone)
			for p.now < time.Second {
				p.step()
			}
			for _, v := range p.vms {
				v.turnedAwayUntil = p.now + outage
			}
			for p.now < time.Second+outage {
				p.step()
			}
			p.calls = 0
			for p.now < time.Second+outage+afterwards {
				p.step()
			}
			// Each VM may call once to find that the store is back, and a few of them follow
			// it for substitutePeriod.
			limit := 3 * len(p.vms)
			if p.calls > limit {
				t.Errorf("%d VMs called the store %d times in the %s after an outage, want at most %d", len(p.vms), p.calls, afterwards, limit)
			}
		})
	}
}
