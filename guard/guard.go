package guard

import (
	"runtime/debug"
	"sync"
	"time"

	"almondstile/logging"
	"almondstile/shard"

	"github.com/sirupsen/logrus"
)

const (
	// maxTaskPanics is the number of panics of a task within panicWindow after which
	// the process counts as failed.
	maxTaskPanics = 20
	panicWindow   = 10 * time.Second
	// maxStackBytes bounds the stack in a log line.
	maxStackBytes = 4 << 10
)

// Observer counts panics. Its method must not block.
type Observer interface {
	// Count counts one event by its name.
	Count(event string)
}

// Guard recovers from panics, logs and counts them. It is safe for concurrent use. A nil
// Guard recovers too; it logs to the standard logger and counts nothing.
type Guard struct {
	log      logging.Logger
	observer Observer
	tasks    shard.Map[string, *taskPanics]
	fail     sync.Once
	failed   chan struct{}
}

// taskPanics counts the panics of one task since the start of a window.
type taskPanics struct {
	since time.Time
	count int
}

// New returns a guard. The observer may be nil.
func New(log logging.Logger, observer Observer) *Guard {
	return &Guard{log: log, observer: observer, failed: make(chan struct{})}
}

// Failed returns a channel that is closed when a task has panicked maxTaskPanics times
// within panicWindow.
func (g *Guard) Failed() <-chan struct{} { return g.failed }

// Handle calls fn, which handles one input of the named part from outside, and reports
// whether fn panicked. id identifies the input in the log, and may be empty.
func (g *Guard) Handle(part, id string, fn func()) (panicked bool) {
	defer func() {
		if value := recover(); value != nil {
			panicked = true
			g.record(part, id, value)
		}
	}()
	fn()
	return false
}

// Task calls fn, one round of the named periodic task.
func (g *Guard) Task(name string, fn func()) {
	if g.Handle(name, "", fn) && g != nil {
		g.countTaskPanic(time.Now(), name)
	}
}

// record logs and counts a panic.
func (g *Guard) record(part, id string, value any) {
	log := logrus.NewEntry(logrus.StandardLogger())
	if g != nil {
		log = g.log
	}
	stack := debug.Stack()
	log.WithField("in", part).WithField("id", id).WithField("panic", value).
		WithField("stack", string(stack[:min(len(stack), maxStackBytes)])).Error("Recovered from a panic.")
	if g != nil && g.observer != nil {
		g.observer.Count("panic_" + part)
	}
}

// countTaskPanic counts a panic of a task and closes Failed if there were too many.
func (g *Guard) countTaskPanic(now time.Time, name string) {
	tooMany := false
	g.tasks.Do(name, func() *taskPanics { return &taskPanics{since: now} }, func(p *taskPanics) {
		if now.Sub(p.since) > panicWindow {
			*p = taskPanics{since: now}
		}
		p.count++
		tooMany = p.count >= maxTaskPanics
	})
	if tooMany {
		g.fail.Do(func() {
			g.log.WithField("in", name).Error("A task panics again and again. The process stops.")
			close(g.failed)
		})
	}
}
