package membership

import "time"

// majorityEvidence decides from the observed sessions whether VMs that are
// disconnected from the store can still act by the store-outage rule.
type majorityEvidence struct {
	tracker *SessionTracker
	options Options
	now     time.Time
	// rosterReceivedAt is when the roster was received that contains the lists.
	rosterReceivedAt time.Time
}

// rulesOutMajority reports whether no VM whose last store call was before t0 can
// have the support of more than half of the list, now or later. This is proven if
// more than half of the members have departed or have written their sessions after
// t0 plus writeProofDelay, and their earlier heartbeats have expired since.
func (e majorityEvidence) rulesOutMajority(list olderList, t0 time.Time) bool {
	writtenAfter := t0.Add(e.options.writeProofDelay())
	seenBefore := e.now.Add(-e.options.heartbeatExpiry())
	cannotSupport := 0
	for id := range list.members {
		if list.departed[id] && e.rosterReceivedAt.Before(seenBefore) || e.tracker.WroteBetween(id, writtenAfter, seenBefore) {
			cannotSupport++
		}
	}
	// An empty list has no VM that could act by it.
	return len(list.members) == 0 || cannotSupport > len(list.members)/2
}

// rulesOutMajorities reports whether rulesOutMajority holds for each of the lists.
func (e majorityEvidence) rulesOutMajorities(lists []olderList, t0 time.Time) bool {
	for _, list := range lists {
		if !e.rulesOutMajority(list, t0) {
			return false
		}
	}
	return true
}
