// Package load generates timetables of calls from a seed and sends the calls to the
// fleet. It is an open loop: each call is sent at its intended time, whether or not
// earlier calls have got a response. Latency is measured from the intended time.
// Otherwise a stalled fleet would delay the callers, and the measured latencies
// would not include the stall (coordinated omission).
package load
