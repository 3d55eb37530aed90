package membership

import (
	"time"

	"almondstile/vm"
)

// MayAct reports whether this VM holds the role and may act in it at now. If ok
// is true, no other VM can have acted in the role after the returned time.
// Callers must call MayAct again before each action, because the lease may
// expire while the process is paused.
func (m *Member) MayAct(now time.Time, role vm.Role) (since time.Time, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := &m.list
	mayUseList := m.phase == listed && !now.Before(list.resumeAt)
	if !mayUseList || !holdsRole(list.roster.List, role, m.self) || !m.listConfirmed(now) {
		return time.Time{}, false
	}
	othersExcludedSince, ok := list.handover.excludedSince(role)
	if !ok {
		othersExcludedSince, ok = list.joinFinishedAt, list.joinFinished
	}
	since = list.receivedAt
	for i := len(list.history) - 1; i >= 0 && holdsRole(list.history[i].list, role, m.self); i-- {
		since = list.history[i].receivedAt
	}
	if since.Before(othersExcludedSince) {
		since = othersExcludedSince
	}
	if since.Before(list.resumeAt) {
		since = list.resumeAt
	}
	return since, ok
}

// holdsRole reports whether the list assigns the role to this process of the VM:
// both the VM ID and the incarnation must match.
func holdsRole(list vm.MemberList, role vm.Role, self vm.VM) bool {
	holder, ok := list.Holder(role)
	return ok && holder.ID == self.ID && holder.Incarnation == self.Incarnation
}

// listConfirmed reports whether the store or more than half of the VMs in the list
// confirm that this VM may act by its list.
func (m *Member) listConfirmed(now time.Time) bool {
	return m.leaseAndListValid(now) || m.supportedByMajority(now)
}

// leaseAndListValid reports whether the session lease is valid and the last read
// that confirmed the current list was sent less than LeaseDuration ago.
func (m *Member) leaseAndListValid(now time.Time) bool {
	return m.session.lease.Valid(now) && now.Before(m.list.lastReadSentAt.Add(m.options.LeaseDuration))
}

// supportedByMajority implements the store-outage rule. It reports whether more
// than half of the VMs in the list, including this VM, support this VM as a
// holder. A peer supports it if its last heartbeat is recent enough and shows
// that the peer wrote no session to the store after this VM's last successful
// store call, with a tolerance of peerWriteGrace.
func (m *Member) supportedByMajority(now time.Time) bool {
	list := m.list.roster.List
	lastStoreContact := m.session.lease.RenewalSentAt
	if m.list.lastReadSentAt.Before(lastStoreContact) {
		lastStoreContact = m.list.lastReadSentAt
	}
	if lastStoreContact.IsZero() {
		return false
	}
	writeCutoff := lastStoreContact.Add(m.options.peerWriteGrace())
	heartbeatCutoff := now.Add(-m.options.HeartbeatValidity)
	votes := 0
	if !m.writeInDoubt() && !m.session.lastWriteAt.After(writeCutoff) {
		votes++
	}
	for _, v := range list.VMs {
		if v.ID == m.self.ID {
			continue
		}
		p, _ := m.peers.byID.Load(v.ID)
		if p.RequestSentAt.After(lastStoreContact) && m.list.roster.contradicts(p.Heartbeat) {
			return false // the list changed after this VM's last store call
		}
		if p.supportsHolder(v, heartbeatCutoff, writeCutoff) {
			votes++
		}
	}
	return votes > len(list.VMs)/2
}

// Ready reports whether this VM should receive requests. If not, reason says why.
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
	case !m.listConfirmed(now):
		return false, "neither the store nor more than half of the VMs can be reached"
	default:
		return true, ""
	}
}

// AnswerHeartbeat returns this VM's state in response to a heartbeat request. If
// the sender has a newer member list, this VM polls the list early, because the
// sender may need a heartbeat with that list before it acts in a role.
func (m *Member) AnswerHeartbeat(now time.Time, request HeartbeatRequest) Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	if request.ListVersion > m.list.roster.List.Version {
		m.nextPoll = earlier(m.nextPoll, m.lastPoll.Add(m.options.PollEvery/4))
	}
	listID := m.list.roster.id()
	if len(m.list.lostLists) > 0 {
		listID = "" // confirms no handover; see Heartbeat.ListID
	}
	return Heartbeat{
		Incarnation:           m.self.Incarnation,
		ListVersion:           m.list.roster.List.Version,
		ListID:                listID,
		ConfigVersion:         m.configVersion,
		SessionWrites:         m.session.writes,
		SessionWriteAgeMillis: now.Sub(m.session.lastWriteAt).Milliseconds(),
		InDoubt:               m.writeInDoubt(),
		Leaving:               m.phase == leaving || m.phase == gone,
	}
}

// handleHeartbeatResult records the response to a heartbeat, or its failure.
func (m *Member) handleHeartbeatResult(now time.Time, a Action, r Result) {
	if r.Err != nil {
		m.peers.recordFailure(a.Peer.ID)
		return
	}
	m.peers.recordHeartbeat(a.Peer.ID, a.DecidedAt, now, r.Heartbeat)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list.handover.recordHeartbeat(now, a.Peer.ID, r.Heartbeat, m.list.roster.Lineage)
	if !m.leaseAndListValid(now) && now.Add(-r.Heartbeat.sessionWriteAge()).After(m.list.lastReadSentAt) {
		// The peer wrote its session after this VM's last successful read of the
		// list. The outage may be over, and this peer no longer supports this VM,
		// so this VM polls the store early.
		m.nextPoll = earlier(m.nextPoll, m.lastPoll.Add(m.options.PollEvery/10))
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Peers returns the heartbeat state of the other VMs in the member list. VMs to
// which no heartbeat was sent are missing.
func (m *Member) Peers() map[vm.ID]PeerState {
	peers := make(map[vm.ID]PeerState)
	for _, v := range m.Roster().List.VMs {
		if p, ok := m.peers.byID.Load(v.ID); ok {
			peers[v.ID] = p
		}
	}
	return peers
}

// dueHeartbeats returns the heartbeats to send now. While the store responds,
// they go to NeighborCount peers. While it does not, they go to more than half
// of the list. Until a join is finished, this VM also sends them to the VMs that
// may use an older list.
func (m *Member) dueHeartbeats(now time.Time) []Action {
	list := m.list.roster.List
	if m.phase != listed {
		return nil
	}
	interval := m.options.HeartbeatEvery
	targets := m.ringSuccessors(list, m.options.NeighborCount)
	if !m.list.joinFinished {
		targets = append(targets, m.unconfirmedPeers(list)...)
	}
	if !now.Before(m.list.lastReadSentAt.Add(outageSuspectedPolls * m.options.PollEvery)) {
		interval = m.options.outageHeartbeatEvery(len(list.VMs))
		targets = m.ringSuccessors(list, outagePeerCount(len(list.VMs)))
	}
	var actions []Action
	for _, v := range targets {
		if m.peers.beginHeartbeat(v.ID, now, interval) {
			request := HeartbeatRequest{ListVersion: list.Version, ConfigVersion: m.configVersion}
			actions = append(actions, Action{Kind: SendHeartbeat, DecidedAt: now, Peer: v, HeartbeatRequest: request})
		}
	}
	return actions
}

// unconfirmedPeers returns the VMs that may still use a list from before this VM
// joined: they were in such a list and have not yet sent a heartbeat with a newer
// one.
func (m *Member) unconfirmedPeers(list vm.MemberList) []vm.VM {
	var targets []vm.VM
	for _, v := range list.VMs {
		_, wasListed := m.list.handover.incarnations[v.ID]
		_, confirmed := m.list.handover.confirmedAt[v.ID]
		if v.ID != m.self.ID && wasListed && !confirmed {
			targets = append(targets, v)
		}
	}
	return targets
}

// outagePeerCount returns the number of peers that get heartbeats during a store
// outage. Up to largeFleet VMs it is the size of the list. Above, it is a half
// plus a twentieth of the list; ringSuccessors adds a further peer for each one
// that does not respond.
func outagePeerCount(size int) int {
	if size <= largeFleet {
		return size
	}
	return size/2 + size/20
}

// failuresBeforeExtraPeer is the number of consecutive failed heartbeats to a
// peer after which ringSuccessors selects a further peer in addition.
const failuresBeforeExtraPeer = 2

// ringSuccessors returns the VMs that follow this one in the member list, which
// is treated as a ring. It selects VMs until count of them respond to
// heartbeats, and includes those that do not respond.
func (m *Member) ringSuccessors(list vm.MemberList, count int) []vm.VM {
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
		if p, _ := m.peers.byID.Load(v.ID); p.ConsecutiveFailures < failuresBeforeExtraPeer {
			count--
		}
	}
	return targets
}
