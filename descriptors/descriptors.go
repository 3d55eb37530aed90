package descriptors

import (
	"math"
	"syscall"
)

const (
	// callerShare is the share that callers' connections may use. Each of them may have a
	// request in service, which uses a connection to a server or to another VM.
	callerShare = 0.4
	// idleShare is the share that idle connections of a pool to servers or VMs may use.
	idleShare = 0.1
	// defaultLimit applies if the system does not say how many are allowed.
	defaultLimit = 1024
)

// Limit returns how many descriptors the process may use: the given number, or as many as
// the system allows if that is less or the number is 0.
func Limit(stated int) int {
	limit := defaultLimit
	var rlimit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &rlimit) == nil {
		limit = int(min(rlimit.Cur, math.MaxInt32))
	}
	if stated > 0 {
		limit = min(limit, stated)
	}
	return limit
}

// ForCallers returns how many connections of callers a process may have open that may use
// limit descriptors.
func ForCallers(limit int) int { return max(1, int(callerShare*float64(limit))) }

// ForIdleConnections returns how many idle connections a pool may keep in a process that may
// use limit descriptors.
func ForIdleConnections(limit int) int { return max(1, int(idleShare*float64(limit))) }
