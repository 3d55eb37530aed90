// Package load makes seeded timetables of calls and sends them to the fleet on
// time, whether or not earlier calls have been answered (an open loop). Latency
// counts from the intended time, so a stalled fleet cannot hide its stalls by
// slowing the callers down (coordinated omission).
package load
