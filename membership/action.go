package membership

import (
	"time"

	"almondstile/vm"
)

// ActionKind tells what an Action does.
type ActionKind int

// Kinds of actions.
const (
	// ReadListVersion reads the version of the member list.
	ReadListVersion ActionKind = iota
	// ReadRoster reads the member list.
	ReadRoster
	// ReadSession reads this VM's own session row.
	ReadSession
	// ReadSessions reads the session rows of all VMs.
	ReadSessions
	// WriteSession writes this VM's own session row.
	WriteSession
	// UpdateRoster changes the member list and deletes the sessions of the VMs
	// that it removes, in one transaction.
	UpdateRoster
	// SendHeartbeat sends a heartbeat question to another VM.
	SendHeartbeat

	actionKinds
)

// Action is a call that Member wants to be carried out. The time-out of a call
// may be as long as the lease.
type Action struct {
	Kind ActionKind
	// Sent is when Member decided on the call, which is before it is sent.
	DecidedAt time.Time
	// Session and its condition are for WriteSession: Session.Version is the
	// version that the row must have, 0 if it must be absent.
	Session SessionRow
	// Change is for UpdateRoster.
	Update RosterUpdate
	// Peer and Question are for SendHeartbeat.
	Peer             vm.VM
	HeartbeatRequest HeartbeatRequest
}

// RosterUpdate replaces the roster of version Base by Next. Base 0 means that
// no roster exists. If Next has version Base, only the sessions are deleted.
type RosterUpdate struct {
	BaseVersion uint64
	Next        Roster
	// Sessions are the rows that must be unchanged and are deleted.
	DeletedSessions []SessionRow
}

// Result is what an action returned. Err is nil or one of the errors of package
// platform or link.
type Result struct {
	Err error
	// Version is for ReadListVersion, 0 if there is no list yet.
	Version uint64
	// Roster is for ReadRoster; its version is 0 if there is none.
	Roster Roster
	// Session is for ReadSession; its version is 0 if there is none.
	Session SessionRow
	// Sessions is for ReadSessions.
	Sessions []SessionRow
	// Heartbeat is for SendHeartbeat.
	Heartbeat Heartbeat
}
