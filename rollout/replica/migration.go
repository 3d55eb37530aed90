package replica

import (
	"time"

	"almondstile/history"
	"almondstile/rollout"
	"almondstile/tally"
)

const (
	// settleTime is the time after which the VMs in touch have learned of a verdict and
	// follow it.
	settleTime = 500 * time.Millisecond
	// withdrawalTime is the time after which all VMs in touch know that an order is
	// withdrawn and send nothing more to the target version.
	withdrawalTime = 3 * time.Second
	// announceInterval is the time between two announcements of a verdict that the store
	// does not have yet, for VMs that have started since the last one.
	announceInterval = time.Second
	// maxDecisionAge is the age from which on a decision is not followed: a process that
	// was suspended may have missed a verdict. It is ten times the time between two.
	maxDecisionAge = time.Second
	// catchUpTime is the time that a new replica takes to receive the counts of all VMs that
	// send requests.
	catchUpTime = 2 * time.Second
	// rewriteTimeout is the time after the loss of an order within which the operators write
	// it again. Later the same order begins anew.
	rewriteTimeout = 30 * time.Second
	// replacedTimeout is the time after a completion within which the registrations of the
	// old servers, which stop at once, are gone. Later, servers of their versions were
	// started anew, for example to go back to the earlier version without an order.
	replacedTimeout = 30 * time.Second
	// waitPart is the part of an order's duration after which VMs whose reports are missing
	// are not waited for any more, as they are more likely dead than cut off, nor requests
	// that may be repeated.
	waitPart = 0.85
)

// migration is the roll-out of one service, the last one if there is none under way, and
// what a roll-out would need to know of the service's servers.
type migration struct {
	bounds rollout.Bounds
	// order is the order in force, nil if there is none.
	order *rollout.Order
	// orderedAt is the time of the store's clock at which the order was written.
	orderedAt time.Duration
	// lostOrder is the last order if there is none because the store has lost it, since
	// lostOrderSince.
	lostOrder      *rollout.Order
	lostOrderSince time.Time
	// withdrawnSince is the time since which the order of a running state is known to be
	// withdrawn, zero if it is not.
	withdrawnSince time.Time
	// stored is the newest known state in the store, and statesKnown whether this VM has a
	// copy of the states at all. ordersAt is the position of this VM's copy of the orders.
	stored      rollout.State
	statesKnown bool
	ordersAt    history.Position
	// lost is a final state that the store has lost, without a status if there is none. It
	// stays in force, and is written again if its order stands.
	lost rollout.State
	// stateSince is the time since which this VM knows what state returns.
	stateSince time.Time
	arrivals   arrivals
	ready      map[rollout.Version]bool // of arrivals, at the last refresh
	// underWay holds what this VM has under way at the servers of each version.
	underWay map[rollout.Version]*load

	// The fields from here on belong to the order in force.

	judge *rollout.Judge
	// judgeSince is the time from which on the judge has counted.
	judgeSince time.Time
	// startedBefore is how long before judgeSince the order was written.
	startedBefore time.Duration
	decision      rollout.Decision
	decidedAt     time.Time
	group         map[string]bool // of decision.TargetServers
	// verdict is the verdict of this VM or another one, known since verdictAt. A roll-back
	// goes before a completion.
	verdict    rollout.Verdict
	verdictAt  time.Time
	othersMove bool // another VM moves all its requests
	// announcedAt is when this VM announced the verdict last, and announcedShift whether
	// it announced that it moves its requests.
	announcedAt    time.Time
	announcedShift bool
	report         ownReport
	remote         map[tally.Subject]*remoteLoad
	// old is oldLoad at the last decision.
	old load
	// write holds the attempts to write the wanted state.
	write writeSchedule
}

// state returns the state of the last roll-out.
func (m *migration) state() rollout.State {
	if m.lost.Status != "" {
		return m.lost
	}
	return m.stored
}

// ordered reports whether there is an order in force. There is none if the store has a
// state of a newer order of the same era, which this VM does not know yet. An order that is
// known only from an earlier era than the state stays in force until the copy of the orders
// is of that era too.
func (m *migration) ordered() bool {
	return m.order != nil && !(m.order.Row.Era == m.stored.Row.Era && m.order.Row.Version < m.stored.OrderVersion)
}

// hasLostFinal reports whether the store has lost the final state of the order in force.
func (m *migration) hasLostFinal() bool {
	return m.ordered() && m.lost.Status != "" && m.lost.IsOf(m.order)
}

// open reports whether the order in force has no final state yet.
func (m *migration) open() bool {
	return m.ordered() && !(m.state().IsOf(m.order) && m.state().Status.Final())
}

// knowsRow reports whether the stored state and the order, if there is one, are known in the
// latest era. The version of a row in an earlier era is no condition for a write: the store
// may have given it to another one.
func (m *migration) knowsRow() bool {
	era := m.stored.Row.Era
	return m.statesKnown && era == m.ordersAt.Era && (m.order == nil || m.order.Row.Era == era)
}

// setOrder takes over an order, or that there is none any more.
func (m *migration) setOrder(now time.Time, order *rollout.Order, orderedAt time.Duration) (changed bool) {
	previous := m.lastOrder(now)
	switch {
	case order == nil && m.order == nil:
		return false
	case order == nil && m.order.Row.Era != m.ordersAt.Era:
		m.order, m.lostOrder, m.lostOrderSince = nil, m.order, now
		return true
	case order != nil && m.order != nil && m.order.ID() == order.ID():
		m.order = order // its row may be of a later era
		return false
	case order != nil && previous != nil && isWrittenAgain(previous, order):
		m.continueAs(previous, order, orderedAt)
		return true
	}
	m.order, m.orderedAt, m.lostOrder = order, orderedAt, nil
	if order != nil && !m.lost.IsOf(order) {
		m.lost = rollout.State{}
	}
	m.judge, m.judgeSince, m.startedBefore = nil, time.Time{}, 0
	m.decision, m.decidedAt, m.group, m.old = rollout.Decision{}, time.Time{}, nil, load{}
	m.verdict, m.verdictAt, m.othersMove = rollout.NoVerdict, time.Time{}, false
	m.resetCounts()
	return true
}

// resetCounts starts what this VM sends and receives under the order's subjects anew, and the
// attempts to write its state.
func (m *migration) resetCounts() {
	m.announcedAt, m.announcedShift = time.Time{}, false
	m.report, m.remote, m.write = ownReport{}, make(map[tally.Subject]*remoteLoad), m.write.restart()
}

// lastOrder returns the order in force, or the one that the store has lost a short time ago.
func (m *migration) lastOrder(now time.Time) *rollout.Order {
	if m.order == nil && m.lostOrder != nil && now.Sub(m.lostOrderSince) < rewriteTimeout {
		return m.lostOrder
	}
	return m.order
}

// isWrittenAgain reports whether an order is the one that the store has lost, written again
// by the operators.
func isWrittenAgain(lost, order *rollout.Order) bool {
	id := lost.ID()
	id.Version = order.Row.Version
	return id == order.ID() && lost.Row.Era.Compare(order.Row.Era) < 0
}

// continueAs goes on with a lost order as the one that was written in its place: the judge,
// the verdict and a final state hold for it.
func (m *migration) continueAs(lost, order *rollout.Order, orderedAt time.Duration) {
	if final := m.state(); final.Status.Final() && final.IsOf(lost) {
		final.OrderVersion = order.Row.Version
		m.lost = final
	}
	m.order, m.orderedAt, m.lostOrder = order, orderedAt, nil
	m.resetCounts()
}

// setWithdrawn records whether the order of the stored state is withdrawn. A copy of the
// orders that is older than the order, or of another era than the state, says nothing.
func (m *migration) setWithdrawn(now time.Time) {
	orderAt := history.Position{Era: m.ordersAt.Era, Version: m.stored.OrderVersion}
	switch {
	case m.order != nil || m.stored.Status != rollout.Running || !m.knowsRow() || m.ordersAt.Before(orderAt):
		m.withdrawnSince = time.Time{}
	case m.withdrawnSince.IsZero():
		m.withdrawnSince = now
	}
}

// setStored takes over a state of the store unless a newer one is known. A state of a later
// era replaces any of an earlier one, but a final state that the store has lost by that is
// kept.
func (m *migration) setStored(now time.Time, s rollout.State) {
	if !m.stored.Row.Before(s.Row) {
		return
	}
	before, sameEra := m.state(), s.Row.Era == m.stored.Row.Era
	if !sameEra && m.stored.Status.Final() && (m.order == nil || m.stored.IsOf(m.order)) {
		m.lost = m.stored
	}
	m.stored = s
	written := s.Status.Final() && s.OrderVersion == m.lost.OrderVersion && s.Target == m.lost.Target
	order := m.lastOrder(now)
	replaced := sameEra && (order == nil || !m.lost.IsOf(order))
	if written || replaced {
		m.lost = rollout.State{}
	}
	if !m.state().SaysLike(before) {
		m.stateSince = now
	}
}

// startJudge starts the judge of an open order.
func (m *migration) startJudge(now time.Time, storeNow time.Duration) {
	if m.judge != nil || !m.open() {
		return
	}
	m.judgeSince, m.startedBefore = now, max(storeNow-m.startedAt(), 0)
	m.judge = rollout.NewJudge(now, m.startedBefore, *m.order, m.bounds)
}

// startedAt returns the time of the store's clock from which the order's duration counts.
func (m *migration) startedAt() time.Duration {
	if m.stored.IsOf(m.order) {
		return m.stored.StartedAt
	}
	return m.orderedAt
}

// setVerdict records a verdict of this VM or another one.
func (m *migration) setVerdict(now time.Time, v rollout.Verdict) {
	if v == rollout.NoVerdict || m.verdict == rollout.RollBack || m.verdict == v {
		return
	}
	m.verdict, m.verdictAt = v, now
}

// rule returns the rule for an attempt. failedAtTarget is true if a server of the target
// version has failed an earlier attempt of the request. random is uniformly distributed in
// [0, 1).
func (m *migration) rule(now time.Time, failedAtTarget bool, random float64) Rule {
	rule := Rule{ready: m.ready}
	switch {
	case !m.ordered():
		m.withdrawnRule(now, &rule)
	case !m.open() && m.state().Status == rollout.Completed:
		rule.replaced = m.replaced(now)
	case !m.open():
		rule.target, rule.scope = m.state().Target, onlyOld
	default:
		m.openRule(now, &rule, failedAtTarget, random)
	}
	return rule
}

// withdrawnRule fills in the rule while there is no order. A version whose order was
// withdrawn, or that was rolled back, gets what the others cannot take, so that nobody is
// left without a server because of an old state.
func (m *migration) withdrawnRule(now time.Time, rule *Rule) {
	switch m.state().Status {
	case rollout.Completed:
		rule.replaced = m.replaced(now)
	case rollout.Running, rollout.RolledBack:
		rule.target, rule.scope = m.state().Target, preferOld
	}
	if m.avoidsLostTarget(now) {
		rule.target, rule.scope = m.lostOrder.Target, preferOld
	}
}

// avoidsLostTarget reports whether the target of an order that the store has lost gets
// only what the other versions cannot take: as long as the operators may write the order
// again, because its deadline goes on, and without an end if it was to be rolled back. A
// version to which the VMs were about to move all requests was judged good.
func (m *migration) avoidsLostTarget(now time.Time) bool {
	if m.lostOrder == nil || m.verdict == rollout.Complete || m.lost.Status != "" {
		return false
	}
	return m.verdict == rollout.RollBack || now.Sub(m.lostOrderSince) < rewriteTimeout
}

// replaced returns the versions whose servers stop because of the completion. Without
// servers of the target there are none, as nothing else could take the requests.
func (m *migration) replaced(now time.Time) []rollout.Version {
	_, targetKnown := m.arrivals.heldUntil[m.state().Target]
	if !targetKnown || now.Sub(m.stateSince) >= replacedTimeout {
		return nil
	}
	return m.state().Replaced
}

// openRule fills in the rule of an order without a final state.
func (m *migration) openRule(now time.Time, rule *Rule, failedAtTarget bool, random float64) {
	rule.target, rule.scope = m.order.Target, onlyOld
	share := m.decision.TargetShare
	switch {
	case !m.statesKnown:
		// The order may have been completed long ago.
		rule.scope = preferOld
	case m.verdict == rollout.RollBack:
	case m.verdict == rollout.Complete:
		rule.scope = onlyTarget
	case now.Sub(m.decidedAt) > maxDecisionAge:
	case random >= share || failedAtTarget && share < 1:
	default:
		rule.scope, rule.group = preferTarget, m.group
	}
}

// ownLoad returns what this VM has under way at the servers that are replaced. A VM that
// may still send them requests has at least one.
func (m *migration) ownLoad() (own load) {
	for version, l := range m.underWay {
		if version != m.order.Target {
			own.all += l.all
			own.unrepeatable += l.unrepeatable
		}
	}
	if m.verdict != rollout.Complete && m.decision.TargetShare < 1 {
		own.add(1, false)
	}
	return own
}

// oldLoad returns what all VMs have under way at the servers that are replaced.
// connectedVMs is the number of VMs, this one included, whose reports are expected.
func (m *migration) oldLoad(now time.Time, connectedVMs int) load {
	total := m.ownLoad()
	reports := 1
	for _, r := range m.remote {
		if now.Sub(r.reportedAt) > reportTimeout {
			continue // kept, because a later report holds only the difference
		}
		reports++
		l := r.load()
		total.all += l.all
		total.unrepeatable += l.unrepeatable
	}
	if !m.nearDeadline(now) {
		total.add(max(0, connectedVMs-reports), false)
	}
	return total
}

// nearDeadline reports whether so little of the order's duration is left that the old
// servers' requests that may be repeated, and missing reports, are not waited for.
func (m *migration) nearDeadline(now time.Time) bool {
	elapsed := m.startedBefore + now.Sub(m.judgeSince)
	return elapsed.Seconds() >= waitPart*m.order.Duration.Seconds()
}

// emptied reports whether the old servers have nothing under way, by a recent decision.
// After the announcement of a completion that also means that all VMs in touch follow it.
func (m *migration) emptied(now time.Time) bool {
	if now.Sub(m.decidedAt) > maxDecisionAge {
		return false
	}
	return m.old.all == 0 || m.old.unrepeatable == 0 && m.nearDeadline(now)
}

// knowsCounts reports whether the judge knows what was sent since the order, as far as any
// VM knows it. A process that ran when the order was written does. Another one receives it
// from older VMs in a while; if all have started since, nobody knows, which the judge takes
// into account.
func (m *migration) knowsCounts(now time.Time, f Fleet) bool {
	orderWritten := m.judgeSince.Add(-m.startedBefore)
	return !orderWritten.Before(f.StartedAt) || now.Sub(m.judgeSince) >= catchUpTime
}
