package membership

import (
	"time"

	"almondstile/shard"
	"almondstile/vm"
)

// HeartbeatMethod is the method of the control message by which a VM requests the
// state of another one.
const HeartbeatMethod = "link.heartbeat"

// Heartbeat is the state of a VM, sent in response to a HeartbeatRequest. Because
// it is a response, the VM that asked knows without a common clock that the state
// is no older than its request.
type Heartbeat struct {
	Incarnation string `json:"i"`
	// ListVersion is the version of the member list that the VM uses.
	ListVersion uint64 `json:"l"`
	// ListID is the ID of that list. It is "" while lists that the table has lost
	// may still be in use, so that the heartbeat confirms no handover.
	ListID string `json:"li,omitempty"`
	// ConfigVersion is the version of the configuration that the VM uses.
	ConfigVersion uint64 `json:"c,omitempty"`
	// SessionWrites counts the writes of the VM's session that are known to have
	// taken effect. SessionWriteAgeMillis is the time in milliseconds since the
	// VM learned of the last of them.
	SessionWrites         uint64 `json:"n"`
	SessionWriteAgeMillis int64  `json:"a"`
	// InDoubt is set while a write of the session is in flight or its outcome is
	// unknown, so that it may still take effect.
	InDoubt bool `json:"d,omitempty"`
	// Leaving is set while the VM is shutting down and after it has left.
	Leaving bool `json:"g,omitempty"`
}

// sessionWriteAge returns SessionWriteAgeMillis as a duration.
func (h *Heartbeat) sessionWriteAge() time.Duration {
	return time.Duration(h.SessionWriteAgeMillis) * time.Millisecond
}

// HeartbeatRequest is the parameter of a heartbeat call. It holds the versions of
// the member list and of the configuration that the sender uses.
type HeartbeatRequest struct {
	ListVersion   uint64 `json:"l"`
	ConfigVersion uint64 `json:"c,omitempty"`
}

// PeerState is what this VM learned about another VM from heartbeats.
type PeerState struct {
	// RequestSentAt is when the request was sent whose response is Heartbeat. It
	// is zero if the peer never responded.
	RequestSentAt time.Time
	Heartbeat     Heartbeat
	// SessionWriteBefore is a time on this VM's clock before which the last session
	// write that the peer reported certainly took effect.
	SessionWriteBefore time.Time
	// ConsecutiveFailures counts the failed requests since the last response.
	ConsecutiveFailures int

	heartbeatInFlight bool
	nextHeartbeat     time.Time
}

// peerTable holds the heartbeat state of the other VMs.
type peerTable struct {
	byID shard.Map[vm.ID, PeerState]
}

// beginHeartbeat reports whether a heartbeat to the peer is due. If so, it marks
// the heartbeat as in flight and the next one as due after interval.
func (t *peerTable) beginHeartbeat(id vm.ID, now time.Time, interval time.Duration) (due bool) {
	t.byID.Update(id, func(p PeerState, _ bool) (PeerState, bool) {
		due = !p.heartbeatInFlight && !now.Before(p.nextHeartbeat)
		if due {
			p.heartbeatInFlight = true
			p.nextHeartbeat = now.Add(interval)
		}
		return p, true
	})
	return due
}

// recordFailure records that a heartbeat request failed.
func (t *peerTable) recordFailure(id vm.ID) {
	t.byID.Update(id, func(p PeerState, _ bool) (PeerState, bool) {
		p.heartbeatInFlight = false
		p.ConsecutiveFailures++
		return p, true
	})
}

// recordHeartbeat records a response that was received at now to a request sent
// at sentAt.
func (t *peerTable) recordHeartbeat(id vm.ID, sentAt, now time.Time, hb Heartbeat) {
	t.byID.Update(id, func(p PeerState, _ bool) (PeerState, bool) {
		p.heartbeatInFlight = false
		p.ConsecutiveFailures = 0
		if !sentAt.After(p.RequestSentAt) {
			return p, true
		}
		age := time.Duration(hb.SessionWriteAgeMillis) * time.Millisecond
		writeBefore := now.Add(-age * 100 / (100 + driftPercent))
		// The clock drift makes this bound less precise as the write gets older. As
		// long as the peer reports no newer write, the earliest bound stays.
		noNewWrite := p.Heartbeat.Incarnation == hb.Incarnation && p.Heartbeat.SessionWrites == hb.SessionWrites
		if !noNewWrite || writeBefore.Before(p.SessionWriteBefore) {
			p.SessionWriteBefore = writeBefore
		}
		p.RequestSentAt, p.Heartbeat = sentAt, hb
		return p, true
	})
}

// supportsHolder reports whether the peer supports this VM as a holder in a store
// outage. The last heartbeat must have been requested after heartbeatCutoff and
// come from the incarnation in the list. The peer must have no uncertain session
// write, must not be leaving, and its last write must have taken effect no later
// than writeCutoff.
func (p PeerState) supportsHolder(v vm.VM, heartbeatCutoff, writeCutoff time.Time) bool {
	hb := p.Heartbeat
	return p.RequestSentAt.After(heartbeatCutoff) && hb.Incarnation == v.Incarnation && !hb.InDoubt && !hb.Leaving &&
		hb.SessionWrites > 0 && !p.SessionWriteBefore.After(writeCutoff)
}
