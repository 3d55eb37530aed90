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

// loopback carries calls between the Fleets of one process.
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
	answer, err := handler(ctx, "", raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// Guards against a runner that does not carry out what Member decides: VMs
// that do not join, lists that are not published, a departure that leaves the
// VM in the list, and goroutines that outlive Run.
func TestFleetJoinsPublishesAndLeaves(t *testing.T) {
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
	fleets := make([]*Manager, size)
	lists := make([]<-chan vm.MemberList, size)
	for i := range fleets {
		self := vm.VM{ID: vm.ID(fmt.Sprint("vm", i)), Incarnation: "1"}
		fleets[i] = NewManager(Config{
			Self: self, Caller: &network,
			Table: dynamo.New(dynamo.Options{
				Endpoint: server.URL, Region: "local", Table: "t", AccessKey: string(self.ID), SecretKey: "s",
			}),
			Log: logging.Discard().Part("membership"), ConfigVersion: func() uint64 { return 7 },
		})
		network.handlers.Store(self.ID, fleets[i].HeartbeatHandler())
		lists[i] = fleets[i].Subscribe()
		running.Go(func() {
			if err := fleets[i].Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	for i := range lists {
		awaitList(ctx, t, lists[i], size)
		if ready, reason := fleets[i].Ready(time.Now()); !ready {
			t.Errorf("VM %d is not ready: %s", i, reason)
		}
	}
	fleets[0].Leave()
	for i := range lists[1:] {
		awaitList(ctx, t, lists[i+1], size-1)
	}
	if _, err := sim.Client("test").Get(ctx, sessionPrefix+"vm0"); err == nil {
		t.Error("the session of the VM that left is still there")
	}
	for id, peer := range fleets[1].Peers() {
		if peer.Heartbeat.ConfigVersion != 7 && !peer.RequestSentAt.IsZero() {
			t.Errorf("heartbeat of %s: %+v", id, peer.Heartbeat)
		}
	}
	cancel()
}

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

// Guards against heartbeats that take more than the 11 KB/s that a VM of a
// fleet of 420 may use for control messages, while the store answers or not.
func TestHeartbeatBytesOfLargeFleet(t *testing.T) {
	t.Parallel()
	const (
		size, bytesPerSecondLimit = 420, 11_000
		envelopeBytes             = 60 // jsonrpc2 fields of a call, and of its answer
		packetBytes               = 40 // TCP and IP headers
	)
	list := vm.MemberList{Version: 12345}
	for i := range size {
		list.VMs = append(list.VMs, vm.VM{ID: vm.ID(fmt.Sprintf("vm%03d", i)), Incarnation: "1f0c5f7e-8d0f-4c63-b7f5-4c5a2d9f3a11"})
	}
	m := NewMember(list.VMs[0], LargeFleetOptions())
	m.phase, m.list.roster.List = listed, list
	now := time.Unix(1000, 0)
	for _, outage := range []bool{false, true} {
		asked := 0
		const seconds = 600 // many rounds of 13.6 s
		for range seconds * 5 {
			now = now.Add(200 * time.Millisecond)
			if !outage {
				m.list.readSent = now
			}
			for _, a := range m.questions(now) {
				asked++
				m.answered(now, a, Result{Heartbeat: m.AnswerHeartbeat(now, HeartbeatRequest{})})
			}
		}
		question, _ := json.Marshal(HeartbeatRequest{ListVersion: list.Version, ConfigVersion: 12345})
		answer, _ := json.Marshal(Heartbeat{
			Incarnation: m.self.Incarnation, ListVersion: list.Version, ConfigVersion: 12345, SessionWrites: 123456, SessionWriteAgeMillis: 3_600_000,
		})
		exchange := len(question) + len(answer) + 2*(envelopeBytes+packetBytes)
		// Each VM asks as often as it is asked.
		perSecond := 2 * asked * exchange / seconds
		t.Logf("outage %v: %d questions in %d s, %d bytes each, %d bytes/s", outage, asked, seconds, exchange, perSecond)
		if perSecond > bytesPerSecondLimit {
			t.Errorf("outage %v: %d bytes/s exceed %d", outage, perSecond, bytesPerSecondLimit)
		}
	}
}
