package serverlink

import (
	"cmp"
	"slices"
	"time"

	"almondstile/contract"
	"almondstile/shard"
	"almondstile/vm"
)

// Links holds the records of the links to the servers that this VM owns. The
// zero value is ready to use. It is safe for concurrent use.
type Links struct {
	records shard.Map[contract.ServerID, *Link]
}

// Troubled reports whether the link to the server failed lately. Only then does
// Plan need relays to choose from.
func (l *Links) Troubled(server contract.ServerID) bool {
	_, ok := l.records.Load(server)
	return ok
}

// Plan chooses the way of a request's next attempt. ok is false if no way is
// left. Each planned attempt must end with Ended.
func (l *Links) Plan(now time.Time, server contract.ServerID, ask Ask) (a Attempt, ok bool) {
	found := l.records.DoExisting(server, func(r *Link) { a, ok = r.plan(now, ask) })
	if !found {
		return Attempt{Deadline: ask.Deadline, started: now}, !ask.DirectFailed
	}
	return a, ok
}

// Ended records what an attempt showed and says how it counts. relays are the
// VMs that may relay; they matter only if a direct attempt failed.
func (l *Links) Ended(now time.Time, server contract.ServerID, a Attempt, e Evidence, relays []vm.ID) (v Verdict) {
	l.records.Update(server, func(r *Link, exists bool) (*Link, bool) {
		if !exists {
			if !a.Direct() || !e.Failed() || len(relays) == 0 {
				return nil, false
			}
			r = &Link{state: Direct, since: now}
		}
		if a.Direct() {
			v = r.directEnded(now, a, e, relays)
		} else {
			v = r.relayEnded(now, a, e)
		}
		return r, !r.forgettable(now)
	})
	return v
}

// Forget drops the record of a server that this VM no longer owns or that moved
// to another address.
func (l *Links) Forget(server contract.ServerID) { l.records.Delete(server) }

// Status is the link to one server as operators see it.
type Status struct {
	Server contract.ServerID `json:"server"`
	State  State             `json:"state"`
	// Relay is the VM that runs the exchanges, if any.
	Relay vm.ID `json:"relay,omitempty"`
	// Cause is the failure that began the suspicion.
	Cause Evidence  `json:"cause"`
	Since time.Time `json:"since"`
	// DirectAt is when the direct way is tried again.
	DirectAt time.Time `json:"direct_at"`
}

// Status returns the links that are suspect or relayed, by server.
func (l *Links) Status() []Status {
	var all []Status
	l.records.Range(func(id contract.ServerID, r *Link) bool {
		if r.state != Direct {
			all = append(all, Status{
				Server: id, State: r.state, Relay: r.relay, Cause: r.cause, Since: r.since, DirectAt: r.directAt,
			})
		}
		return true
	})
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Server, b.Server) })
	return all
}
