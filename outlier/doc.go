// Package outlier detects the backend servers of a service that fail or are slow
// compared with the service's other servers. The service's home VM decides which
// of them to eject. The floor, a minimum share of the service's slots that stays
// healthy, limits ejections.
//
// The owner VM of a server reports its counts and latencies to the home every half
// second. The Detector compares each server with the others. It compares truncated
// responses and errors by the upper tail of the binomial distribution (which
// equals a quantile of the beta distribution). It compares latencies by the share
// of requests that took several times the others' median. Each comparison takes
// the others' share over the same period as the expected share, so a service that
// is slow or failing as a whole has no outliers.
//
// An ejection is a grant for a few seconds, and each report renews it. The home
// counts a server as healthy only after a fresh report from its owner that says
// so. A new home therefore ejects no server until enough owners have reported. It
// also learns from these reports what a former home granted.
//
// The package also contains the quarantine, which rejects requests that crash
// servers.
package outlier
