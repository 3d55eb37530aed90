package gossip

import (
	"context"
	"fmt"
	"math"
	"sync/atomic"
	"testing"
	"time"

	"almondstile/boottime"
	"almondstile/catalog"
	"almondstile/standin/rawserver"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Guards against a VM that pulls without end from another one that announces newer copies
// than it hands out. Both eras of the store's history are known to some VMs after the store
// went back, and any VM may announce what it does not have.
func TestPullsThatBringNothingAreFollowedByAPause(t *testing.T) {
	body, err := encode(pullResponse{Tables: []catalog.Delta{{}, {}}})
	if err != nil {
		t.Fatal(err)
	}
	response := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	var pulls atomic.Int64
	server, err := rawserver.Start(func(*fasthttp.Request) []byte {
		pulls.Add(1)
		return response
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	node, others := newNonRelay(t, time.Now(), server.Address())
	for _, table := range node.deps.Catalog.Tables() {
		node.deps.Catalog.Apply(table, node.deps.Catalog.BeginCall(table), catalog.Changes{FullTable: true, Version: 5, AsOf: boottime.Now()})
	}
	m := message{Sender: toMember(others[0]), Tables: []tableVersion{{Version: math.MaxInt32}, {Version: math.MaxInt32}}}
	var wg conc.WaitGroup
	const duration, interval = time.Second, 2 * time.Millisecond
	for range duration / interval {
		node.handleMessage(context.Background(), &wg, m)
		time.Sleep(interval)
	}
	wg.Wait()
	// As many as there are regular messages of the other VM.
	if bound := int64(duration / sendInterval); pulls.Load() > bound {
		t.Errorf("%d pulls in %s, want at most %d", pulls.Load(), duration, bound)
	}
}

// Guards against a pause of its full length after a single pull that failed, because of
// pulls that brought nothing long ago.
func TestPullDelayOfLongAgoIsForgotten(t *testing.T) {
	var p pullPace
	now := time.Now()
	for range 5 {
		p.record(now, "vm-1", false)
	}
	now = now.Add(time.Hour)
	p.record(now, "vm-1", false) // one answer was lost
	if !p.allows(now.Add(initialPullDelay), "vm-1") {
		t.Error("the VM is not asked again after the initial delay")
	}
}
