package rollout

import "time"

const (
	// minSlotLength is the resolution in time of the comparison of the versions, and
	// maxSlots bounds the memory of a long roll-out.
	minSlotLength = 500 * time.Millisecond
	maxSlots      = 48
	// maxRoutes is the number of routes that are compared on their own. The others are
	// compared as one.
	maxRoutes = 16
	// folds is the number of groups of target servers whose responses are counted apart, so
	// that the worst group can be left out.
	folds = 8
)

// otherRoutes is the key under which the routes beyond maxRoutes are counted.
const otherRoutes = ""

// counts counts responses.
type counts struct {
	responses, failures float64
	// latencies counts successes by latency, but for those of cold servers.
	latencies [latencyClasses]float32
}

// add counts n responses of a class.
func (c *counts) add(class Class, n float64, cold bool) {
	c.responses += n
	switch {
	case class.failed():
		c.failures += n
	case !cold:
		c.latencies[class.latencyClass()] += float32(n)
	}
}

// merge adds other counts.
func (c *counts) merge(o *counts) {
	c.responses += o.responses
	c.failures += o.failures
	for i, n := range o.latencies {
		c.latencies[i] += n
	}
}

// timed returns the number of successes with a latency.
func (c *counts) timed() (sum float64) {
	for _, n := range c.latencies {
		sum += float64(n)
	}
	return sum
}

// above returns the number of successes in a higher class of latency.
func (c *counts) above(class int) (sum float64) {
	for i := class + 1; i < latencyClasses; i++ {
		sum += float64(c.latencies[i])
	}
	return sum
}

// quantile returns the lowest class of latency such that the part q (0 to 1) of the
// successes lies in it or below.
func (c *counts) quantile(q float64) int {
	left := q * c.timed()
	for i, n := range c.latencies {
		if left -= float64(n); left <= 0 {
			return i
		}
	}
	return latencyClasses - 1
}

// slot holds the responses of a route in one period of time.
type slot struct {
	old    counts
	target [folds]counts
}

// targetResponses returns the number of responses of all target servers.
func (s *slot) targetResponses() (sum float64) {
	for f := range s.target {
		sum += s.target[f].responses
	}
	return sum
}

// evidence holds the sampled responses of an order by time, route, side and fold of target
// servers.
type evidence struct {
	slotLength time.Duration
	routes     map[string][]slot
	// foldOf holds the fold of each target server that responded, by key, and foldServers
	// the number of servers of each fold.
	foldOf      map[string]int
	foldServers [folds]int
	// successes and successSeconds are the number of successes and the sum of their
	// latencies.
	successes, successSeconds float64
}

// newEvidence returns the empty evidence of a roll-out of the duration.
func newEvidence(duration time.Duration) evidence {
	return evidence{
		slotLength: max(minSlotLength, duration/maxSlots),
		routes:     map[string][]slot{},
		foldOf:     map[string]int{},
	}
}

// record counts a sample that arrived at the time since the order.
func (e *evidence) record(elapsed time.Duration, sample Sample, cold bool) {
	latency := sample.Class.latency()
	if !sample.Class.failed() && !cold {
		e.successes += float64(sample.Count)
		e.successSeconds += float64(sample.Count) * latency.Seconds()
	}
	// Requests that were sent in the same seconds are compared.
	elapsed -= latency
	slot := e.slot(sample.Route, elapsed)
	if sample.Side == Old {
		slot.old.add(sample.Class, float64(sample.Count), cold)
		return
	}
	slot.target[e.fold(sample.Server)].add(sample.Class, float64(sample.Count), cold)
}

// slot returns the slot of a route at the time since the order. What arrives after the
// last slot counts in it.
func (e *evidence) slot(route string, elapsed time.Duration) *slot {
	slots, known := e.routes[route]
	if !known && len(e.routes) >= maxRoutes {
		route = otherRoutes
		slots = e.routes[route]
	}
	i := min(max(int(elapsed/e.slotLength), 0), maxSlots)
	for len(slots) <= i {
		slots = append(slots, slot{})
	}
	e.routes[route] = slots
	return &slots[i]
}

// fold returns the fold of a target server. A new server joins a fold with the fewest.
func (e *evidence) fold(server string) int {
	fold, ok := e.foldOf[server]
	if ok {
		return fold
	}
	for i, n := range e.foldServers {
		if n < e.foldServers[fold] {
			fold = i
		}
	}
	e.foldOf[server] = fold
	e.foldServers[fold]++
	return fold
}

// serversOf returns the keys of the servers of a fold.
func (e *evidence) serversOf(fold int) (keys []string) {
	for key, f := range e.foldOf {
		if f == fold {
			keys = append(keys, key)
		}
	}
	return keys
}

// typicalSeconds returns the mean latency of the successes of both sides in seconds, or
// 0 if there were none.
func (e *evidence) typicalSeconds() float64 {
	if e.successes == 0 {
		return 0
	}
	return e.successSeconds / e.successes
}
