package outlier

import (
	"cmp"
	"slices"
	"time"

	"almondstile/backend"
	"almondstile/contract"
)

// Times of ejections and grants, and numbers of probes.
const (
	// GrantDuration is the longest time that a health state stays in force when
	// the owner gets no reply from the home. It spans a few report intervals.
	GrantDuration = 3 * time.Second
	// reportFreshTime is the age up to which a report counts for the floor: three
	// report intervals.
	reportFreshTime = 1500 * time.Millisecond

	ejectionTime    = 5 * time.Second
	maxEjectionTime = 2 * time.Minute
	// ejectionCountDecayTime is the time in service after which the ejection
	// count drops by one. Each drop takes back one doubling of the ejection time.
	ejectionCountDecayTime = time.Minute

	// After an ejection a server gets probe requests, one at a time. The number
	// of probes doubles with each repeated ejection, because a few probes are
	// likely to miss a fault that affects a small share of requests.
	minProbes = 5
	maxProbes = 40

	// Minimum times between two decisions. They limit the CPU time that the home
	// spends on a service with many or failing servers. urgentInterval applies
	// after a report of failures or of probes.
	decideInterval = 100 * time.Millisecond
	urgentInterval = 20 * time.Millisecond
)

// Detector decides the health state of each server of one service. It is not safe
// for concurrent use; Homes calls it under a shard's lock.
type Detector struct {
	subjects map[contract.ServerID]*subject
	ablation Ablation
	observer Observer
	// decidedAt is the time of the last decision.
	decidedAt time.Time
	// urgent shortens the time to the next decision to urgentInterval.
	urgent bool
	// decideNow makes the next decision run without the minimum interval.
	decideNow bool
}

// subject is the home's record of one server of the service.
type subject struct {
	id          contract.ServerID
	report      ServerReport
	reportedAt  time.Time
	evidence    evidence
	healthState backend.HealthState
	// severity is the share of bad responses plus the share of wasted time; 0
	// if the server is not an outlier.
	severity float64
	// latencySeverity is the result of the last latency comparison, from 0 (not
	// slow) to 1.
	latencySeverity float64
	// latenciesCompared is true once latencies were compared after the last report.
	latenciesCompared bool
	// ejectionCount is the number of ejections that have not decayed.
	ejectionCount          int
	ejectionCountChangedAt time.Time
	ejectedUntil           time.Time
	grantedUntil           time.Time
	// ejectionUndelivered is true if the owner's last report shows that the
	// ejection has not reached it.
	ejectionUndelivered bool
	probes              probes
}

// NewDetector returns a detector without any reports.
func NewDetector(ablation Ablation) *Detector {
	return &Detector{subjects: make(map[contract.ServerID]*subject), ablation: ablation, observer: noopObserver{}}
}

// Observe records the owner's report on one server. Decide evaluates it.
func (d *Detector) Observe(now time.Time, r ServerReport) {
	s := d.subjects[r.Server]
	if s == nil {
		s = &subject{id: r.Server}
		d.subjects[r.Server] = s
	}
	// The home's record is valid only if reports arrived without a gap. During a
	// gap the owner may have reported to another home, which may have ejected the
	// server or returned it to service.
	ejectedElsewhere := r.healthState() == backend.Ejected && s.trusted()
	if !s.fresh(now) || ejectedElsewhere {
		s.adoptGrant(now, &r)
	}
	if !s.latenciesCompared && s.trusted() {
		// Decisions have a minimum interval, so none may have run since the others'
		// last reports. Compare latencies now, before the new report replaces the
		// server's previous one.
		newComparison(now, d.reportingSubjects(now), d.ablation).latencySeverity(s)
	}
	s.report, s.reportedAt, s.latenciesCompared = r, now, false
	s.ejectionUndelivered = s.healthState == backend.Ejected && r.healthState() != backend.Ejected
	d.decideNow = d.decideNow || s.ejectionUndelivered
	switch {
	case s.healthState == backend.Probing && r.healthState() == backend.Probing:
		s.probes.add(&r)
		d.urgent = true
	case s.trusted():
		s.evidence.add(now, &r)
	}
	if n := tallyOf(r.Counts); n.failed+n.truncated > 0 {
		d.urgent = true
	}
}

// fresh reports whether the last report is at most reportFreshTime old.
func (s *subject) fresh(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) <= reportFreshTime
}

// trusted reports whether the server takes regular requests up to its
// concurrency limit, that is, it is neither ejected nor probing.
func (s *subject) trusted() bool {
	return s.healthState == backend.Normal || s.healthState == backend.LowWeight
}

// adoptGrant replaces the health state and its times by those in the owner's
// report, which a former home granted.
func (s *subject) adoptGrant(now time.Time, r *ServerReport) {
	s.healthState, s.probes = r.healthState(), probes{}
	s.resetEvidence()
	if r.Health == nil {
		return
	}
	s.ejectionCount, s.ejectionCountChangedAt = max(s.ejectionCount, r.Health.EjectionCount), now
	s.ejectedUntil = now.Add(duration(r.Health.EjectedMillis))
	s.grantedUntil = now.Add(duration(r.Health.GrantMillis))
}

// resetEvidence discards the collected windows after a change of the health
// state, so that the next comparison uses new reports only.
func (s *subject) resetEvidence() {
	s.evidence.reset()
	s.latencySeverity = 0
}

// Decide updates the health states of all servers. It does nothing if the last
// decision was less than decideInterval (or urgentInterval) ago.
func (d *Detector) Decide(now time.Time, config ServiceConfig) {
	interval := decideInterval
	if d.urgent {
		interval = urgentInterval
	}
	if now.Sub(d.decidedAt) < interval && !d.decideNow {
		return
	}
	d.decidedAt, d.urgent, d.decideNow = now, false, false
	d.deleteRemoved(config)
	for _, s := range d.subjects {
		s.applyTimeouts(now)
	}
	floor := d.floor(now, config)
	d.ejectOutliers(now, d.outliers(now), floor)
	d.evaluateProbes(now, floor)
	for _, s := range d.subjects {
		if s.healthState == backend.Ejected {
			s.renewGrant(now, floor)
		}
	}
}

// renewGrant extends the grant of an ejection while the floor is satisfied.
// Otherwise the grant expires. An ejection that has not reached its owner yet is
// withdrawn in that case: it was decided when another server's report arrived,
// and the floor may have changed since.
func (s *subject) renewGrant(now time.Time, floor *floor) {
	switch {
	case floor.satisfied():
		s.grantedUntil = now.Add(GrantDuration)
	case s.ejectionUndelivered:
		s.healthState = backend.LowWeight
		s.ejectionCount--
	}
	s.ejectionUndelivered = false
}

// deleteRemoved deletes the records of servers that the configuration no longer
// lists.
func (d *Detector) deleteRemoved(config ServiceConfig) {
	for id := range d.subjects {
		if _, ok := config.find(id); !ok {
			delete(d.subjects, id)
		}
	}
}

// applyTimeouts moves a server from ejected to probing when its ejection or grant
// expires, and reduces the ejection count after ejectionCountDecayTime.
func (s *subject) applyTimeouts(now time.Time) {
	switch {
	case s.healthState == backend.Ejected && (!now.Before(s.ejectedUntil) || !now.Before(s.grantedUntil)):
		s.healthState, s.probes = backend.Probing, probes{}
	case s.trusted() && s.ejectionCount > 0 && now.Sub(s.ejectionCountChangedAt) >= ejectionCountDecayTime:
		s.ejectionCount--
		s.ejectionCountChangedAt = now
	}
}

// outliers returns the servers that are significantly worse than the others, worst
// first. It returns none if more than half of the servers are outliers or out of
// service: then the service as a whole has a fault.
func (d *Detector) outliers(now time.Time) []*subject {
	var found []*subject
	reporting := d.reportingSubjects(now)
	c := newComparison(now, reporting, d.ablation)
	for _, s := range c.trusted {
		if s.severity = c.severity(s); s.severity > 0 {
			found = append(found, s)
		}
	}
	outOfService := len(reporting) - len(c.trusted)
	if 2*(outOfService+len(found)) > len(reporting) {
		found = nil
	}
	d.clearLowWeight(found)
	slices.SortFunc(found, func(a, b *subject) int {
		return cmp.Or(cmp.Compare(b.severity, a.severity), cmp.Compare(a.id, b.id))
	})
	return found
}

// reportingSubjects returns the servers with a fresh report.
func (d *Detector) reportingSubjects(now time.Time) []*subject {
	var reporting []*subject
	for _, s := range d.subjects {
		if s.fresh(now) {
			reporting = append(reporting, s)
		}
	}
	return reporting
}

// clearLowWeight returns low-weight servers that are no longer outliers to the
// normal state.
func (d *Detector) clearLowWeight(found []*subject) {
	for _, s := range d.subjects {
		if s.healthState == backend.LowWeight && !slices.Contains(found, s) {
			s.healthState = backend.Normal
		}
	}
}

// ejectOutliers ejects the given outliers in their order as far as the floor permits.
func (d *Detector) ejectOutliers(now time.Time, found []*subject, floor *floor) {
	for _, s := range found {
		d.ejectOrLowerWeight(now, s, floor)
	}
}

// ejectOrLowerWeight ejects an outlier if the floor permits it. Otherwise the
// server stays in service with a low weight. The observer counts the blocked
// ejection once per change to low weight, not at each decision.
func (d *Detector) ejectOrLowerWeight(now time.Time, s *subject, floor *floor) {
	if floor.tryRemove(s) {
		s.eject(now)
		d.observer.EjectionGranted()
		return
	}
	if s.healthState != backend.LowWeight {
		d.observer.EjectionBlocked()
	}
	s.healthState = backend.LowWeight
}

// eject starts an ejection. Its time starts at 5 s and doubles with each ejection that
// has not decayed, up to 2 minutes.
func (s *subject) eject(now time.Time) {
	length := min(ejectionTime<<min(s.ejectionCount, 10), maxEjectionTime)
	s.ejectionCount++
	s.ejectionCountChangedAt = now
	s.healthState = backend.Ejected
	s.ejectedUntil = now.Add(length)
	s.grantedUntil = now.Add(GrantDuration)
	s.resetEvidence()
}

// Health returns the health state of a server and the remaining time of its
// grant, as sent to the server's owner. A server without reports is normal.
func (d *Detector) Health(now time.Time, id contract.ServerID) ServerHealth {
	s := d.subjects[id]
	if s == nil {
		return ServerHealth{Server: id}
	}
	health := ServerHealth{Server: id, State: s.healthState, EjectionCount: s.ejectionCount}
	switch s.healthState {
	case backend.Ejected:
		health.EjectedMillis = millis(s.ejectedUntil.Sub(now))
		health.GrantMillis = min(millis(s.grantedUntil.Sub(now)), health.EjectedMillis)
	case backend.Probing, backend.LowWeight:
		health.GrantMillis = millis(GrantDuration)
	}
	return health
}

// States returns the state of each configured server, for the entry VMs that
// select servers. Load is the number of requests in flight and queued, divided by
// the concurrency limit.
func (d *Detector) States(config ServiceConfig) []backend.ServerState {
	states := make([]backend.ServerState, 0, len(config.Servers))
	for _, server := range config.Servers {
		state := backend.ServerState{Server: server.ID}
		if s := d.subjects[server.ID]; s != nil {
			state.Ejected = s.healthState == backend.Ejected
			state.LowWeight = s.healthState == backend.LowWeight
			state.Probing = s.healthState == backend.Probing
			state.Warm = s.report.Warm
			state.Load = float64(s.report.InFlight+s.report.Queued) / float64(max(1, s.report.ConcurrencyLimit))
		}
		states = append(states, state)
	}
	return states
}
