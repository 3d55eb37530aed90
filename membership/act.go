package membership

import (
	"time"

	"almondstile/vm"
)

// MayAct reports whether this VM holds the role and may act in it at now, and
// since when no other VM can have acted in it. It must be asked again before
// each action, because a pause of the process may have outlasted the lease.
func (m *Member) MayAct(now time.Time, role vm.Role) (since time.Time, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := &m.list
	if m.phase != listed || !holds(l.roster.List, role, m.self) || !m.fresh(now) && !m.supported(now) {
		return time.Time{}, false
	}
	excluded, ok := l.handover.since(role)
	if !ok {
		excluded, ok = l.since, l.settled
	}
	since = l.seen
	for i := len(l.history) - 1; i >= 0 && holds(l.history[i].list, role, m.self); i-- {
		since = l.history[i].seen
	}
	if since.Before(excluded) {
		since = excluded
	}
	return since, ok
}

func holds(list vm.MemberList, role vm.Role, self vm.VM) bool {
	holder, ok := list.Holder(role)
	return ok && holder.ID == self.ID && holder.Incarnation == self.Incarnation
}

// fresh reports whether the lease holds and the list is known to be in use.
func (m *Member) fresh(now time.Time) bool {
	return m.session.lease.Valid(now) && now.Before(m.list.readSent.Add(m.options.LeaseDuration))
}

// supported is the store-outage rule: more than half of the list, this VM
// included, was heard and certainly wrote nothing to the store since this VM's
// last contact.
func (m *Member) supported(now time.Time) bool {
	list := m.list.roster.List
	lastContact := m.session.lease.RenewalSentAt
	if m.list.readSent.Before(lastContact) {
		lastContact = m.list.readSent
	}
	if lastContact.IsZero() {
		return false
	}
	base := lastContact.Add(m.options.contactGrace())
	since := now.Add(-m.options.HeartbeatValidity)
	votes := 0
	if !m.inDoubt() && !m.session.contactAt.After(base) {
		votes++
	}
	for _, v := range list.VMs {
		if v.ID == m.self.ID {
			continue
		}
		p, _ := m.heard.peers.Load(v.ID)
		if p.RequestSentAt.After(lastContact) && p.Heartbeat.ListVersion > list.Version {
			return false // the list has changed since
		}
		if p.vouches(v, since, base) {
			votes++
		}
	}
	return votes > len(list.VMs)/2
}

// Ready reports whether this VM should get requests, and if not, why.
func (m *Member) Ready(now time.Time) (ready bool, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.superseded:
		return false, "another process took this VM's ID"
	case m.phase == leaving || m.phase == gone:
		return false, "leaving"
	case m.phase == joining:
		return false, "not in the member list"
	case !m.fresh(now) && !m.supported(now):
		return false, "neither the store nor more than half of the VMs can be reached"
	default:
		return true, ""
	}
}

// Answer returns this VM's state for a heartbeat question. If the asking VM has
// a newer list, this VM reads the list soon, because roles may wait for that.
func (m *Member) AnswerHeartbeat(now time.Time, q HeartbeatRequest) Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	if q.ListVersion > m.list.roster.List.Version {
		m.nextPoll = earlier(m.nextPoll, m.lastPoll.Add(m.options.PollEvery/4))
	}
	return Heartbeat{
		Incarnation:           m.self.Incarnation,
		ListVersion:           m.list.roster.List.Version,
		ConfigVersion:         m.config,
		SessionWrites:         m.session.contacts,
		SessionWriteAgeMillis: now.Sub(m.session.contactAt).Milliseconds(),
		InDoubt:               m.inDoubt(),
		Leaving:               m.phase == leaving || m.phase == gone,
	}
}

// answered takes in the answer to a heartbeat question, or its failure.
func (m *Member) answered(now time.Time, a Action, r Result) {
	if r.Err != nil {
		m.heard.unanswered(a.Peer.ID)
		return
	}
	m.heard.answered(a.Peer.ID, a.DecidedAt, now, r.Heartbeat)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list.handover.heard(now, a.Peer.ID, r.Heartbeat)
	if !m.fresh(now) && now.Add(-r.Heartbeat.contactAge()).After(m.list.readSent) {
		// The peer reached the store after this VM did last, so the outage may be
		// over, and a peer with such a contact no longer supports this VM.
		m.nextPoll = earlier(m.nextPoll, m.lastPoll.Add(m.options.PollEvery/10))
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Peers returns what this VM heard from the other VMs of the list.
func (m *Member) Peers() map[vm.ID]PeerState {
	peers := make(map[vm.ID]PeerState)
	for _, v := range m.Roster().List.VMs {
		if p, ok := m.heard.peers.Load(v.ID); ok {
			peers[v.ID] = p
		}
	}
	return peers
}

// questions returns the heartbeats that are due: to a few neighbors while the
// store answers, to more than half of the list while it does not.
func (m *Member) questions(now time.Time) []Action {
	list := m.list.roster.List
	if m.phase != listed {
		return nil
	}
	every := m.options.HeartbeatEvery
	targets := m.ring(list, m.options.NeighborCount)
	if !m.list.settled {
		targets = append(targets, m.unconfirmed(list)...)
	}
	if !now.Before(m.list.readSent.Add(outageSuspectedPolls * m.options.PollEvery)) {
		every = m.options.askEvery(len(list.VMs))
		targets = m.ring(list, supporters(len(list.VMs)))
	}
	var actions []Action
	for _, v := range targets {
		if m.heard.due(v.ID, now, every) {
			question := HeartbeatRequest{ListVersion: list.Version, ConfigVersion: m.config}
			actions = append(actions, Action{Kind: SendHeartbeat, DecidedAt: now, Peer: v, HeartbeatRequest: question})
		}
	}
	return actions
}

// unconfirmed returns the VMs that may still use a list from before this VM
// joined.
func (m *Member) unconfirmed(list vm.MemberList) []vm.VM {
	var targets []vm.VM
	for _, v := range list.VMs {
		_, asked := m.list.handover.incarnations[v.ID]
		_, confirmed := m.list.handover.confirmed[v.ID]
		if v.ID != m.self.ID && asked && !confirmed {
			targets = append(targets, v)
		}
	}
	return targets
}

// supporters is the number of peers to ask for support: all in small fleets,
// otherwise half and a twentieth more. ring replaces those that do not answer.
func supporters(size int) int {
	if size <= largeFleet {
		return size
	}
	return size/2 + size/20
}

// failuresBeforeReplaced is the number of unanswered questions after which a
// further peer is asked as well.
const failuresBeforeReplaced = 2

// ring returns the VMs that follow this one in the order of the list, up to
// count that answer.
func (m *Member) ring(list vm.MemberList, count int) []vm.VM {
	start := 0
	for i, v := range list.VMs {
		if v.ID == m.self.ID {
			start = i + 1
		}
	}
	var targets []vm.VM
	for i := 0; i < len(list.VMs) && count > 0; i++ {
		v := list.VMs[(start+i)%len(list.VMs)]
		if v.ID == m.self.ID {
			continue
		}
		targets = append(targets, v)
		if p, _ := m.heard.peers.Load(v.ID); p.ConsecutiveFailures < failuresBeforeReplaced {
			count--
		}
	}
	return targets
}
