package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

// The comparison asks how much likelier the target's responses are if its version is worse
// than if it is not. Under "not worse", a response of the target is bad as often as one of
// the old servers on the same route in the same seconds. Under "worse", a further part of
// the responses is bad. The answer is a likelihood ratio, averaged over the kinds of
// badness, its extent, its beginning and the routes that it concerns. Its mean is at most 1
// for a version that is not worse, so it exceeds x with a probability of at most 1/x, no
// matter how often it is looked at (Ville's inequality).

// kind is what makes a response bad.
type kind int

const (
	failing kind = iota
	slow
	kindCount
)

// kindRules holds what differs between the kinds.
type kindRules struct {
	// priorRate is the part of bad responses that is expected of old servers of which
	// nothing is known, and minRate the least that is assumed of them.
	priorRate, minRate float64
	// extents holds the further parts of responses that are bad at worse versions.
	extents [extentCount]float64
	// staleFactor and staleMore raise the rate of the old servers where it is not from the
	// same seconds.
	staleFactor, staleMore float64
}

const extentCount = 3

var rules = [kindCount]kindRules{
	failing: {priorRate: 0.01, minRate: 0.01, extents: [extentCount]float64{0.08, 0.25, 0.7}, staleFactor: 2, staleMore: 0.02},
	slow:    {priorRate: 1 - slowQuantile, minRate: 0.05, extents: [extentCount]float64{0.15, 0.4, 0.8}, staleFactor: 1.25, staleMore: 0.05},
}

const (
	// slowQuantile is the part of the old servers' successes that are not slow.
	slowQuantile = 0.8
	// slowFactor and farLatency say how much slower the target may be: by load that is not
	// quite alike, and by the way to servers of another zone. staleSlowFactor takes the
	// place of the former where the old servers' latencies are not from the same seconds.
	slowFactor      = 1.2
	staleSlowFactor = 1.7
	farLatency      = 10 * time.Millisecond
	// minTimed is the number of successes of old servers without which nothing is known of
	// a route's latency.
	minTimed = 5

	// minReference is the number of responses of old servers with which the target's are
	// compared. nearSlots is how far before and after they lie, and maxReferenceSlots how
	// far they may lie if there are fewer.
	minReference      = 20
	nearSlots         = 1
	maxReferenceSlots = 8
	// minOldPart is the number of responses of the old servers for each of the target
	// below which the former are stale.
	minOldPart = 0.25
	// priorResponses is the weight of the rate that is expected of the old servers, and
	// maxWeight the largest weight of the rate that was seen, in responses. The rate of
	// the target's servers differs from that of the old ones by chance as if it was
	// estimated from so many responses.
	priorResponses = 4.0
	priorCount     = 50.0
	maxWeight      = 200.0
	staleMaxWeight = 40.0
	// serverFaultWeight is how much likelier it is that the servers of one fold are worse
	// than that their version is.
	serverFaultWeight = 0.25
	// maxLogRatio keeps ratios within the range of numbers.
	maxLogRatio = 300.0
)

// trials counts responses of which some are bad.
type trials struct{ all, bad float64 }

// cell holds one kind of responses of one route in one slot: what the target did, by fold,
// and how often a response is expected to be bad.
type cell struct {
	target [folds]trials
	rate   float64
	// weight is the number of responses that the rate is based on.
	weight float64
}

// comparison holds the cells of all routes for one kind, by route and slot.
type comparison struct {
	kind   kind
	routes [][]cell
}

// compare returns the comparison of each kind.
func (e *evidence) compare() (out [kindCount]comparison) {
	for k := range kindCount {
		out[k].kind = k
	}
	for _, route := range slices.Sorted(maps.Keys(e.routes)) {
		for k, cells := range compareRoute(e.routes[route]) {
			out[k].routes = append(out[k].routes, cells)
		}
	}
	return out
}

// compareRoute returns the cells of a route for each kind.
func compareRoute(slots []slot) (cells [kindCount][]cell) {
	var total counts
	for i := range slots {
		total.merge(&slots[i].old)
	}
	for k := range kindCount {
		cells[k] = make([]cell, len(slots))
	}
	for i := range slots {
		if slots[i].targetResponses() == 0 {
			continue
		}
		r := referenceOf(slots, i)
		for k := range kindCount {
			cells[k][i] = newCell(k, &slots[i], &r, &total)
		}
	}
	return cells
}

// reference is the responses of old servers with which those of the target in a slot are
// compared.
type reference struct {
	counts
	// stale is true if the old servers sent hardly any responses in the same seconds.
	stale bool
	// slowAbove is the class of latency above which a success is slow.
	slowAbove int
}

// referenceOf returns the reference of a slot: its own responses, and those before and
// after it as far as they are needed.
func referenceOf(slots []slot, at int) (r reference) {
	oldNear, targetNear := 0.0, 0.0
	for d := 0; d <= maxReferenceSlots; d++ {
		enough := r.responses >= minReference
		if enough && d > nearSlots {
			break
		}
		for i := at - d; i <= at+d; i += max(2*d, 1) {
			if i < 0 || i >= len(slots) {
				continue
			}
			if d <= nearSlots {
				oldNear += slots[i].old.responses
				targetNear += slots[i].targetResponses()
			}
			if !enough {
				r.merge(&slots[i].old)
			}
		}
	}
	r.stale = oldNear < minOldPart*targetNear
	r.slowAbove = r.quantile(slowQuantile)
	return r
}

// targetSlowAbove returns the class of latency above which a success of the target is slow.
func (r *reference) targetSlowAbove() int {
	factor := slowFactor
	if r.stale {
		factor = staleSlowFactor
	}
	limit := Class(r.slowAbove).maxLatency().Seconds() * factor
	return SuccessClass(time.Duration(limit*float64(time.Second)) + farLatency).latencyClass()
}

// newCell returns the cell of a slot.
func newCell(k kind, s *slot, r *reference, total *counts) (c cell) {
	if k == slow && r.timed() < minTimed {
		return cell{}
	}
	for f := range s.target {
		c.target[f] = trialsOf(k, &s.target[f], r.targetSlowAbove())
	}
	rule := rules[k]
	seen, all := trialsOf(k, &r.counts, r.slowAbove), trialsOf(k, total, r.slowAbove)
	expected := (all.bad + priorCount*rule.priorRate) / (all.all + priorCount)
	c.weight = min(seen.all+priorResponses, maxWeight)
	c.rate = (seen.bad + priorResponses*expected) / (seen.all + priorResponses)
	if r.stale {
		c.rate = c.rate*rule.staleFactor + rule.staleMore
		c.weight = min(c.weight, staleMaxWeight)
	}
	c.rate = min(max(c.rate, rule.minRate), 1-rule.minRate)
	return c
}

// trialsOf returns the responses of a kind. Slow successes are those above the class of
// latency.
func trialsOf(k kind, c *counts, threshold int) trials {
	if k == failing || c.responses == 0 {
		return trials{all: c.responses, bad: c.failures}
	}
	return trials{all: c.timed(), bad: c.above(threshold)}
}

// allFolds stands for the responses of all folds.
const allFolds = -1

// of returns the target's responses in the cell, of one fold or all.
func (c *cell) of(fold int) (sum trials) {
	if fold != allFolds {
		return c.target[fold]
	}
	for _, t := range c.target {
		sum.all += t.all
		sum.bad += t.bad
	}
	return sum
}

// target returns the target's responses, of one fold or all, and how many bad ones were
// expected.
func (c comparison) target(fold int) (sum trials, expected float64) {
	for _, cells := range c.routes {
		for i := range cells {
			t := cells[i].of(fold)
			sum.all += t.all
			sum.bad += t.bad
			expected += t.all * cells[i].rate
		}
	}
	return sum, expected
}

// finding is what a comparison found.
type finding struct {
	// ratio is the evidence that the version is worse, ratioAll that it is or that the
	// servers of a fold are.
	ratio, ratioAll float64
	// worst is the fold that is most likely worse alone, or allFolds if no fold is.
	worst int
	// worstRatio is the evidence that its servers are worse.
	worstRatio float64
}

// find weighs the version against the servers of a single fold. A server may be in trouble
// that its version has nothing to do with, so that the version counts as worse only as far
// as this explains the responses better than one worse fold does. With a single server of
// the version, there is nothing to tell them apart.
func (c comparison) find(singleServer bool) finding {
	f := finding{ratioAll: c.ratio(allFolds), worst: allFolds}
	f.ratio = f.ratioAll
	if singleServer || f.ratioAll < shiftEvidence {
		return f
	}
	sum, responding := 0.0, 0.0
	for fold := range folds {
		if responses, _ := c.target(fold); responses.all == 0 {
			continue
		}
		ratio := c.ratio(fold)
		sum += ratio
		responding++
		if ratio > f.worstRatio {
			f.worst, f.worstRatio = fold, ratio
		}
	}
	f.ratio = f.ratioAll / (1 + serverFaultWeight*sum/responding)
	return f
}

// ratio returns the likelihood ratio of "worse" for one fold or all. Half of it is for
// versions that are worse on all routes, half for one route.
func (c comparison) ratio(fold int) float64 {
	slots := 0
	for _, cells := range c.routes {
		slots = max(slots, len(cells))
	}
	pooled := make([][extentCount]float64, slots)
	single := 0.0
	for _, cells := range c.routes {
		logs := c.logRatios(cells, fold)
		for i := range logs {
			for x := range logs[i] {
				pooled[i][x] += logs[i][x]
			}
		}
		single += overBeginnings(logs)
	}
	all := overBeginnings(pooled)
	if len(c.routes) < 2 {
		return all
	}
	return (all + single/float64(len(c.routes))) / 2
}

// logRatios returns the logarithms of a route's likelihood ratios by slot and extent.
func (c comparison) logRatios(cells []cell, fold int) [][extentCount]float64 {
	logs := make([][extentCount]float64, len(cells))
	for i := range cells {
		t := cells[i].of(fold)
		if t.all == 0 {
			continue
		}
		null := cells[i].logLikelihood(t, cells[i].rate)
		for x, extent := range rules[c.kind].extents {
			worse := cells[i].rate + extent*(1-cells[i].rate)
			logs[i][x] = cells[i].logLikelihood(t, worse) - null
		}
	}
	return logs
}

// logLikelihood returns the logarithm of the likelihood of the responses at a rate of bad
// ones that is known as well as if it was estimated from weight responses (beta-binomial),
// up to a term that does not depend on the rate.
func (c *cell) logLikelihood(t trials, rate float64) float64 {
	a, b := rate*c.weight, (1-rate)*c.weight
	return logGamma(t.bad+a) - logGamma(a) + logGamma(t.all-t.bad+b) - logGamma(b)
}

func logGamma(x float64) float64 {
	v, _ := math.Lgamma(x)
	return v
}

// overBeginnings averages likelihood ratios over the slot in which a version turned worse
// and over the extents. Half of the weight is on the first slot.
func overBeginnings(logs [][extentCount]float64) float64 {
	first := 0
	for first < len(logs) && logs[first] == [extentCount]float64{} {
		first++
	}
	logs = logs[first:]
	if len(logs) == 0 {
		return 1
	}
	atOnce, later := 0.0, 0.0
	for x := 0; x < extentCount; x++ {
		sum := 0.0
		for i := len(logs) - 1; i >= 0; i-- {
			sum += logs[i][x]
			later += math.Exp(min(sum, maxLogRatio))
		}
		atOnce += math.Exp(min(sum, maxLogRatio))
	}
	return (atOnce + later/float64(len(logs))) / (2 * extentCount)
}
