package backend

import (
	"slices"

	"almondstile/contract"
)

// fairQueue shares slots between teams by weight with start-time fair
// queueing: each team has a virtual start time that advances by 1/weight for
// each of its requests, and the team with the least start time is next. A team
// that was idle starts at the current virtual time, so it saves up no credit.
type fairQueue struct {
	teams   map[contract.TeamID]*teamQueue
	length  int
	virtual float64
}

type teamQueue struct {
	weight  int
	start   float64
	waiting []*Ticket
}

// backlog is the team's queue length relative to its weight.
func (q *teamQueue) backlog(extra int) float64 {
	return float64(len(q.waiting)+extra) / float64(q.weight)
}

// push adds a waiter. If the queue is full, the team with the longest backlog
// for its weight gives up its newest waiter, so that one team cannot keep the
// others out. It returns the waiter that has no room, which may be t itself.
func (q *fairQueue) push(t *Ticket, o Options) (rejected *Ticket) {
	team := q.team(t)
	if len(team.waiting) >= o.MaxQueuePerTeam {
		return t
	}
	if q.length >= o.MaxQueue {
		longest := q.longest()
		if longest == nil || longest.backlog(0) <= team.backlog(1) {
			return t
		}
		rejected = longest.waiting[len(longest.waiting)-1]
		q.remove(rejected)
		team = q.team(t) // removing the last waiter of all resets the queue
	}
	team.waiting = append(team.waiting, t)
	q.length++
	return rejected
}

func (q *fairQueue) team(t *Ticket) *teamQueue {
	if q.teams == nil {
		q.teams = make(map[contract.TeamID]*teamQueue)
	}
	team := q.teams[t.team]
	if team == nil {
		team = &teamQueue{start: q.virtual}
		q.teams[t.team] = team
	}
	team.weight = t.weight
	if len(team.waiting) == 0 {
		team.start = max(team.start, q.virtual)
	}
	return team
}

func (q *fairQueue) longest() *teamQueue {
	var longest *teamQueue
	for _, team := range q.teams {
		if len(team.waiting) > 0 && (longest == nil || team.backlog(0) > longest.backlog(0)) {
			longest = team
		}
	}
	return longest
}

// pop removes the waiter that is next in turn, or returns nil.
func (q *fairQueue) pop() *Ticket {
	var nextID contract.TeamID
	var next *teamQueue
	for id, team := range q.teams {
		if len(team.waiting) == 0 {
			if team.start <= q.virtual {
				delete(q.teams, id) // It would start at the virtual time anyway.
			}
			continue
		}
		if next == nil || team.start < next.start || team.start == next.start && id < nextID {
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

// charge makes the team of an admitted waiter pay for its slot. A waiter that
// expired or gave up is not charged.
func (q *fairQueue) charge(t *Ticket) {
	team := q.teams[t.team]
	if team == nil {
		return // The busy period is over; the next one starts even.
	}
	q.virtual = max(q.virtual, team.start)
	team.start += 1 / float64(team.weight)
}

// remove takes a waiter out. The end of a busy period clears all virtual times.
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
		q.teams, q.virtual = nil, 0
	}
}

// drain empties the queue and returns who waited in it.
func (q *fairQueue) drain() []*Ticket {
	var all []*Ticket
	for _, team := range q.teams {
		all = append(all, team.waiting...)
	}
	*q = fairQueue{}
	return all
}

// expired returns the waiters for which gone reports true, without removing them.
func (q *fairQueue) expired(gone func(*Ticket) bool) []*Ticket {
	var all []*Ticket
	for _, team := range q.teams {
		for _, t := range team.waiting {
			if gone(t) {
				all = append(all, t)
			}
		}
	}
	return all
}
