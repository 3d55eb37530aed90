package backend

import (
	"slices"

	"almondstile/contract"
)

// fairQueue holds the requests that wait for a slot of one server. It shares the
// slots between teams by weight with start-time fair queueing: each team has a
// virtual start time that advances by 1/weight for each admitted request, and the
// team with the lowest start time is next. A team that was idle starts at the
// current virtual time, so that it gains no credit while idle.
type fairQueue struct {
	teams       map[contract.TeamID]*teamQueue
	length      int
	virtualTime float64
}

// teamQueue holds the waiting requests of one team, oldest first.
type teamQueue struct {
	weight       int
	virtualStart float64
	waiting      []*Ticket
}

// backlog returns the team's queue length, plus extra, divided by its weight.
func (q *teamQueue) backlog(extra int) float64 {
	return float64(len(q.waiting)+extra) / float64(q.weight)
}

// push adds a waiter. If the queue is full, the newest waiter of the team with the
// largest backlog is removed, so that one team cannot fill the queue and exclude
// the others. push returns the waiter that must be rejected, if any: the removed
// one, or t if its team has reached its limit or has the largest backlog.
func (q *fairQueue) push(t *Ticket, o Options) (rejected *Ticket) {
	team := q.teamQueue(t)
	if len(team.waiting) >= o.MaxQueuePerTeam {
		return t
	}
	if q.length >= o.MaxQueue {
		longest := q.longestBacklog()
		if longest == nil || longest.backlog(0) <= team.backlog(1) {
			return t
		}
		rejected = longest.waiting[len(longest.waiting)-1]
		q.remove(rejected)
		team = q.teamQueue(t) // Removing the only waiter has reset the queue.
	}
	team.waiting = append(team.waiting, t)
	q.length++
	return rejected
}

// teamQueue returns the queue of the ticket's team and creates it if needed.
func (q *fairQueue) teamQueue(t *Ticket) *teamQueue {
	if q.teams == nil {
		q.teams = make(map[contract.TeamID]*teamQueue)
	}
	team := q.teams[t.team]
	if team == nil {
		team = &teamQueue{virtualStart: q.virtualTime}
		q.teams[t.team] = team
	}
	team.weight = t.weight
	if len(team.waiting) == 0 {
		team.virtualStart = max(team.virtualStart, q.virtualTime)
	}
	return team
}

// longestBacklog returns the team with the largest backlog, or nil if the queue is
// empty.
func (q *fairQueue) longestBacklog() *teamQueue {
	var found *teamQueue
	for _, team := range q.teams {
		if len(team.waiting) > 0 && (found == nil || team.backlog(0) > found.backlog(0)) {
			found = team
		}
	}
	return found
}

// pop removes and returns the oldest waiter of the team with the lowest virtual
// start time, or returns nil if the queue is empty.
func (q *fairQueue) pop() *Ticket {
	var nextID contract.TeamID
	var next *teamQueue
	for id, team := range q.teams {
		if len(team.waiting) == 0 {
			if team.virtualStart <= q.virtualTime {
				delete(q.teams, id) // A new entry would start at the virtual time as well.
			}
			continue
		}
		if next == nil || team.virtualStart < next.virtualStart || team.virtualStart == next.virtualStart && id < nextID {
			nextID, next = id, team
		}
	}
	if next == nil {
		return nil
	}
	t := next.waiting[0]
	q.remove(t)
	return t
}

// charge advances the virtual start time of an admitted waiter's team. It is not
// called for a waiter that expired or was abandoned.
func (q *fairQueue) charge(t *Ticket) {
	team := q.teams[t.team]
	if team == nil {
		return // The queue is empty and was reset, so all teams start at zero.
	}
	q.virtualTime = max(q.virtualTime, team.virtualStart)
	team.virtualStart += 1 / float64(team.weight)
}

// remove removes a waiter. If the queue becomes empty, it resets all virtual times.
func (q *fairQueue) remove(t *Ticket) {
	team := q.teams[t.team]
	if team == nil {
		return
	}
	i := slices.Index(team.waiting, t)
	if i < 0 {
		return
	}
	team.waiting = slices.Delete(team.waiting, i, i+1)
	q.length--
	if q.length == 0 {
		q.teams, q.virtualTime = nil, 0
	}
}

// drain empties the queue and returns all waiters that were in it.
func (q *fairQueue) drain() []*Ticket {
	var all []*Ticket
	for _, team := range q.teams {
		all = append(all, team.waiting...)
	}
	*q = fairQueue{}
	return all
}

// find returns the waiters for which matches returns true, without removing them.
func (q *fairQueue) find(matches func(*Ticket) bool) []*Ticket {
	var found []*Ticket
	for _, team := range q.teams {
		for _, t := range team.waiting {
			if matches(t) {
				found = append(found, t)
			}
		}
	}
	return found
}
