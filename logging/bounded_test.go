package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blockedWriter blocks until release is closed, like a full pipe that nobody reads.
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

// Guards against a request that blocks on a log line because nobody reads the log
// output. Also guards against lines that are dropped without being counted.
func TestBoundedDropsAndCountsLinesOfABlockedOutput(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	b := NewBounded(out, 10*maxQueuedLines)
	for range 3 * maxQueuedLines {
		if _, err := b.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(out.release)
	b.Close()
	if !strings.Contains(out.out.String(), `"dropped":`) {
		t.Error("the number of dropped lines was not reported")
	}
	if n := strings.Count(out.out.String(), "line\n"); n < maxQueuedLines {
		t.Errorf("%d lines were written, want at least %d", n, maxQueuedLines)
	}
}

// Guards against memory that grows with the length of lines, which may contain what callers
// send, such as the ID of a request.
func TestBoundedHoldsFewBytesOfABlockedOutput(t *testing.T) {
	const lineBytes = 30 << 10
	out := &blockedWriter{release: make(chan struct{})}
	b := NewBounded(out, 10*maxQueuedLines)
	line := []byte(strings.Repeat("x", lineBytes-1) + "\n")
	for range maxQueuedLines {
		if _, err := b.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	close(out.release)
	b.Close()
	if n := out.out.Len(); n > maxQueuedBytes+lineBytes {
		t.Errorf("%d bytes were held, want at most %d", n, maxQueuedBytes)
	}
	if !strings.Contains(out.out.String(), `"dropped":`) {
		t.Error("the number of dropped lines was not reported")
	}
}
