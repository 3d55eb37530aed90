package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"almondstile/link"
	"almondstile/logging"
	"almondstile/shard"
	"almondstile/standin/platformsim"
	"almondstile/store/dynamo"
	"almondstile/vm"

	"github.com/sourcegraph/conc"
)

// loopback delivers heartbeats between the Managers of one process.
type loopback struct {
	handlers shard.Map[vm.ID, link.Handler]
}

func (l *loopback) Call(ctx context.Context, to vm.VM, _ string, params, result any) error {
	handler, ok := l.handlers.Load(to.ID)
	if !ok {
		return link.ErrUnreachable
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	response, err := handler(ctx, "", raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(response); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// Guards against a Manager that does not carry out the Actions of its Member. VMs
// would then not join, new lists would not reach the subscribers, or a VM that
// left would stay in the list. Also guards against goroutines that outlive Run.
func TestManagersJoinPublishAndLeave(t *testing.T) {
	t.Parallel()
	const size = 4
	sim := platformsim.New()
	server := httptest.NewServer(sim.Handler())
	defer server.Close()
	var network loopback
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var running conc.WaitGroup
	defer running.Wait()
	managers := make([]*Manager, size)
	lists := make([]<-chan vm.MemberList, size)
	for i := range managers {
		self := vm.VM{ID: vm.ID(fmt.Sprint("vm", i)), Incarnation: "1"}
		managers[i] = NewManager(Config{
			Self: self, Caller: &network,
			Table: dynamo.New(dynamo.Options{
				Endpoint: server.URL, Region: "local", Table: "t", AccessKey: string(self.ID), SecretKey: "s",
			}),
			Log: logging.Discard().Part("membership"), ConfigVersion: func() uint64 { return 7 },
		})
		network.handlers.Store(self.ID, managers[i].HeartbeatHandler())
		lists[i] = managers[i].Subscribe()
		running.Go(func() {
			if err := managers[i].Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	for i := range lists {
		awaitList(ctx, t, lists[i], size)
		if ready, reason := managers[i].Ready(time.Now()); !ready {
			t.Errorf("VM %d is not ready: %s", i, reason)
		}
	}
	managers[0].Leave()
	for i := range lists[1:] {
		awaitList(ctx, t, lists[i+1], size-1)
	}
	if _, err := sim.Client("test").Get(ctx, sessionPrefix+"vm0"); err == nil {
		t.Error("the session of the VM that left still exists")
	}
	for id, peer := range managers[1].Peers() {
		if peer.Heartbeat.ConfigVersion != 7 && !peer.RequestSentAt.IsZero() {
			t.Errorf("heartbeat of %s: %+v", id, peer.Heartbeat)
		}
	}
	cancel()
}

// awaitList waits until a list of size VMs is published.
func awaitList(ctx context.Context, t *testing.T, lists <-chan vm.MemberList, size int) {
	t.Helper()
	for {
		select {
		case list := <-lists:
			if len(list.VMs) == size {
				return
			}
		case <-ctx.Done():
			t.Fatalf("no list of %d VMs was published", size)
		}
	}
}

// Guards against heartbeats that exceed 11 KB/s per VM, the limit for control
// messages in a fleet of 420 VMs. Checks the rate while the store responds and
// during a store outage, in which more peers get heartbeats.
func TestHeartbeatBytesOfLargeFleet(t *testing.T) {
	t.Parallel()
	const (
		vmCount, bytesPerSecondLimit = 420, 11_000
		envelopeBytes                = 60 // jsonrpc2 fields of a request or a response
		packetBytes                  = 40 // TCP and IP headers
	)
	list := vm.MemberList{Version: 12345}
	for i := range vmCount {
		list.VMs = append(list.VMs, vm.VM{ID: vm.ID(fmt.Sprintf("vm%03d", i)), Incarnation: "1f0c5f7e-8d0f-4c63-b7f5-4c5a2d9f3a11"})
	}
	m := NewMember(list.VMs[0], LargeFleetOptions())
	m.phase, m.list.roster.List = listed, list
	now := time.Unix(1000, 0)
	for _, outage := range []bool{false, true} {
		sent := 0
		const seconds = 600 // many heartbeat intervals of 13.6 s
		for range seconds * 5 {
			now = now.Add(200 * time.Millisecond)
			if !outage {
				m.list.lastReadSentAt = now
			}
			for _, a := range m.dueHeartbeats(now) {
				sent++
				m.handleHeartbeatResult(now, a, Result{Heartbeat: m.AnswerHeartbeat(now, HeartbeatRequest{})})
			}
		}
		request, _ := json.Marshal(HeartbeatRequest{ListVersion: list.Version, ConfigVersion: 12345})
		response, _ := json.Marshal(Heartbeat{
			Incarnation: m.self.Incarnation, ListVersion: list.Version, ConfigVersion: 12345, SessionWrites: 123456, SessionWriteAgeMillis: 3_600_000,
		})
		exchangeBytes := len(request) + len(response) + 2*(envelopeBytes+packetBytes)
		// Each VM receives as many requests as it sends.
		bytesPerSecond := 2 * sent * exchangeBytes / seconds
		t.Logf("outage %v: %d heartbeats in %d s, %d bytes each, %d bytes/s", outage, sent, seconds, exchangeBytes, bytesPerSecond)
		if bytesPerSecond > bytesPerSecondLimit {
			t.Errorf("outage %v: heartbeats take %d bytes/s, limit %d", outage, bytesPerSecond, bytesPerSecondLimit)
		}
	}
}
