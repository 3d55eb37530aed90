package memory

import (
	"cmp"
	"slices"
	"time"
)

// Stage is what a lease holds its bytes for.
type Stage int

// The stages of a lease.
const (
	// Receiving means that a request is arriving. Nothing of it has been passed on, so it
	// can be turned away at any moment.
	Receiving Stage = iota
	// Serving means that a request may be running. It is never turned away.
	Serving
	// Answering means that an answer is being sent. It is turned away only if its reader
	// does not take it.
	Answering
)

// stallTime is the time without a byte after which a peer counts as stalled. Networks
// recover from the loss of a packet in less.
const stallTime = 1 * time.Second

// holder describes a lease for victims.
type holder struct {
	address string
	stage   Stage
	held    int64
	// missing is the number of bytes that are still to arrive or to be read.
	missing int64
	// moved is the number of bytes that have arrived or have been read.
	moved int64
	// age is the time since the message began, and idle the time since its last byte.
	age, idle time.Duration
}

// stalled reports whether the peer has sent or read nothing for stallTime.
func (h *holder) stalled() bool { return h.idle >= stallTime }

// mayBeTurnedAway reports whether turning the holder away breaks no promise: nothing of
// its request has run, or its reader does not take the answer.
func (h *holder) mayBeTurnedAway() bool {
	return h.held > 0 && (h.stage == Receiving || h.stage == Answering && h.stalled())
}

// timeToEnd returns the time that the rest of the message takes at its speed so far.
func (h *holder) timeToEnd() float64 {
	return float64(h.missing) * max(h.age.Seconds(), time.Millisecond.Seconds()) / float64(max(h.moved, 1))
}

// victims returns the indices of the holders that have to be turned away so that need
// bytes are given back, in their order. It returns all that may be turned away if they
// hold less.
//
// Holders of an address that has more than fairShare come first, so that many connections
// of one caller do not displace the few of another. Then come stalled holders, the longest
// stalled first: a body that stops just short of its end is nearly complete, but it does
// not get on. The others follow by the time that they still need: the least complete and
// slowest first. Answers come after requests, whose callers can be told that nothing has
// run.
func victims(holders []holder, need, fairShare int64) []int {
	byAddress := make(map[string]int64)
	var candidates []int
	for i := range holders {
		byAddress[holders[i].address] += holders[i].held
		if holders[i].mayBeTurnedAway() {
			candidates = append(candidates, i)
		}
	}
	slices.SortFunc(candidates, func(a, b int) int {
		x, y := &holders[a], &holders[b]
		return cmp.Or(
			compareBool(byAddress[x.address] > fairShare, byAddress[y.address] > fairShare),
			compareBool(x.stalled(), y.stalled()),
			compareBool(x.stage == Receiving, y.stage == Receiving),
			compareProgress(x, y),
			cmp.Compare(a, b),
		)
	})
	for n, i := range candidates {
		if need <= 0 {
			return candidates[:n]
		}
		need -= holders[i].held
	}
	return candidates
}

// compareProgress orders two stalled holders by the time since their last byte, and two
// others by the time that they still need. It compares only holders of the same kind.
func compareProgress(x, y *holder) int {
	if x.stalled() {
		return cmp.Compare(y.idle, x.idle)
	}
	return cmp.Compare(y.timeToEnd(), x.timeToEnd())
}

// compareBool orders true before false.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	default:
		return 1
	}
}
