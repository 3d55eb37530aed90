package memory

import "runtime/debug"

// The memory of a process is the sum of
//   - programBytes, which the Go runtime does not count,
//   - the process's own state, such as its copy of the configuration,
//   - the budget, which covers all that is held for callers,
//   - idle connections to servers and other VMs,
//   - garbage, and what is allocated while the runtime collects it.
//
// The limit of the runtime leaves room for the last two.
const (
	// programBytes is the program's own pages.
	programBytes = 24_000_000
	// budgetShare is the part of a process's memory that its budget may be.
	budgetShare = 0.45
	// runtimeShare is the part of the memory without programBytes at which the Go runtime
	// collects garbage at the latest. The rest is for what is allocated meanwhile.
	runtimeShare = 0.9
	// connectionShare is the part of a process's memory that connections without requests
	// may take. The budget counts it, too.
	connectionShare = 0.25
	// idleShare is the part of a process's memory that the buffers of a pool's idle
	// connections to servers or VMs may take. It is not in the budget.
	idleShare = 0.04
	// DefaultProcessBytes is the memory of a process whose settings name none.
	DefaultProcessBytes = 512_000_000
)

// What callers take beside the bytes of bodies and answers.
const (
	// stackBytes is what a connection takes beside its read buffer: the stack of its
	// goroutine, its write buffer, and the fields of a small head.
	stackBytes = 16 << 10
	// freeHeadBytes is the size of a head that stackBytes covers.
	freeHeadBytes = 1 << 10
	// keptHeadCopies is how many copies of the largest head so far a connection keeps in the
	// buffers of the HTTP library, until it closes.
	keptHeadCopies = 3
	// requestBytes is what a request in service takes beside its answer: goroutines, the
	// buffers of a connection to a server, and the fields of a small head.
	requestBytes = 48 << 10
	// servedHeadCopies is how many copies of its head a request in service takes.
	servedHeadCopies = 5
)

// BudgetBytes returns the budget of a process that may use the given memory.
func BudgetBytes(process int64) int64 { return int64(budgetShare * float64(process)) }

// ConnectionBytes returns what a connection takes that has a read buffer of the given size.
func ConnectionBytes(readBufferBytes int) int64 { return int64(readBufferBytes) + stackBytes }

// HeadBytes returns what a connection takes beyond ConnectionBytes after a head of the given
// size.
func HeadBytes(head int) int64 { return keptHeadCopies * int64(max(0, head-freeHeadBytes)) }

// RequestBytes returns what a request in service with a head of the given size takes, beside
// its answer.
func RequestBytes(head int) int64 { return requestBytes + servedHeadCopies*int64(head) }

// MaxConnections returns how many connections of callers a process bears that may use the
// given memory, if each has a read buffer of the given size.
func MaxConnections(process int64, readBufferBytes int) int {
	return max(1, int(connectionShare*float64(process)/float64(ConnectionBytes(readBufferBytes))))
}

// MaxIdleConnections returns how many idle connections a pool may keep in a process that may
// use the given memory, if each has buffers of the given size.
func MaxIdleConnections(process int64, bufferBytes int) int {
	return max(1, int(idleShare*float64(process)/float64(bufferBytes)))
}

// LimitRuntime makes the Go runtime collect garbage in time to stay within the memory of
// the process. A lower limit that is in force stays.
func LimitRuntime(process int64) {
	limit := int64(runtimeShare * float64(max(process-programBytes, process/2)))
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
