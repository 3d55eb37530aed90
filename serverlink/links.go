package serverlink

import (
	"cmp"
	"slices"
	"time"

	"almondstile/contract"
	"almondstile/shard"
	"almondstile/vm"
)

// Links holds the records of the links to the servers that this VM owns. A server
// without record has a direct link. The zero value is ready to use. Links is safe
// for concurrent use.
type Links struct {
	records shard.Map[contract.ServerID, *Link]
}

// HasRecentFailure reports whether the link to the server failed recently. Only then does
// Plan need PlanInput.Relays.
func (l *Links) HasRecentFailure(server contract.ServerID) bool {
	_, exists := l.records.Load(server)
	return exists
}

// Plan chooses the path and the deadline of a request's next attempt. ok is false if
// no path is left. RecordResult must be called for each planned attempt.
func (l *Links) Plan(now time.Time, server contract.ServerID, input PlanInput) (a Attempt, ok bool) {
	found := l.records.DoExisting(server, func(r *Link) { a, ok = r.plan(now, input) })
	if !found {
		return Attempt{Deadline: input.Deadline, started: now}, !input.DirectFailed
	}
	return a, ok
}

// RecordResult records the evidence of a finished attempt and returns how it counts for the
// server's health. relays are the VMs that can relay now. They matter only if a
// direct attempt failed.
func (l *Links) RecordResult(now time.Time, server contract.ServerID, a Attempt, e Evidence, relays []vm.ID) (result AttemptResult) {
	l.records.Update(server, func(r *Link, exists bool) (*Link, bool) {
		if !exists {
			if !a.Direct() || !e.Failed() || len(relays) == 0 {
				return nil, false
			}
			r = &Link{state: Direct, stateSince: now}
		}
		if a.Direct() {
			result = r.recordDirect(now, a, e, relays)
		} else {
			result = r.recordRelayed(now, a, e)
		}
		return r, !r.removable(now)
	})
	return result
}

// Delete deletes the record of a server. It is called when this VM no longer owns
// the server or the server has a new address.
func (l *Links) Delete(server contract.ServerID) { l.records.Delete(server) }

// Status describes the link to one server for operators.
type Status struct {
	Server contract.ServerID `json:"server"`
	State  State             `json:"state"`
	// Relay is the VM that runs the exchanges. It is empty if there is none.
	Relay vm.ID `json:"relay,omitempty"`
	// Cause is the failure that made the link suspect.
	Cause Evidence `json:"cause"`
	// Since is when the link came into its state.
	Since time.Time `json:"since"`
	// NextProbeAt is when the next probe of the direct path is due. It is not
	// meaningful while the link is suspect.
	NextProbeAt time.Time `json:"direct_at"`
}

// Status returns the links that are suspect or relayed, sorted by server ID.
func (l *Links) Status() []Status {
	var all []Status
	l.records.Range(func(id contract.ServerID, r *Link) bool {
		if r.state != Direct {
			all = append(all, Status{
				Server: id, State: r.state, Relay: r.relay, Cause: r.cause, Since: r.stateSince, NextProbeAt: r.nextProbeAt,
			})
		}
		return true
	})
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Server, b.Server) })
	return all
}
