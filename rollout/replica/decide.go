package replica

import (
	"time"

	"almondstile/contract"
	"almondstile/rollout"
	"almondstile/tally"
)

// Fleet is what a VM knows of the fleet at one time.
type Fleet struct {
	// StartedAt is when this process started.
	StartedAt time.Time
	// ConnectedShare is the share of the fleet with which this VM exchanges counts, and
	// ConnectedVMs the number of VMs, this one included.
	ConnectedShare float64
	ConnectedVMs   int
}

// Servers are the servers of a service that may get requests.
type Servers struct {
	Targets              []rollout.TargetServer
	OldServers, OldSlots int
	// ArrivalsPerSecond is the rate of requests for the service at all VMs.
	ArrivalsPerSecond float64
}

// Announcement is a count that informs the other VMs.
type Announcement struct {
	Subject tally.Subject
	Counts  tally.Counts
}

// Step is the result of one decision about a service's roll-out.
type Step struct {
	Order    rollout.Order
	Decision rollout.Decision
	// Verdict is the verdict in force, of this VM or another.
	Verdict rollout.Verdict
	// Changed is true if the reason or the verdict is another one than before.
	Changed       bool
	Announcements []Announcement
	// UnderWay is the number of requests that all VMs have under way at the old servers.
	UnderWay int
}

// Orders returns the orders without a final state.
func (r *Rollouts) Orders() (open []rollout.Order) {
	if r == nil {
		return nil
	}
	r.services.Range(func(_ contract.ServiceID, m *migration) bool {
		if m.open() && m.judge != nil {
			open = append(open, *m.order)
		}
		return true
	})
	return open
}

// Stored returns the state of a service's last roll-out in the store, as far as this VM
// knows it, or a final one that the store has lost.
func (r *Rollouts) Stored(service contract.ServiceID) (state rollout.State) {
	r.services.DoExisting(service, func(m *migration) { state = m.state() })
	return state
}

// Decide decides about the order, which the VM follows until the next call. It returns
// false if the order is not in force any more.
func (r *Rollouts) Decide(now time.Time, order rollout.Order, f Fleet, servers Servers) (step Step, ok bool) {
	r.services.DoExisting(order.Service, func(m *migration) {
		if !m.open() || m.judge == nil || m.order.ID() != order.ID() {
			return
		}
		step, ok = m.decide(now, f, servers), true
		if m.decision.Shifting || m.verdict != rollout.NoVerdict {
			if counts, due := m.report.next(now, m.ownLoad()); due {
				step.Announcements = append(step.Announcements, Announcement{loadSubject(m.order, r.self), counts})
			}
		}
	})
	return step, ok
}

// LostFinals returns the announcements that are due of final states that the store has
// lost and whose orders stand. VMs that have started since know nothing of them, and would
// judge the version again, or send to old servers that have stopped.
func (r *Rollouts) LostFinals(now time.Time) (due []Announcement) {
	if r == nil {
		return nil
	}
	r.services.Range(func(_ contract.ServiceID, m *migration) bool {
		if m.hasLostFinal() && now.Sub(m.announcedAt) >= announceInterval {
			m.announcedAt = now
			var c tally.Counts
			if m.lost.Status == rollout.RolledBack {
				c[tally.RollBacks] = 1
			} else {
				c[tally.Completions] = 1
			}
			due = append(due, Announcement{OrderSubject(m.order), c})
		}
		return true
	})
	return due
}

// decide asks the judge and takes over its decision.
func (m *migration) decide(now time.Time, f Fleet, servers Servers) Step {
	old := m.oldLoad(now, f.ConnectedVMs)
	before, beforeVerdict := m.decision, m.verdict
	m.decidedAt, m.old = now, old
	m.decision = m.judge.Decide(now, rollout.Situation{
		Targets: servers.Targets, OldServers: servers.OldServers, OldSlots: servers.OldSlots,
		OldInFlight: old.all, OldUnrepeatable: old.unrepeatable,
		ArrivalsPerSecond: servers.ArrivalsPerSecond, ConnectedShare: f.ConnectedShare,
		RemoteCountsUnknown: !m.knowsCounts(now, f),
		OthersShift:         m.othersMove, Announced: m.verdict,
	})
	m.setVerdict(now, m.decision.Verdict)
	m.group = nil
	if m.decision.TargetServers != nil {
		m.group = make(map[string]bool, len(m.decision.TargetServers))
		for _, key := range m.decision.TargetServers {
			m.group[key] = true
		}
	}
	step := Step{Order: *m.order, Decision: m.decision, Verdict: m.verdict, UnderWay: old.all,
		Changed: before.Reason != m.decision.Reason || beforeVerdict != m.verdict}
	if c := m.announcement(now, beforeVerdict); c != (tally.Counts{}) {
		step.Announcements = append(step.Announcements, Announcement{OrderSubject(m.order), c})
	}
	return step
}

// announcement returns the counts that announce this VM's verdict or that it moves all
// requests. A verdict is repeated until the store has it.
func (m *migration) announcement(now time.Time, before rollout.Verdict) (c tally.Counts) {
	if m.decision.Shifting && !m.announcedShift {
		m.announcedShift = true
		c[tally.Shifts] = 1
	}
	if m.verdict == rollout.NoVerdict || m.verdict == before && now.Sub(m.announcedAt) < announceInterval {
		return c
	}
	m.announcedAt = now
	if m.verdict == rollout.RollBack {
		c[tally.RollBacks] = 1
	} else {
		c[tally.Completions] = 1
	}
	return c
}
