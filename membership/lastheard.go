package membership

import (
	"time"

	"almondstile/vm"
)

// LastMessage is when this VM sent the last heartbeat question that the VM
// answered, or the zero time.
func (f *Manager) LastAnsweredHeartbeat(id vm.ID) time.Time {
	return f.member.Peers()[id].RequestSentAt
}
