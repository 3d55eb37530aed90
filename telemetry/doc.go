// Package telemetry counts results and decisions and keeps latency histograms
// per team and per service, in a go-metrics registry that the operators'
// listener serves.
//
// Memory is bounded: samples are small and the histograms of teams that were
// not active for a while are dropped. 11,000 teams with go-metrics' usual sample
// of 1,028 values would take 90 MB.
package telemetry
