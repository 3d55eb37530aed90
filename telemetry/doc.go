// Package telemetry counts results and decisions and keeps latency histograms
// per team and per service, in a go-metrics registry that the operators'
// listener serves.
//
// Memory is bounded: histograms keep small samples, and the metrics of teams without
// recent requests are deleted. With the sample of 1,028 values that go-metrics
// recommends, the histograms of 11,000 teams would take 90 MB.
package telemetry
