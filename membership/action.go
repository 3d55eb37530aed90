package membership

import (
	"time"

	"almondstile/vm"
)

// ActionKind is the kind of call that an Action makes.
type ActionKind int

// Kinds of actions.
const (
	// ReadListVersion reads only the version of the member list.
	ReadListVersion ActionKind = iota
	// ReadRoster reads the member list and its recent changes.
	ReadRoster
	// ReadSession reads this VM's own session row.
	ReadSession
	// ReadSessions reads the session rows of all VMs.
	ReadSessions
	// WriteSession writes this VM's own session row.
	WriteSession
	// UpdateRoster writes a new member list and deletes the sessions of the
	// removed VMs in one transaction.
	UpdateRoster
	// SendHeartbeat sends a heartbeat request to another VM.
	SendHeartbeat

	actionKindCount
)

// Action is a call to the store or to another VM that Member returns for its
// caller to carry out. The timeout of the call may be up to the lease duration.
type Action struct {
	Kind ActionKind
	// DecidedAt is when Member created the action. The call is sent later, so
	// leases and ages that count from DecidedAt are on the safe side.
	DecidedAt time.Time
	// Session is the row to write, for WriteSession. The write requires that the
	// stored row has version Session.Version, or is absent if that is 0.
	Session SessionRow
	// Update is set for UpdateRoster.
	Update RosterUpdate
	// Peer and HeartbeatRequest are set for SendHeartbeat.
	Peer             vm.VM
	HeartbeatRequest HeartbeatRequest
}

// RosterUpdate replaces the roster Base with Next. A Base whose RowVersion is 0
// requires that no roster exists. If Next has the version of Base, the roster
// stays and only the sessions are deleted.
type RosterUpdate struct {
	Base, Next Roster
	// DeletedSessions are the session rows to delete. The whole update fails if
	// one of them has another version than given here.
	DeletedSessions []SessionRow
}

// Result is the outcome of an Action. Err is nil or one of the errors of package
// store or link.
type Result struct {
	Err error
	// Version and ListID are set for ReadListVersion. Version is 0 if no list
	// exists yet.
	Version uint64
	ListID  string
	// Roster is set for ReadRoster. Its version is 0 if no list exists yet.
	Roster Roster
	// Session is set for ReadSession. Its version is 0 if the row is absent.
	Session SessionRow
	// Sessions is set for ReadSessions.
	Sessions []SessionRow
	// Heartbeat is set for SendHeartbeat.
	Heartbeat Heartbeat
}
