// Package wallclock makes times whose time of day has been set while the monotonic clock
// went on, as time.Now returns them after a step of the system's clock. The standard
// library has no way to construct them.
package wallclock

import (
	"time"
	"unsafe"
)

// secondsShift is the position of the whole seconds in the first word of a time.Time that
// has a monotonic reading.
const secondsShift = 30

// Step returns t with its time of day changed by so many seconds and the same monotonic
// reading. t must come from time.Now, or from a time that does.
func Step(t time.Time, seconds int64) time.Time {
	word := (*uint64)(unsafe.Pointer(&t))
	*word += uint64(seconds) << secondsShift
	return t
}
