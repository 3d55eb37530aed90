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
	l := m.list // a copy: the slices in it are replaced, not modified
	active := m.phase == listed && l.settled && (m.fresh(now) || m.supported(now))
	m.mu.Unlock()
	if !active || !holds(l.roster.List, role, m.self) {
		return time.Time{}, false
	}
	since = l.seen
	for i := len(l.history) - 1; i >= 0 && holds(l.history[i].list, role, m.self); i-- {
		since = l.history[i].seen
	}
	if since.Before(l.since) {
		since = l.since
	}
	return since, true
}

func holds(list vm.MemberList, role vm.Role, self vm.VM) bool {
	holder, ok := list.Holder(role)
	return ok && holder.ID == self.ID && holder.Incarnation == self.Incarnation
}

// fresh reports whether the lease holds and the list is known to be in use.
func (m *Member) fresh(now time.Time) bool {
	return m.session.lease.Valid(now) && now.Before(m.list.readSent.Add(m.options.Lease))
}

// supported is the store-outage rule: more than half of the list, this VM
// included, was heard and certainly wrote nothing to the store since this VM's
// last contact.
func (m *Member) supported(now time.Time) bool {
	list := m.list.roster.List
	lastContact := m.session.lease.Sent
	if m.list.readSent.Before(lastContact) {
		lastContact = m.list.readSent
	}
	if lastContact.IsZero() {
		return false
	}
	base := lastContact.Add(m.options.contactGrace())
	since := now.Add(-m.options.HeardFor)
	votes := 0
	if !m.inDoubt() && !m.session.contactAt.After(base) {
		votes++
	}
	for _, v := range list.VMs {
		if v.ID == m.self.ID {
			continue
		}
		p, _ := m.heard.peers.Load(v.ID)
		if p.Asked.After(lastContact) && p.Heartbeat.ListVersion > list.Version {
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

// Answer returns this VM's state for a heartbeat question.
func (m *Member) Answer(now time.Time) Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Heartbeat{
		Incarnation:      m.self.Incarnation,
		ListVersion:      m.list.roster.List.Version,
		ConfigVersion:    m.config,
		Contacts:         m.session.contacts,
		ContactAgeMillis: now.Sub(m.session.contactAt).Milliseconds(),
		InDoubt:          m.inDoubt(),
		Leaving:          m.phase == leaving || m.phase == gone,
	}
}

// answered takes in the answer to a heartbeat question, or its failure.
func (m *Member) answered(now time.Time, a Action, r Result) {
	if r.Err != nil {
		m.heard.unanswered(a.Peer.ID)
		return
	}
	m.heard.answered(a.Peer.ID, a.Sent, now, r.Heartbeat)
}

// Peers returns what this VM heard from the other VMs of the list.
func (m *Member) Peers() map[vm.ID]Peer {
	peers := make(map[vm.ID]Peer)
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
	targets := m.ring(list, m.options.Neighbors)
	if !now.Before(m.list.readSent.Add(outageSuspectedPolls * m.options.PollEvery)) {
		every = m.options.askEvery(len(list.VMs))
		targets = m.ring(list, supporters(len(list.VMs)))
	}
	var actions []Action
	for _, v := range targets {
		if m.heard.due(v.ID, now, every) {
			question := HeartbeatQuestion{ListVersion: list.Version, ConfigVersion: m.config}
			actions = append(actions, Action{Kind: AskPeer, Sent: now, Peer: v, Question: question})
		}
	}
	return actions
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
		if p, _ := m.heard.peers.Load(v.ID); p.Failures < failuresBeforeReplaced {
			count--
		}
	}
	return targets
}
