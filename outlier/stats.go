package outlier

import (
	"math"
	"slices"
)

// binomialTail returns the probability of at least k hits in n trials, where each
// trial hits with probability p. It equals the beta distribution function
// I_p(k, n-k+1), so comparing it with a significance level is the beta-quantile
// test.
func binomialTail(n, k int, p float64) float64 {
	switch {
	case k <= 0:
		return 1
	case k > n || p <= 0:
		return 0
	case p >= 1:
		return 1
	}
	odds := math.Log(p / (1 - p))
	term := logChoose(n, k) + float64(k)*math.Log(p) + float64(n-k)*math.Log1p(-p)
	sum := 0.0
	for i := k; i <= n; i++ {
		sum += math.Exp(term)
		term += math.Log(float64(n-i)/float64(i+1)) + odds
	}
	return min(1, sum)
}

// logChoose returns the natural logarithm of the binomial coefficient n over k.
func logChoose(n, k int) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}

// histogram maps latencies in microseconds to the number of requests.
type histogram map[int64]int64

func (h histogram) add(l []Latency) {
	for _, b := range l {
		h[b[0]] += b[1]
	}
}

func (h histogram) merge(other histogram) {
	for v, n := range other {
		h[v] += n
	}
}

func (h histogram) count() (n int64) {
	for _, c := range h {
		n += c
	}
	return n
}

// median returns the median latency in microseconds, 0 if the histogram is empty.
func (h histogram) median() float64 {
	values := make([]int64, 0, len(h))
	for v := range h {
		values = append(values, v)
	}
	slices.Sort(values)
	half := (h.count() + 1) / 2
	for _, v := range values {
		if half -= h[v]; half <= 0 {
			return float64(v)
		}
	}
	return 0
}

// countAbove returns the number of latencies above a threshold in microseconds.
func (h histogram) countAbove(threshold float64) (n int64) {
	for v, c := range h {
		if float64(v) > threshold {
			n += c
		}
	}
	return n
}

// upperMedian returns the median of values, for an even number of them the upper of
// the two middle ones, and 0 for none. It sorts values.
func upperMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
