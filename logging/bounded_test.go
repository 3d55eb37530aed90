package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blockedWriter blocks until it is released, like a pipe that nobody reads.
type blockedWriter struct {
	mu      sync.Mutex
	out     bytes.Buffer
	release chan struct{}
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(b)
}

// Guards against a request waiting for an output that nobody reads, and against
// lines that vanish without being counted.
func TestBoundedNeverBlocksAndCountsWhatItLeavesOut(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	b := NewBounded(out, 10*queuedLines)
	for range 3 * queuedLines {
		if _, err := b.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(out.release)
	b.Close()
	if !strings.Contains(out.out.String(), `"dropped":`) {
		t.Error("the dropped lines are not reported")
	}
	if n := strings.Count(out.out.String(), "line\n"); n < queuedLines {
		t.Errorf("%d lines were written, want at least %d", n, queuedLines)
	}
}
