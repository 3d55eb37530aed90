// Package boottime reads a steady clock that also counts the time during which
// the VM was suspended. Ages of knowledge are measured with it: the clock behind
// time.Now stands still while a VM is suspended, and stale knowledge would look
// fresh after it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was booted.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had the clock since 2.6.39, so this cannot happen there.
		panic("boottime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
