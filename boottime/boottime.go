// Package boottime reads a monotonic clock that also runs while the VM is
// suspended (CLOCK_BOOTTIME of Linux). The age of replicated state is measured
// with it. The monotonic clock of time.Now stops while a VM is suspended, so
// stale state would look fresh after the VM resumes.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted, including the time it was suspended.
// It panics if the clock is not available.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since version 2.6.39, so the call does not fail.
		panic("boottime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
