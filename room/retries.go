package room

// leastUrgentRetryReserve is the part of a service's retry budget that retries of its least
// urgent rank leave to the more urgent ones. All VMs spend the budget at once and learn of
// each other's retries later, so it covers what they spend in between.
const leastUrgentRetryReserve = 0.1

// RetryReserve returns the part (0 to 1) of the retry budget of its service that a retry of
// the request leaves. It is 0 at a service whose requests all have one rank.
//
// It answers servers that fail or refuse more requests than the budget allows to repeat: the
// budget is another kind of room, and the most urgent requests get it first.
func (t *Ticket) RetryReserve() float64 {
	if len(t.ranks) < 2 {
		return 0
	}
	return leastUrgentRetryReserve * float64(t.position()) / float64(len(t.ranks)-1)
}
