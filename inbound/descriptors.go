package inbound

import (
	"math"
	"syscall"
)

const (
	// callerDescriptorShare is the share of the descriptors that callers' connections may
	// use. Each of them may have a request in service, which uses a connection to a server
	// or to another VM. The others are for further connections of the process, and files.
	callerDescriptorShare = 0.4
	// defaultMaxDescriptors applies if the system does not say how many are allowed.
	defaultMaxDescriptors = 1024
)

// MaxConnections returns how many connections of callers a process may have open that may
// use the given number of descriptors, or as many as the system allows if that is 0 or less.
func MaxConnections(descriptors int) int {
	limit := defaultMaxDescriptors
	var rlimit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &rlimit) == nil {
		limit = int(min(rlimit.Cur, math.MaxInt32))
	}
	if descriptors > 0 {
		limit = min(limit, descriptors)
	}
	return max(1, int(callerDescriptorShare*float64(limit)))
}
