package gossip

import (
	"context"
	"testing"
	"time"

	"almondstile/boottime"
	"almondstile/catalog"
	"almondstile/fleet"
	"almondstile/vm"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// newTablesNode returns a node with copies of its tables at version 5, with or without
// those of roll-outs.
func newTablesNode(t *testing.T, id vm.ID, rollouts bool) *Node {
	t.Helper()
	now := time.Now()
	n := listenNode(t, now, fleet.NewRoster(now, vm.VM{ID: id, Zone: "zone-a", Incarnation: "1", ControlAddress: "127.0.0.1:0"}))
	n.deps.Catalog.Rollouts = rollouts
	for _, table := range n.deps.Catalog.Tables() {
		n.deps.Catalog.Apply(table, n.deps.Catalog.BeginCall(table), catalog.Changes{FullTable: true, Version: 5, AsOf: boottime.Now()})
	}
	return n
}

// pulledTables returns the number of tables in the response to a pull.
func pulledTables(t *testing.T, n *Node, query string) int {
	t.Helper()
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI(copiesPath + "?" + query)
	n.handlePull(&ctx)
	if ctx.Response.StatusCode() != fasthttp.StatusOK {
		t.Fatalf("a pull with %s got status %d", query, ctx.Response.StatusCode())
	}
	var response pullResponse
	if err := decode(ctx.Response.Body(), &response); err != nil {
		t.Fatal(err)
	}
	return len(response.Tables)
}

// Guards against VMs that do not understand each other while the settings of some have
// roll-outs and those of others do not, and against messages that grow where none have.
func TestTablesOfRolloutsAreOptional(t *testing.T) {
	with, without := newTablesNode(t, "vm-1", true), newTablesNode(t, "vm-2", false)
	const twoTables, threeTables = "operator=1&servers=1", "operator=1&servers=1&rollouts=1"
	for _, c := range []struct {
		node  *Node
		query string
		want  int
	}{{with, twoTables, 2}, {with, threeTables, 3}, {without, twoTables, 2}, {without, threeTables, 2}} {
		if got := pulledTables(t, c.node, c.query); got != c.want {
			t.Errorf("a pull with %s brings %d tables, want %d", c.query, got, c.want)
		}
	}
	now := time.Now()
	if a, b := len(with.buildMessage(now).Tables), len(without.buildMessage(now).Tables); a != 3 || b != 2 {
		t.Errorf("messages hold the versions of %d and %d tables, want 3 and 2", a, b)
	}
	var wg conc.WaitGroup
	with.handleMessage(context.Background(), &wg, without.buildMessage(now))
	without.handleMessage(context.Background(), &wg, with.buildMessage(now))
	wg.Wait()
}
