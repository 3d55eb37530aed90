package memory

import (
	"cmp"
	"slices"
	"time"
)

// Stage is what a lease is used for.
type Stage int32

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
	// Waiting means that a connection has no request.
	Waiting
	// Closing means that a connection has been answered for the last time and waits for its
	// peer to close.
	Closing
)

const (
	// stallTime is the time without a byte after which a peer counts as stalled. Networks
	// recover from the loss of a packet in less.
	stallTime = 1 * time.Second
	// arrivalTime is the time for which a new connection may be without a request before it
	// may be turned away. The first bytes of most callers arrive in less.
	arrivalTime = 200 * time.Millisecond
	// unusedTime is how long a new connection may be without a request before it is among
	// the first to give way. Callers may connect some time before they send.
	unusedTime = 10 * time.Second
	// keepTimePerRequest is how long a connection without a request is worth keeping, for
	// each request that it has carried.
	keepTimePerRequest = 1 * time.Second
	// closingTime is the time in which most peers close after their last answer.
	closingTime = 250 * time.Millisecond
)

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
	// Without a message both are the time since the last one.
	age, idle time.Duration
	// requests is the number of requests that the connection has carried.
	requests int64
	// connected says that the lease belongs to an open connection.
	connected bool
}

// stalled reports whether the peer has sent or read nothing for stallTime.
func (h *holder) stalled() bool { return h.idle >= stallTime }

// mayBeTurnedAway reports whether turning the holder away breaks no promise and frees
// something: nothing of its request has run, its reader does not take the answer, or it has
// no request.
func (h *holder) mayBeTurnedAway() bool {
	if h.held == 0 && !h.connected {
		return false
	}
	switch h.stage {
	case Receiving:
		return true
	case Answering:
		return h.stalled()
	case Waiting:
		return h.requests > 0 || h.idle >= arrivalTime
	case Closing:
		return h.idle >= closingTime
	default:
		return false
	}
}

// hasJustBegun reports whether a small request has begun to arrive within arrivalTime. It is
// about to be complete, and turning it away would free little.
func (h *holder) hasJustBegun() bool {
	return h.stage == Receiving && h.age < arrivalTime && h.held <= smallBytes/2
}

// mayGiveWay reports whether the holder may be turned away so that another connection can be
// accepted. A request that has just begun to arrive may not, since the new connection may be
// without one.
func (h *holder) mayGiveWay() bool {
	return h.connected && h.mayBeTurnedAway() && (h.stage != Receiving || h.age >= arrivalTime)
}

// rank is the order in which holders give way. Those of a lower rank go first.
type rank int

const (
	// rankClosing is for connections that were answered for the last time.
	rankClosing rank = iota
	// rankUnused is for connections without a request for unusedTime.
	rankUnused
	// rankStalled is for requests that do not get on: a body that stops just short of its
	// end is nearly complete, but it keeps what it holds.
	rankStalled
	// rankUnread is for answers that nobody reads. They come after requests, whose callers
	// can be sent the answer that nothing has run.
	rankUnread
	// rankAbandoned is for kept connections that have been without a request for longer than
	// the requests that they have carried make likely.
	rankAbandoned
	// rankArriving is for requests that get on.
	rankArriving
	// rankKept is for other kept connections.
	rankKept
	// rankNew is for new connections, whose callers may be about to send.
	rankNew
)

// rank returns the rank of a holder that may be turned away.
func (h *holder) rank() rank {
	switch {
	case h.stage == Closing:
		return rankClosing
	case h.stage == Answering:
		return rankUnread
	case h.stage == Receiving && h.stalled():
		return rankStalled
	case h.stage == Receiving:
		return rankArriving
	case h.requests == 0 && h.idle >= unusedTime:
		return rankUnused
	case h.requests == 0:
		return rankNew
	case h.idlePerRequest() >= keepTimePerRequest:
		return rankAbandoned
	default:
		return rankKept
	}
}

// idlePerRequest returns the time without a request, divided by the number of requests that
// the connection has carried. A caller that has sent many is likely to send another one.
func (h *holder) idlePerRequest() time.Duration { return h.idle / time.Duration(max(h.requests, 1)) }

// timeToEnd returns the time that the rest of the message takes at its speed so far.
func (h *holder) timeToEnd() float64 {
	return float64(h.missing) * max(h.age.Seconds(), time.Millisecond.Seconds()) / float64(max(h.moved, 1))
}

// compareWithinRank orders two holders of the same rank: those first that are the least
// likely to get on.
func compareWithinRank(r rank, x, y *holder) int {
	switch r {
	case rankArriving:
		// The least complete and slowest first, and of those that are complete the largest.
		return cmp.Or(cmp.Compare(y.timeToEnd(), x.timeToEnd()), cmp.Compare(y.held, x.held))
	case rankAbandoned, rankKept:
		return cmp.Compare(y.idlePerRequest(), x.idlePerRequest())
	case rankNew:
		return cmp.Compare(x.idle, y.idle) // the newest first
	default:
		return cmp.Compare(y.idle, x.idle)
	}
}

// compareHolders orders holders by who gives way first. Holders of an address that has more
// than its fair share come first, so that many connections of one caller do not displace the
// few of another.
func compareHolders(x, y *holder, xOverShare, yOverShare bool) int {
	rx, ry := x.rank(), y.rank()
	return cmp.Or(
		compareBool(xOverShare, yOverShare),
		cmp.Compare(rx, ry),
		compareWithinRank(rx, x, y),
	)
}

// victims returns the indices of the holders that have to be turned away so that need
// bytes are given back, in their order. It returns all that may be turned away if they
// hold less.
func victims(holders []holder, need, fairShare int64) []int {
	byAddress := make(map[string]int64)
	var candidates []int
	for i := range holders {
		byAddress[holders[i].address] += holders[i].held
		if h := &holders[i]; h.held > 0 && h.mayBeTurnedAway() && !h.hasJustBegun() {
			candidates = append(candidates, i)
		}
	}
	slices.SortFunc(candidates, func(a, b int) int {
		x, y := &holders[a], &holders[b]
		return cmp.Or(compareHolders(x, y, byAddress[x.address] > fairShare, byAddress[y.address] > fairShare), cmp.Compare(a, b))
	})
	for n, i := range candidates {
		if need <= 0 {
			return candidates[:n]
		}
		need -= holders[i].held
	}
	return candidates
}

// unfairShare is how many times its fair share of the connections an address must have to
// give way before others.
const unfairShare = 1.5

// firstVictim returns the index of the connection that gives way first when there are too
// many. All holders may be turned away.
func firstVictim(holders []holder) int {
	byAddress := make(map[string]int)
	for i := range holders {
		byAddress[holders[i].address]++
	}
	most := int(unfairShare * float64(len(holders)) / float64(len(byAddress)))
	first := 0
	for i := range holders {
		x, y := &holders[i], &holders[first]
		if compareHolders(x, y, byAddress[x.address] > most, byAddress[y.address] > most) < 0 {
			first = i
		}
	}
	return first
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
