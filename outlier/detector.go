package outlier

import (
	"cmp"
	"slices"
	"time"

	"almondstile/backend"
	"almondstile/contract"
)

// Times of ejections and grants.
const (
	// GrantDuration bounds how long a verdict outlives the contact between owner
	// and home: a few report intervals.
	GrantDuration = 3 * time.Second
	// freshTime is how long a report counts for the floor: three intervals.
	freshTime = 1500 * time.Millisecond

	ejectionTime    = 5 * time.Second
	maxEjectionTime = 2 * time.Minute
	// levelDecayTime in good standing takes back one doubling.
	levelDecayTime = time.Minute

	// A returning server runs probes one at a time. Their number doubles with
	// each relapse, because a small share of faults hides from few probes.
	minProbes = 5
	maxProbes = 40

	// These intervals bound the work at the home of a large or failing service.
	decideInterval = 100 * time.Millisecond
	urgentInterval = 20 * time.Millisecond
)

// Detector judges the servers of one service. It is not safe for concurrent
// use; Homes keeps it under a shard's lock.
type Detector struct {
	subjects map[contract.ServerID]*subject
	ablation Ablation
	observer Observer
	decided  time.Time
	urgent   bool
	forced   bool
}

// subject is the home's record of one server.
type subject struct {
	id       contract.ServerID
	report   ServerReport
	reported time.Time
	evidence evidence
	standing backend.HealthState
	severity float64
	// slowness is the result of the last comparison of latencies.
	slowness float64
	// compared says that latencies were compared since the last report.
	compared bool
	// level is the number of ejections that have not decayed.
	level        int
	levelSince   time.Time
	ejectedUntil time.Time
	grantedUntil time.Time
	// undelivered says that the owner reported without knowing of its ejection.
	undelivered bool
	probes      probes
}

// NewDetector returns a detector that knows nothing yet.
func NewDetector(ablation Ablation) *Detector {
	return &Detector{subjects: make(map[contract.ServerID]*subject), ablation: ablation, observer: ignore{}}
}

// Observe takes in the report on one server from its owner.
func (d *Detector) Observe(now time.Time, r ServerReport) {
	s := d.subjects[r.Server]
	if s == nil {
		s = &subject{id: r.Server}
		d.subjects[r.Server] = s
	}
	// What this home remembers counts only while the owner kept reporting here:
	// in between another home may have ejected or returned the server.
	foreign := r.standing() == backend.Ejected && s.trusted()
	if !s.fresh(now) || foreign {
		s.adopt(now, &r)
	}
	if !s.compared && s.trusted() {
		// The others' reports came too close to this one for a decision between.
		newComparison(now, d.known(now), d.ablation).latency(s)
	}
	s.report, s.reported, s.compared = r, now, false
	s.undelivered = s.standing == backend.Ejected && r.standing() != backend.Ejected
	d.forced = d.forced || s.undelivered
	switch {
	case s.standing == backend.Probing && r.standing() == backend.Probing:
		s.probes.add(&r)
		d.urgent = true
	case s.trusted():
		s.evidence.add(now, &r)
	}
	if n := tallyOf(r.Counts); n.failed+n.truncated > 0 {
		d.urgent = true
	}
}

func (s *subject) fresh(now time.Time) bool {
	return !s.reported.IsZero() && now.Sub(s.reported) <= freshTime
}

// trusted reports whether the server runs as many requests as it can.
func (s *subject) trusted() bool {
	return s.standing == backend.Normal || s.standing == backend.LowWeight
}

// adopt takes over what a former home granted, as the owner reports it.
func (s *subject) adopt(now time.Time, r *ServerReport) {
	s.standing, s.probes = r.standing(), probes{}
	s.forgetEvidence()
	if r.Health == nil {
		return
	}
	s.level, s.levelSince = max(s.level, r.Health.EjectionCount), now
	s.ejectedUntil = now.Add(duration(r.Health.EjectedMillis))
	s.grantedUntil = now.Add(duration(r.Health.GrantMillis))
}

// forgetEvidence starts the comparison afresh after a change of standing.
func (s *subject) forgetEvidence() {
	s.evidence.reset()
	s.slowness = 0
}

// Decide updates the standings of all servers.
func (d *Detector) Decide(now time.Time, terms ServiceConfig) {
	interval := decideInterval
	if d.urgent {
		interval = urgentInterval
	}
	if now.Sub(d.decided) < interval && !d.forced {
		return
	}
	d.decided, d.urgent, d.forced = now, false, false
	d.forget(terms)
	for _, s := range d.subjects {
		s.advance(now)
	}
	floor := d.floor(now, terms)
	d.ejectOutliers(now, d.outliers(now), floor)
	d.judgeProbes(now, floor)
	for _, s := range d.subjects {
		if s.standing == backend.Ejected {
			s.renew(now, floor)
		}
	}
}

// renew extends the grant of an ejection that the floor still supports. Other
// grants run out, and an ejection that is yet to reach its owner is withdrawn:
// it was decided at another server's report, and the floor may have changed
// since.
func (s *subject) renew(now time.Time, floor *floor) {
	switch {
	case floor.holds():
		s.grantedUntil = now.Add(GrantDuration)
	case s.undelivered:
		s.standing = backend.LowWeight
		s.level--
	}
	s.undelivered = false
}

// forget drops servers that are no longer part of the service.
func (d *Detector) forget(terms ServiceConfig) {
	for id := range d.subjects {
		if _, ok := terms.find(id); !ok {
			delete(d.subjects, id)
		}
	}
}

// advance ends ejections that are over and lets levels decay.
func (s *subject) advance(now time.Time) {
	switch {
	case s.standing == backend.Ejected && (!now.Before(s.ejectedUntil) || !now.Before(s.grantedUntil)):
		s.standing, s.probes = backend.Probing, probes{}
	case s.trusted() && s.level > 0 && now.Sub(s.levelSince) >= levelDecayTime:
		s.level--
		s.levelSince = now
	}
}

// outliers returns the servers that are bad compared with the others, worst
// first. If most servers are bad or out, the service as a whole is in trouble:
// then there is no outlier.
func (d *Detector) outliers(now time.Time) []*subject {
	var found []*subject
	known := d.known(now)
	c := newComparison(now, known, d.ablation)
	for _, s := range c.servers {
		if s.severity = c.suspicion(s); s.severity > 0 {
			found = append(found, s)
		}
	}
	out := len(known) - len(c.servers)
	if 2*(out+len(found)) > len(known) {
		found = nil
	}
	d.clearLowWeight(found)
	slices.SortFunc(found, func(a, b *subject) int {
		return cmp.Or(cmp.Compare(b.severity, a.severity), cmp.Compare(a.id, b.id))
	})
	return found
}

// known returns the servers with a fresh report.
func (d *Detector) known(now time.Time) []*subject {
	var known []*subject
	for _, s := range d.subjects {
		if s.fresh(now) {
			known = append(known, s)
		}
	}
	return known
}

// clearLowWeight returns servers that are no longer outliers to normal.
func (d *Detector) clearLowWeight(found []*subject) {
	for _, s := range d.subjects {
		if s.standing == backend.LowWeight && !slices.Contains(found, s) {
			s.standing = backend.Normal
		}
	}
}

func (d *Detector) ejectOutliers(now time.Time, found []*subject, floor *floor) {
	for _, s := range found {
		d.ejectOrKeep(now, s, floor)
	}
}

// ejectOrKeep ejects an outlier if the floor permits it. Otherwise the server
// stays with a low weight, which is counted once and not at each decision.
func (d *Detector) ejectOrKeep(now time.Time, s *subject, floor *floor) {
	if floor.eject(s) {
		s.eject(now)
		d.observer.EjectionGranted()
		return
	}
	if s.standing != backend.LowWeight {
		d.observer.EjectionBlocked()
	}
	s.standing = backend.LowWeight
}

func (s *subject) eject(now time.Time) {
	length := min(ejectionTime<<min(s.level, 10), maxEjectionTime)
	s.level++
	s.levelSince = now
	s.standing = backend.Ejected
	s.ejectedUntil = now.Add(length)
	s.grantedUntil = now.Add(GrantDuration)
	s.forgetEvidence()
}

// Verdict returns the grant for a server's owner.
func (d *Detector) Health(now time.Time, id contract.ServerID) ServerHealth {
	s := d.subjects[id]
	if s == nil {
		return ServerHealth{Server: id}
	}
	v := ServerHealth{Server: id, State: s.standing, EjectionCount: s.level}
	switch s.standing {
	case backend.Ejected:
		v.EjectedMillis = millis(s.ejectedUntil.Sub(now))
		v.GrantMillis = min(millis(s.grantedUntil.Sub(now)), v.EjectedMillis)
	case backend.Probing, backend.LowWeight:
		v.GrantMillis = millis(GrantDuration)
	}
	return v
}

// States returns what entry VMs need to know of the service's servers.
func (d *Detector) States(terms ServiceConfig) []backend.ServerState {
	states := make([]backend.ServerState, 0, len(terms.Servers))
	for _, t := range terms.Servers {
		state := backend.ServerState{Server: t.ID}
		if s := d.subjects[t.ID]; s != nil {
			state.Ejected = s.standing == backend.Ejected
			state.LowWeight = s.standing == backend.LowWeight
			state.Probing = s.standing == backend.Probing
			state.Warm = s.report.Warm
			state.Load = float64(s.report.InFlight+s.report.Queued) / float64(max(1, s.report.ConcurrencyLimit))
		}
		states = append(states, state)
	}
	return states
}
