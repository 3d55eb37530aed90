package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"almondstile/contract"
	"almondstile/fleet"
	"almondstile/quota"
	"almondstile/tally"
	"almondstile/vm"
	"almondstile/zone"
)

// cutVM is one VM of the simulated fleet below.
type cutVM struct {
	self    vm.VM
	roster  *fleet.Roster
	buckets *quota.SharedBuckets
	ledger  *tally.Ledger
	started time.Duration
	urgent  bool
}

// Observe implements tally.Observer.
func (v *cutVM) Observe(now time.Time, subject tally.Subject, d tally.Counts, missed bool) {
	v.buckets.RecordRemoteAdmissions(now, subject, d[tally.Admitted], missed)
}

// cutFleet simulates VMs in zones that tell each other what they admitted, and
// cuts between them.
type cutFleet struct {
	vms  []*cutVM
	cuts []cut
	news []news
	// rejected holds when requests were rejected.
	rejected []time.Duration
	// down is when all VMs are killed, unless 0; they start again downFor later.
	down, downFor time.Duration
}

// cut separates the VMs that are affected from all others, and from each other if
// they are cut off alone.
type cut struct {
	from, to time.Duration
	affected func(v vm.VM, i int) bool
	alone    bool
}

// separated reports whether messages between two VMs are lost at the time.
func (f *cutFleet) separated(at time.Duration, i, j int) bool {
	for _, c := range f.cuts {
		a, b := c.affected(f.vms[i].self, i), c.affected(f.vms[j].self, j)
		if at >= c.from && at < c.to && (a != b || a && c.alone) {
			return true
		}
	}
	return false
}

// news is a message on its way.
type news struct {
	due    time.Duration
	uptime time.Duration
	from   int
	relay  bool
	inZone bool
	totals []tally.Record
	zones  []fleet.ZoneStatus
	census fleet.MemberCount
	silent []fleet.VMHash
}

const (
	cutStep      = 10 * time.Millisecond
	cutHeartbeat = 200 * time.Millisecond
	cutDelay     = 40 * time.Millisecond
	// VMs that are killed together start within startSpread and are ready after
	// readyAfter.
	startSpread = 100 * time.Millisecond
	readyAfter  = 100 * time.Millisecond
	// comeBack is the time in which the callers arrive that waited for them.
	comeBack = 200 * time.Millisecond
)

var (
	cutStart   = time.Unix(1000, 0)
	cutSubject = tally.SubjectOf(tally.Team, "team-1")
)

func newCutFleet(zones, perZone int) *cutFleet {
	f := &cutFleet{}
	var all []vm.VM
	for z := range zones {
		for i := range perZone {
			all = append(all, vm.VM{ID: vm.ID(fmt.Sprintf("vm-%d-%d", z, i)), Zone: zone.ID(fmt.Sprintf("z%d", z)),
				ControlAddress: fmt.Sprintf("10.0.%d.%d:1", z, i), Strength: 30, Incarnation: "1"})
		}
	}
	for _, v := range all {
		f.vms = append(f.vms, startCutVM(v, all, 0))
	}
	return f
}

// startCutVM starts a process of the VM, which is configured with the others.
func startCutVM(self vm.VM, all []vm.VM, at time.Duration) *cutVM {
	now := cutStart.Add(at)
	r := fleet.NewRoster(now, self)
	for _, other := range all {
		r.Learn(now, other)
	}
	v := &cutVM{self: self, roster: r, buckets: quota.NewSharedBuckets(now, r), started: at}
	v.ledger = tally.NewLedger(now, tally.OriginOf(self.ID, self.Incarnation), v, func() { v.urgent = true })
	return v
}

// restart replaces all VMs by new processes, which start within startSpread.
func (f *cutFleet) restart(rng *rand.Rand, at time.Duration, teams []contract.Team) {
	var all []vm.VM
	for _, v := range f.vms {
		v.self.Incarnation = "2"
		all = append(all, v.self)
	}
	f.news = nil
	for i, self := range all {
		start := at + time.Duration(rng.Int64N(int64(startSpread)))
		f.vms[i] = startCutVM(self, all, start)
		f.vms[i].buckets.SetRateLimits(cutStart.Add(start), teams)
	}
}

// send puts the messages of one VM on their way, as gossip does: a relay tells
// its zone all that changed and the relays of other zones what its zone admitted;
// another VM tells the relays what it admitted itself.
func (f *cutFleet) send(at time.Duration, i int) {
	now, v := cutStart.Add(at), f.vms[i]
	n := news{due: at + cutDelay, uptime: at - v.started, from: i, relay: v.roster.IsRelay(now), inZone: true}
	if !n.relay {
		n.totals = v.ledger.DequeueOwn(tally.AllChanged)
		f.news = append(f.news, n)
		return
	}
	n.census, n.silent = v.roster.CountMembers(now)
	v.roster.RecordMemberCount(now, v.self.Zone, n.census, n.silent)
	n.zones = v.roster.ReachableZones(now)
	n.totals = v.ledger.DequeueForZone(tally.AllChanged)
	far := n
	far.inZone, far.totals = false, v.ledger.DequeueForOtherZones(tally.AllChanged)
	f.news = append(f.news, n, far)
}

func (f *cutFleet) deliver(at time.Duration) {
	now := cutStart.Add(at)
	for len(f.news) > 0 && f.news[0].due <= at {
		n := f.news[0]
		f.news = f.news[1:]
		from := f.vms[n.from]
		for i, to := range f.vms {
			inZone := to.self.Zone == from.self.Zone
			wanted := n.relay && n.inZone || to.roster.IsRelay(now)
			if to != from && wanted && inZone == n.inZone && !f.separated(at, n.from, i) {
				to.take(now, from, n)
			}
		}
	}
}

// take does what gossip does with a message.
func (v *cutVM) take(now time.Time, from *cutVM, n news) {
	_, gap := v.roster.RecordMessage(now, from.self, n.relay, n.uptime)
	relay := v.roster.IsRelay(now)
	if gap.Ended && relay {
		v.ledger.Resend(gap.Since, tally.OwnZone, func(tally.Origin) bool { return true })
	}
	if n.relay {
		gap := v.roster.RecordMemberCount(now, from.self.Zone, n.census, n.silent)
		if n.inZone {
			v.roster.RecordLocalRelayReport(now, n.zones)
		} else {
			gap = v.roster.RecordRemoteRelayReport(now, from.self.Zone, n.zones)
		}
		if gap.Ended && n.inZone {
			v.ledger.Resend(gap.Since, tally.OwnZone, func(o tally.Origin) bool { return o == tally.OriginOf(v.self.ID, v.self.Incarnation) })
		} else if gap.Ended && relay {
			v.ledger.Resend(gap.Since, tally.OtherZones, v.ofZone)
		}
	}
	v.ledger.Merge(now, n.totals, tally.Forwarding{
		Zone: relay && !(n.inZone && n.relay), OtherZones: relay && n.inZone && !n.relay, DeliveredInZone: n.inZone && n.relay,
	})
}

// ofZone reports whether the origin is a VM of this VM's zone.
func (v *cutVM) ofZone(o tally.Origin) bool {
	for _, other := range append(v.roster.OthersInZone(v.self.Zone), v.self) {
		if o == tally.OriginOf(other.ID, other.Incarnation) {
			return true
		}
	}
	return false
}

// Guards against a team getting more than its terms while VMs cannot hear each
// other: the team sends eight times its usual while a zone, or single VMs, are
// cut off from all others, and the sum over any window must stay inside the
// operators' terms with their slack (a tenth and 20 requests). Both sides of a
// cut used to admit the whole rate until they noticed it, and the others counted
// with the part of single VMs that were cut off.
func TestCutsStayInsideTheTerms(t *testing.T) {
	const length, window = 16 * time.Second, 5 * time.Second
	zoneCut := func(from, to time.Duration) cut {
		return cut{from, to, func(v vm.VM, _ int) bool { return v.Zone == "z0" }, false}
	}
	fifth := func(_ vm.VM, i int) bool { return i%5 == 2 }
	singleCut := func(from, to time.Duration) cut { return cut{from, to, fifth, true} }
	// VMs of all zones that hear each other and none of the others.
	groupCut := func(from, to time.Duration) cut { return cut{from, to, fifth, false} }
	cuts := map[string][]cut{
		"zone":   {zoneCut(4*time.Second, 9*time.Second)},
		"single": {singleCut(4*time.Second, 9*time.Second)},
		"group":  {groupCut(4*time.Second, 9*time.Second)},
		"both":   {zoneCut(3*time.Second, 8300*time.Millisecond), groupCut(9600*time.Millisecond, 14*time.Second)},
	}
	for name, those := range cuts {
		for seed := uint64(1); seed <= 4; seed++ {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				rng := rand.New(rand.NewPCG(seed, 2))
				rate := float64(5 + rng.IntN(95))
				team := &contract.Team{ID: "team-1", RatePerSecond: rate, Burst: int(rate)}
				f := newCutFleet(3, 12+rng.IntN(12))
				for _, v := range f.vms {
					v.buckets.SetRateLimits(cutStart, []contract.Team{*team})
				}
				f.cuts = those
				// The team has its whole burst when it begins to press, within a
				// second of the first cut.
				pressing := those[0].from - time.Second + time.Duration(rng.IntN(2000))*time.Millisecond
				admitted := f.run(rng, team, length, func(at time.Duration) float64 {
					if at < pressing {
						return rate / 2
					}
					return 5 * rate
				})
				allowed := (rate*window.Seconds()+float64(team.Burst))*1.1 + 20
				least := 0.5 * rate * length.Seconds()
				inWindow(t, admitted, window, allowed)
				if float64(len(admitted)) < least {
					t.Errorf("rate %v: %d admitted in %s, at least %.0f are inside the rate", rate, len(admitted), length, least)
				}
			})
		}
	}
}

// run returns when requests were admitted that arrive at random VMs.
func (f *cutFleet) run(rng *rand.Rand, team *contract.Team, length time.Duration, asked func(time.Duration) float64) (admitted []time.Duration) {
	last := make([]time.Duration, len(f.vms))
	due, waiting := 0.0, 0.0
	for at := time.Duration(0); at < length; at += cutStep {
		back := f.down + f.downFor
		if f.down > 0 && at == back {
			f.restart(rng, at, []contract.Team{*team})
			last = make([]time.Duration, len(f.vms))
		}
		ready := back + startSpread + readyAfter
		switch arriving := asked(at) * cutStep.Seconds(); {
		case f.down > 0 && at >= f.down && at < ready:
			waiting += arriving
		case waiting > 0 && at < ready+comeBack:
			due += arriving + waiting*float64(cutStep)/float64(comeBack)
		default:
			due += arriving
		}
		for ; due >= 1; due-- {
			v := f.vms[rng.IntN(len(f.vms))]
			if d := v.buckets.Admit(cutStart.Add(at), team); d.Admitted {
				v.ledger.Add(cutStart.Add(at), cutSubject, tally.Admitted, 1)
				if d.NearLimit() {
					v.ledger.Add(cutStart.Add(at), cutSubject, tally.AdmittedNearLimit, 1)
				}
				admitted = append(admitted, at)
			} else {
				f.rejected = append(f.rejected, at)
			}
		}
		if f.down == 0 || at < f.down || at >= back {
			f.exchange(at, last)
		}
	}
	return admitted
}

// exchange delivers and sends what is due. last holds when each VM sent last.
func (f *cutFleet) exchange(at time.Duration, last []time.Duration) {
	const urgentGap = 40 * time.Millisecond
	f.deliver(at)
	for i, v := range f.vms {
		if at >= v.started && (at-last[i] >= cutHeartbeat || v.urgent && at-last[i] >= urgentGap) {
			last[i], v.urgent = at, false
			f.send(at, i)
		}
	}
}

// Guards against a cut that leaves debts: when it was over, each side took what the
// other had admitted out of its bucket and rejected requests inside the rate for
// seconds, although both had kept to their parts.
func TestCutLeavesNoDebtInsideTheRate(t *testing.T) {
	const from, to, length = 4 * time.Second, 9 * time.Second, 14 * time.Second
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 4))
			rate := float64(30 + rng.IntN(70))
			team := &contract.Team{ID: "team-1", RatePerSecond: rate, Burst: int(rate)}
			f := newCutFleet(3, 10+rng.IntN(6))
			f.cuts = []cut{{from, to, func(v vm.VM, _ int) bool { return v.Zone == "z0" }, false}}
			for _, v := range f.vms {
				v.buckets.SetRateLimits(cutStart, []contract.Team{*team})
			}
			f.run(rng, team, length, func(time.Duration) float64 { return 0.6 * rate })
			after := 0
			for _, at := range f.rejected {
				if at >= to {
					after++
				}
			}
			asked := 0.6 * rate * (length - to).Seconds()
			t.Logf("rate %v, %d VMs: %d of %.0f rejected after the cut", rate, len(f.vms), after, asked)
			if float64(after) > 0.05*asked {
				t.Errorf("rate %v: %d of %.0f requests inside the rate were rejected after the cut", rate, after, asked)
			}
		})
	}
}

// Guards against rejecting requests inside a team's rate after a kill of all VMs:
// the buckets started empty although nobody had used the tokens of the time
// without VMs. A team far over its rate must still stay inside its terms.
func TestKillOfAllVMsKeepsTheTerms(t *testing.T) {
	const down, downFor, length, window = 6 * time.Second, 500 * time.Millisecond, 12 * time.Second, 5 * time.Second
	for seed := uint64(1); seed <= 4; seed++ {
		for name, load := range map[string]float64{"inside": 0.6, "over": 5} {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				rng := rand.New(rand.NewPCG(seed, 3))
				rate := float64(20 + rng.IntN(80))
				team := &contract.Team{ID: "team-1", RatePerSecond: rate, Burst: int(rate)}
				f := newCutFleet(3, 12+rng.IntN(6))
				f.down, f.downFor = down, downFor
				for _, v := range f.vms {
					v.buckets.SetRateLimits(cutStart, []contract.Team{*team})
				}
				admitted := f.run(rng, team, length, func(at time.Duration) float64 {
					if at < down-2*time.Second {
						return 0.6 * rate
					}
					return load * rate
				})
				inWindow(t, admitted, window, (rate*window.Seconds()+float64(team.Burst))*1.1+20)
				asked, after := 0.6*rate*3, 0
				for _, at := range admitted {
					if at >= down && at < down+3*time.Second {
						after++
					}
				}
				t.Logf("rate %v, %d VMs: %d admitted in 3 s after the kill, %.0f asked inside the rate", rate, len(f.vms), after, asked)
				if float64(after) < 0.9*asked {
					t.Errorf("rate %v: %d admitted in 3 s after the kill, %.0f were asked inside the rate", rate, after, asked)
				}
			})
		}
	}
}

// inWindow checks that no window holds more than allowed.
func inWindow(t *testing.T, admitted []time.Duration, window time.Duration, allowed float64) {
	t.Helper()
	for i := range admitted {
		n := 0
		for _, at := range admitted[i:] {
			if at-admitted[i] < window {
				n++
			}
		}
		if float64(n) > allowed {
			t.Fatalf("%d admitted in %s from %s, allowed %.1f", n, window, admitted[i], allowed)
		}
	}
}
