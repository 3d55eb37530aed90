package membership

import (
	"time"

	"almondstile/vm"
)

// LastAnsweredHeartbeat returns when this VM sent the last heartbeat request to
// which the VM with the given ID responded. It is zero if there was none.
func (m *Manager) LastAnsweredHeartbeat(id vm.ID) time.Time {
	return m.member.Peers()[id].RequestSentAt
}
