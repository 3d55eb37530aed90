package logging

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// queuedLines is the number of lines that wait for a slow output. Further
	// ones are dropped and counted.
	queuedLines = 2048
	// droppedInterval is how often the number of dropped lines is written.
	droppedInterval = 1 * time.Second
)

// Bounded is a writer of log lines that never blocks its callers. It writes at
// most a number of lines a second and says how many it left out.
type Bounded struct {
	out       io.Writer
	perSecond int
	lines     chan []byte
	done      conc.WaitGroup

	mu      sync.Mutex
	closed  bool
	second  int64
	written int
	dropped int
}

// NewBounded returns a writer to out. Close ends it.
func NewBounded(out io.Writer, perSecond int) *Bounded {
	b := &Bounded{out: out, perSecond: perSecond, lines: make(chan []byte, queuedLines)}
	b.done.Go(b.run)
	return b
}

// Write queues a line. It always reports success.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now().Unix(); now != b.second {
		b.second, b.written = now, 0
	}
	if b.closed || b.written >= b.perSecond {
		b.dropped++
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
		b.written++
	default:
		b.dropped++
	}
	return len(line), nil
}

// Close writes what is queued and ends the writer.
func (b *Bounded) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	b.done.Wait()
}

func (b *Bounded) run() {
	ticker := time.NewTicker(droppedInterval)
	defer ticker.Stop()
	for {
		select {
		case line, ok := <-b.lines:
			if !ok {
				b.reportDropped()
				return
			}
			// Nothing can be done about an output that fails.
			_, _ = b.out.Write(line)
		case <-ticker.C:
			b.reportDropped()
		}
	}
}

func (b *Bounded) reportDropped() {
	b.mu.Lock()
	dropped := b.dropped
	b.dropped = 0
	b.mu.Unlock()
	if dropped > 0 {
		_, _ = fmt.Fprintf(b.out, "{\"level\":\"warning\",\"part\":\"log\",\"msg\":\"log: Lines were left out.\",\"dropped\":%d,\"time\":%q}\n",
			dropped, time.Now().Format(time.RFC3339))
	}
}
