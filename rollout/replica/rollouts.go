package replica

import (
	"sync"
	"time"

	"almondstile/contract"
	"almondstile/history"
	"almondstile/rollout"
	"almondstile/shard"
	"almondstile/tally"
	"almondstile/vm"
)

const (
	// maxEarlyCounts bounds the counts that are kept of one order which this VM does not
	// know yet.
	maxEarlyCounts = 2000
	// maxEarlyOrders bounds the number of such orders.
	maxEarlyOrders = 100
	// earlyRetention is how long they are kept. An order reaches a VM that is in touch in
	// less time.
	earlyRetention = 10 * time.Second
)

// Rollouts is one VM's replica of the roll-outs of all services. A nil *Rollouts is that
// of a deployment without roll-outs; its methods for requests do nothing. It is safe for
// concurrent use.
type Rollouts struct {
	bounds rollout.Bounds
	self   vm.VM
	// hold is the time for which servers of a new version get no ordinary requests, in
	// which an order for it would be known.
	hold     time.Duration
	services shard.Map[contract.ServiceID, *migration]
	// byOrder and bySubject find the service of an order's key and of the subject of a
	// service's sends.
	byOrder   shard.Map[orderKey, contract.ServiceID]
	bySubject shard.Map[tally.Subject, contract.ServiceID]
	// early holds counts of orders that this VM does not know yet.
	early shard.Map[orderKey, *earlyCounts]
	// syncMu serializes Sync.
	syncMu sync.Mutex
}

// earlyCounts holds counts of an order that this VM does not know yet.
type earlyCounts struct {
	since  time.Time
	counts []subjectCounts
}

// subjectCounts is a difference of the counts of another VM.
type subjectCounts struct {
	subject tally.Subject
	counts  tally.Counts
}

// New returns the replica of a VM, or nil if the bounds say that there are no roll-outs.
func New(self vm.VM, bounds rollout.Bounds, hold time.Duration) *Rollouts {
	if !bounds.Enabled() {
		return nil
	}
	return &Rollouts{bounds: bounds, self: self, hold: hold}
}

// ServiceState is what the store says of a service.
type ServiceState struct {
	Service contract.ServiceID
	Order   *rollout.Order // nil if there is none
	// OrderedAt is the time of the store's clock at which the order was written.
	OrderedAt time.Duration
	// Stored is the state of the last roll-out, nil if there is none.
	Stored *rollout.State
	// Servers is the number of servers of each version that may get requests.
	Servers map[rollout.Version]int
}

// Copies is what a VM's copies of the store's tables say.
type Copies struct {
	// StoreNow is the time of the store's clock.
	StoreNow time.Duration
	// StatesKnown is true if the VM has a copy of the states of roll-outs.
	StatesKnown bool
	// Orders is the position of the copy of the orders, and StatesEra the era of that of the
	// states.
	Orders    history.Position
	StatesEra history.Era
	Services  []ServiceState
}

// Sync takes over what the store says.
func (r *Rollouts) Sync(now time.Time, c Copies) {
	r.syncMu.Lock()
	defer r.syncMu.Unlock()
	named := make(map[contract.ServiceID]bool, len(c.Services))
	for _, s := range c.Services {
		named[s.Service] = true
		r.syncService(now, s, c)
	}
	r.services.Range(func(service contract.ServiceID, m *migration) bool {
		if !named[service] {
			m.ordersAt = c.Orders
			m.setOrder(now, nil, 0)
		}
		return true
	})
	r.applyEarly(now)
}

// syncService takes over what the store says of one service.
func (r *Rollouts) syncService(now time.Time, s ServiceState, c Copies) {
	var started *rollout.Order
	r.services.Do(s.Service, r.newMigration, func(m *migration) {
		m.statesKnown = c.StatesKnown
		m.arrivals.update(now, s.Servers, r.hold)
		m.ready = m.arrivals.ready(now)
		m.ordersAt = c.Orders
		stored := rollout.State{Service: s.Service, Row: history.Position{Era: c.StatesEra}}
		if s.Stored != nil {
			stored = *s.Stored
		}
		if c.StatesKnown {
			m.setStored(now, stored)
		}
		if m.setOrder(now, s.Order, s.OrderedAt) {
			started = s.Order
		}
		m.setWithdrawn(now)
		if c.StatesKnown {
			m.startJudge(now, c.StoreNow)
		}
	})
	r.bySubject.Store(tally.SubjectOf(tally.Service, string(s.Service)), s.Service)
	if started != nil {
		r.byOrder.Store(keyOfOrder(started), s.Service)
	}
}

// Refresh lets versions get requests that were held for long enough. It must be called
// regularly.
func (r *Rollouts) Refresh(now time.Time) {
	r.services.Range(func(_ contract.ServiceID, m *migration) bool {
		if len(m.ready) < len(m.arrivals.heldUntil) {
			m.ready = m.arrivals.ready(now)
		}
		return true
	})
}

func (r *Rollouts) newMigration() *migration {
	return &migration{bounds: r.bounds, underWay: make(map[rollout.Version]*load), remote: make(map[tally.Subject]*remoteLoad)}
}

// applyEarly applies the counts of orders that have become known, and deletes old ones.
func (r *Rollouts) applyEarly(now time.Time) {
	known := make(map[orderKey]*earlyCounts)
	r.early.Range(func(key orderKey, e *earlyCounts) bool {
		if r.judging(key) {
			known[key] = e
			return false
		}
		return now.Sub(e.since) < earlyRetention
	})
	for _, e := range known {
		for _, c := range e.counts {
			r.Observe(now, c.subject, c.counts)
		}
	}
}

// judging reports whether the order with the key is in force here and has a judge.
func (r *Rollouts) judging(key orderKey) (judging bool) {
	service, known := r.byOrder.Load(key)
	if !known {
		return false
	}
	r.services.DoExisting(service, func(m *migration) {
		judging = m.order != nil && m.judge != nil && keyOfOrder(m.order) == key
	})
	return judging
}

// Rule returns the rule for one attempt of a request. order is the newest order for the
// service that the VM knows, nil if there is none. triedTarget reports whether an earlier
// attempt of the request went to a server of a version; it is called at most once. random
// is uniformly distributed in [0, 1).
func (r *Rollouts) Rule(now time.Time, service contract.ServiceID, order *rollout.Order, triedTarget func(rollout.Version) bool, random float64) (rule Rule) {
	if r == nil {
		return Rule{}
	}
	known := false
	r.services.DoExisting(service, func(m *migration) {
		known = order == nil || m.order != nil && (m.order.ID() == order.ID() || order.Row.Before(m.order.Row))
		rule = m.rule(now, m.open() && triedTarget(m.order.Target), random)
	})
	if !known && order != nil {
		return Rule{target: order.Target, scope: preferOld} // until the next Sync
	}
	return rule
}

// Send is a request that was sent to a server.
type Send struct {
	Service    contract.ServiceID
	Version    rollout.Version
	Repeatable bool
	// Sampled is the result of Sample.
	Sampled bool
}

// Sample draws whether the response to a request that is about to be sent is sampled.
// Drawn later, with the shares of another phase, slow responses would be sampled more or
// less often than fast ones. random is uniformly distributed in [0, 1).
func (r *Rollouts) Sample(s Send, random float64) (sampled bool) {
	if r == nil {
		return false
	}
	r.services.DoExisting(s.Service, func(m *migration) {
		sampled = m.judge != nil && m.open() && random < m.decision.SampleShares[m.side(s.Version)]
	})
	return sampled
}

// side returns the side of the order in force to which a version belongs.
func (m *migration) side(v rollout.Version) rollout.Side {
	if v == m.order.Target {
		return rollout.Target
	}
	return rollout.Old
}

// RecordStart records a request of this VM that is sent. If it counts for an order, the
// other VMs learn of it by the subject.
func (r *Rollouts) RecordStart(now time.Time, s Send) (subject tally.Subject, counts bool) {
	if r == nil {
		return "", false
	}
	r.services.DoExisting(s.Service, func(m *migration) {
		l := m.underWay[s.Version]
		if l == nil {
			l = &load{}
			m.underWay[s.Version] = l
		}
		l.add(1, s.Repeatable)
		if m.judge == nil || !m.open() {
			return
		}
		toTarget := uint64(0)
		if s.Version == m.order.Target {
			toTarget, subject, counts = 1, OrderSubject(m.order), true
		}
		m.judge.RecordSends(now, 1, toTarget)
	})
	return subject, counts
}

// RecordEnd records the end of a request that RecordStart recorded.
func (r *Rollouts) RecordEnd(s Send) {
	if r == nil {
		return
	}
	r.services.DoExisting(s.Service, func(m *migration) {
		l := m.underWay[s.Version]
		if l == nil {
			return // it began before this service was known
		}
		l.add(-1, s.Repeatable)
		if l.all <= 0 {
			delete(m.underWay, s.Version)
		}
	})
}

// RecordResponse records the class of a response to this VM if it is sampled and belongs
// to an open roll-out. The other VMs then learn of it by the subject.
func (r *Rollouts) RecordResponse(now time.Time, s Send, route contract.RouteID, server Server, class rollout.Class) (subject tally.Subject, recorded bool) {
	if r == nil || !s.Sampled {
		return "", false
	}
	r.services.DoExisting(s.Service, func(m *migration) {
		if m.judge == nil || !m.open() {
			return
		}
		recorded = true
		subject = sampleSubject(m.order, route, ServerKey(server.ID, server.StartedAt), m.side(s.Version), class)
		m.judge.Record(now, sampleOf(subject, 1))
	})
	return subject, recorded
}

// ObserveSends adds requests for a service that other VMs sent. The subject is that of the
// service's sends.
func (r *Rollouts) ObserveSends(now time.Time, service tally.Subject, sends uint64) {
	if r == nil {
		return
	}
	id, known := r.bySubject.Load(service)
	if !known {
		return
	}
	r.services.DoExisting(id, func(m *migration) {
		if m.judge != nil && m.open() {
			m.judge.RecordSends(now, sends, 0)
		}
	})
}

// Observe adds counts of another VM with a subject of a roll-out. Counts of an order that
// this VM does not know yet are kept until it does.
func (r *Rollouts) Observe(now time.Time, subject tally.Subject, counts tally.Counts) {
	if r == nil || len(subject) != subjectBytes {
		return
	}
	key := orderOf(subject)
	if !r.judging(key) {
		r.keepEarly(now, key, subjectCounts{subject, counts})
		return
	}
	service, _ := r.byOrder.Load(key)
	r.services.DoExisting(service, func(m *migration) {
		if m.judge != nil {
			m.observe(now, subject, counts)
		}
	})
}

// keepEarly keeps counts of an order that this VM does not know yet.
func (r *Rollouts) keepEarly(now time.Time, key orderKey, c subjectCounts) {
	if r.early.Len() >= maxEarlyOrders {
		return // a message is more likely damaged than of so many orders
	}
	r.early.Do(key, func() *earlyCounts { return &earlyCounts{since: now} }, func(e *earlyCounts) {
		if len(e.counts) < maxEarlyCounts {
			e.counts = append(e.counts, c)
		}
	})
}

// observe adds counts of another VM about the order in force.
func (m *migration) observe(now time.Time, subject tally.Subject, counts tally.Counts) {
	switch subject.Kind() {
	case tally.Sample, tally.FailedSample:
		m.judge.Record(now, sampleOf(subject, counts[tally.Sampled]))
	case tally.RolloutLoad:
		report, ok := m.remote[subject]
		if !ok {
			report = &remoteLoad{}
			m.remote[subject] = report
		}
		report.add(now, counts)
	case tally.Rollout:
		m.judge.RecordSends(now, 0, counts[tally.TargetSends])
		m.othersMove = m.othersMove || counts[tally.Shifts] > 0
		if counts[tally.RollBacks] > 0 {
			m.setVerdict(now, rollout.RollBack)
		} else if counts[tally.Completions] > 0 {
			m.setVerdict(now, rollout.Complete)
		}
	}
}
