package memory

import "runtime/debug"

const (
	// budgetShare is the part of a process's memory that its budget may be. The rest is for
	// the process itself, its connections' buffers and the garbage collector.
	budgetShare = 0.45
	// runtimeShare is the part of a process's memory at which the Go runtime collects
	// garbage at the latest. The rest is for what the runtime does not count, such as the
	// program's own pages.
	runtimeShare = 0.7
	// connectionShare is the part of a process's memory that the buffers of idle
	// connections may take.
	connectionShare = 0.25
	// stackBytes is what a connection takes beside its read buffer: the stack of its
	// goroutine, its write buffer, and the fields of its last request.
	stackBytes = 16 << 10
	// DefaultProcessBytes is the memory of a process whose settings name none.
	DefaultProcessBytes = 512_000_000
)

// BudgetBytes returns the budget of a process that may use the given memory.
func BudgetBytes(process int64) int64 { return int64(budgetShare * float64(process)) }

// MaxConnections returns how many connections of callers a process bears that may use the
// given memory, if each has a read buffer of the given size.
func MaxConnections(process int64, readBufferBytes int) int {
	return max(1, int(connectionShare*float64(process)/float64(readBufferBytes+stackBytes)))
}

// LimitRuntime makes the Go runtime collect garbage in time to stay within the memory of
// the process. A lower limit that is in force stays.
func LimitRuntime(process int64) {
	limit := int64(runtimeShare * float64(process))
	if inForce := debug.SetMemoryLimit(-1); limit < inForce {
		debug.SetMemoryLimit(limit)
	}
}

// ReturnUnused returns memory to the system if much of the budget was given back since the
// last time. It collects garbage, so it is for a background task.
func (b *Budget) ReturnUnused() {
	if b.reclaim() {
		debug.FreeOSMemory()
	}
}

// Gauges keeps gauges by name.
type Gauges interface {
	Gauge(name string, value int64)
}

// SetGauges sets the gauges of the budget.
func (b *Budget) SetGauges(g Gauges) {
	g.Gauge("memory.budget_bytes", b.Total())
	g.Gauge("memory.used_bytes", b.Used())
	g.Gauge("memory.holders", int64(b.Holders()))
}
