package logging

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// maxQueuedLines is the maximum number of lines that wait for a slow output.
	// Further lines are dropped and counted.
	maxQueuedLines = 2048
	// maxQueuedBytes is the maximum size of these lines together.
	maxQueuedBytes = 1 << 20
	// droppedReportInterval is the time between two lines that report the number of
	// dropped lines.
	droppedReportInterval = 1 * time.Second
)

// BoundedWriter is a writer of log lines that never blocks its callers. It writes at most
// a given number of lines a second. It drops further lines, and reports their number
// in a line of its own.
type BoundedWriter struct {
	output            io.Writer
	maxLinesPerSecond int
	lines             chan []byte
	writerDone        conc.WaitGroup

	mu                 sync.Mutex
	closed             bool
	currentSecond      int64
	acceptedThisSecond int
	queuedBytes        int
	dropped            int
}

// NewBounded returns a writer that writes at most perSecond lines a second to out.
// It starts a goroutine, which Close stops.
func NewBounded(out io.Writer, perSecond int) *BoundedWriter {
	b := &BoundedWriter{output: out, maxLinesPerSecond: perSecond, lines: make(chan []byte, maxQueuedLines)}
	b.writerDone.Go(b.writeQueued)
	return b
}

// Write queues a line or drops it. It reports success in both cases.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now().Unix(); now != b.currentSecond {
		b.currentSecond, b.acceptedThisSecond = now, 0
	}
	if b.closed || b.acceptedThisSecond >= b.maxLinesPerSecond || b.queuedBytes+len(line) > maxQueuedBytes {
		b.dropped++
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
		b.acceptedThisSecond++
		b.queuedBytes += len(line)
	default:
		b.dropped++
	}
	return len(line), nil
}

// Close waits until the queued lines are written and stops the writer. Lines that
// are written later are dropped.
func (b *BoundedWriter) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	b.writerDone.Wait()
}

// writeQueued writes queued lines to the output, and at intervals the number of
// dropped lines, until Close.
func (b *BoundedWriter) writeQueued() {
	ticker := time.NewTicker(droppedReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line, ok := <-b.lines:
			if !ok {
				b.reportDropped()
				return
			}
			// A failed write is ignored, because there is no other place to report it.
			_, _ = b.output.Write(line)
			b.written(len(line))
		case <-ticker.C:
			b.reportDropped()
		}
	}
}

// written records that a queued line of the given size has been written.
func (b *BoundedWriter) written(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queuedBytes -= n
}

// reportDropped writes the number of lines that were dropped since its last call, if
// there are any.
func (b *BoundedWriter) reportDropped() {
	b.mu.Lock()
	dropped := b.dropped
	b.dropped = 0
	b.mu.Unlock()
	if dropped > 0 {
		_, _ = fmt.Fprintf(b.output, "{\"level\":\"warning\",\"part\":\"log\",\"msg\":\"log: Lines were left out.\",\"dropped\":%d,\"time\":%q}\n",
			dropped, time.Now().Format(time.RFC3339))
	}
}
