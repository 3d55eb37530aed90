package gossip

import (
	"context"
	"fmt"
	"testing"
	"time"

	"almondstile/boottime"
	"almondstile/catalog"
	"almondstile/history"
	"almondstile/standin/rawserver"

	"github.com/valyala/fasthttp"
)

// Guards against copies that look old because a pull brings the store's time from a VM of an
// earlier era. Messages of such VMs don't count, the responses to pulls do.
func TestPullFromAVMOfAnEarlierEraKeepsTheStoresClock(t *testing.T) {
	const before = 1000 * time.Second // by which the store's clock went back
	body, err := encode(pullResponse{Tables: []catalog.Delta{
		{Position: history.Position{Version: 50}}, {Position: history.Position{Version: 50}},
	}, StoreMillis: toMillis(boottime.Now() + before), StoreHops: 0})
	if err != nil {
		t.Fatal(err)
	}
	response := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	server, err := rawserver.Start(func(*fasthttp.Request) []byte { return response })
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	node, _ := newNonRelay(t, time.Now(), server.Address())
	c := node.deps.Catalog
	for _, table := range c.Tables() {
		c.Merge(table, catalog.Delta{FullTable: true, Position: history.Position{Era: history.Era{Found: 1}, Version: 10}, AsOf: boottime.Now()})
	}
	c.StoreClock.Restart(history.Era{Found: 1}, boottime.Now(), boottime.Now(), 1)
	if err := node.pull(context.Background(), server.Address(), false); err != nil {
		t.Fatal(err)
	}
	if age := c.Age(catalog.OperatorTable); age > time.Second {
		t.Errorf("after the pull the copy's age is %s", age)
	}
}
