package membership

import (
	"time"

	"almondstile/shard"
	"almondstile/vm"
)

// HeartbeatMethod is the control message by which VMs ask each other for their
// state.
const HeartbeatMethod = "link.heartbeat"

// Heartbeat is the state of a VM, sent as the answer to a question, so that the
// asking VM knows without a common clock that it is no older than the question.
type Heartbeat struct {
	Incarnation string `json:"i"`
	// ListVersion is the version of the member list that the VM uses.
	ListVersion uint64 `json:"l"`
	// ConfigVersion is the version of the configuration that the VM uses.
	ConfigVersion uint64 `json:"c,omitempty"`
	// Contacts counts the writes of the VM's session that took effect, and
	// SessionWriteAgeMillis is the age of the last of them.
	SessionWrites         uint64 `json:"n"`
	SessionWriteAgeMillis int64  `json:"a"`
	// InDoubt says that a write of the session may take effect at any moment.
	InDoubt bool `json:"d,omitempty"`
	// Leaving says that the VM is shutting down.
	Leaving bool `json:"g,omitempty"`
}

func (h *Heartbeat) contactAge() time.Duration {
	return time.Duration(h.SessionWriteAgeMillis) * time.Millisecond
}

// HeartbeatRequest is the parameter of a heartbeat call: the versions of the
// asking VM.
type HeartbeatRequest struct {
	ListVersion   uint64 `json:"l"`
	ConfigVersion uint64 `json:"c,omitempty"`
}

// Peer is what this VM heard from another one.
type PeerState struct {
	// Asked is when the question was sent whose answer is Heartbeat.
	RequestSentAt time.Time
	Heartbeat     Heartbeat
	// SessionWriteBefore is a moment on this VM's clock before which the peer's last
	// contact with the store certainly took effect.
	SessionWriteBefore time.Time
	// Failures counts the questions without an answer since the last answer.
	ConsecutiveFailures int

	asking bool
	next   time.Time
}

// heard keeps the peers' last answers.
type heard struct {
	peers shard.Map[vm.ID, PeerState]
}

// due reports whether a question to the peer may be sent now, and notes it.
func (h *heard) due(id vm.ID, now time.Time, every time.Duration) (ask bool) {
	h.peers.Update(id, func(p PeerState, _ bool) (PeerState, bool) {
		ask = !p.asking && !now.Before(p.next)
		if ask {
			p.asking = true
			p.next = now.Add(every)
		}
		return p, true
	})
	return ask
}

func (h *heard) unanswered(id vm.ID) {
	h.peers.Update(id, func(p PeerState, _ bool) (PeerState, bool) {
		p.asking = false
		p.ConsecutiveFailures++
		return p, true
	})
}

// answered takes in the answer, received at now, to a question sent at asked.
func (h *heard) answered(id vm.ID, asked, now time.Time, hb Heartbeat) {
	h.peers.Update(id, func(p PeerState, _ bool) (PeerState, bool) {
		p.asking = false
		p.ConsecutiveFailures = 0
		if !asked.After(p.RequestSentAt) {
			return p, true
		}
		age := time.Duration(hb.SessionWriteAgeMillis) * time.Millisecond
		before := now.Add(-age * 100 / (100 + driftPercent))
		// The age loses precision as it grows; without a newer contact the
		// first estimate stays.
		same := p.Heartbeat.Incarnation == hb.Incarnation && p.Heartbeat.SessionWrites == hb.SessionWrites
		if !same || before.Before(p.SessionWriteBefore) {
			p.SessionWriteBefore = before
		}
		p.RequestSentAt, p.Heartbeat = asked, hb
		return p, true
	})
}

// vouches reports whether the peer supports a holder in a store outage: it was
// heard after since, has the incarnation of the list, and certainly wrote
// nothing to the store after base.
func (p PeerState) vouches(v vm.VM, since, base time.Time) bool {
	hb := p.Heartbeat
	return p.RequestSentAt.After(since) && hb.Incarnation == v.Incarnation && !hb.InDoubt && !hb.Leaving &&
		hb.SessionWrites > 0 && !p.SessionWriteBefore.After(base)
}
