package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"almondstile/fleet"
	"almondstile/tally"
	"almondstile/vm"
	"almondstile/zone"

	"github.com/sourcegraph/conc"
)

// Sizes of the fleet whose messages the benchmarks play.
const (
	loadVMs     = 292
	loadZones   = 5
	loadServers = 288
	loadTeams   = 140
)

// loadNode returns the node of one VM of a large fleet that knows all others, and the
// others.
func loadNode(b *testing.B, now time.Time, relay bool) (*Node, []vm.VM) {
	b.Helper()
	for i := range loadVMs {
		self := loadVM(i)
		roster := fleet.NewRoster(now, self)
		var others []vm.VM
		for j := range loadVMs {
			if j != i {
				roster.Learn(now, loadVM(j))
				others = append(others, loadVM(j))
			}
		}
		if roster.IsRelay(now) != relay {
			continue
		}
		return listenNode(b, now, roster), others
	}
	b.Fatal("no such VM")
	return nil, nil
}

func loadVM(i int) vm.VM {
	return vm.VM{ID: vm.ID(fmt.Sprintf("edge-%d", i)), Zone: zone.ID(fmt.Sprintf("zone-%d", i%loadZones)), Incarnation: "1", ControlAddress: "127.0.0.1:9", Strength: 16}
}

// loadMessages returns the datagrams of a relay with the totals of random origins.
func loadMessages(b *testing.B, sender vm.VM, count int) [][]byte {
	b.Helper()
	rng := rand.New(rand.NewPCG(1, 1))
	totals := make(map[[2]int]tally.Counts)
	var out [][]byte
	for len(out) < count {
		var records []tally.Record
		for range 80 {
			origin, server := rng.IntN(loadVMs), rng.IntN(loadServers)
			c := totals[[2]int{origin, server}]
			c[tally.Started]++
			c[tally.Succeeded]++
			c[tally.RelativeLatencyPercent] += 100
			totals[[2]int{origin, server}] = c
			records = append(records, tally.Record{Origin: tally.OriginOf(loadVM(origin).ID, "1"), Uptime: time.Minute,
				Subject: tally.SubjectOf(tally.Server, fmt.Sprint(server)), Counts: c})
		}
		m := message{Sender: toMember(sender), Relay: true, Tables: make([]tableVersion, 2), UptimeMillis: 60000}
		if _, err := m.addRecords(records); err != nil {
			b.Fatal(err)
		}
		encoded, err := encode(m)
		if err != nil {
			b.Fatal(err)
		}
		out = append(out, encoded)
	}
	return out
}

// benchmarkMessages lets a VM of a large fleet handle the messages of a relay. After each
// of them it calls then, which may be nil.
func benchmarkMessages(b *testing.B, relay, senderRelays bool, then func(*Node)) {
	now := time.Now()
	node, others := loadNode(b, now, relay)
	messages := loadMessages(b, others[0], 1000)
	var wg conc.WaitGroup
	defer wg.Wait()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		var m message
		if err := decode(messages[i%len(messages)], &m); err != nil {
			b.Fatal(err)
		}
		m.Relay = senderRelays
		node.handleMessage(context.Background(), &wg, m)
		if then != nil {
			then(node)
		}
	}
}

func BenchmarkReceiveAtPlainVM(b *testing.B) { benchmarkMessages(b, false, true, nil) }
func BenchmarkReceiveAtRelay(b *testing.B)   { benchmarkMessages(b, true, true, nil) }

// BenchmarkSendAtRelay sends the changed records of a large zone's VMs.
func BenchmarkSendAtRelay(b *testing.B) {
	benchmarkMessages(b, true, false, func(n *Node) {
		n.sendChanges(time.Now(), tally.UrgentOnly)
		n.sendChanges(time.Now(), tally.AllChanged)
	})
}
