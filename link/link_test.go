package link

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"almondstile/logging"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
)

var testSecret = Secret(strings.Repeat("s", MinSecretBytes))

type echoParams struct {
	Text string `json:"text"`
}

// startServer serves link calls for a VM on loopback until the test ends.
func startServer(t *testing.T, id vm.ID, secret Secret) (vm.VM, *Server) {
	t.Helper()
	return startServerWithLog(t, id, secret, logging.Discard())
}

func startServerWithLog(t *testing.T, id vm.ID, secret Secret, log *logging.Log) (vm.VM, *Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(id, secret, &Links{}, &Traffic{}, log.Part("link"))
	s.Handle("echo", Handle(func(_ context.Context, from vm.ID, p echoParams) (echoParams, error) {
		if p.Text == "panic" {
			panic("test")
		}
		return echoParams{Text: string(from) + " says " + p.Text}, nil
	}))
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { s.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		wg.Wait()
	})
	return vm.VM{ID: id, ControlAddress: listener.Addr().String()}, s
}

func newClient(t *testing.T, id vm.ID, secret Secret) (*Client, *Links) {
	t.Helper()
	links := &Links{}
	c := NewClient(vm.VM{ID: id}, secret, links, nil, &Traffic{})
	t.Cleanup(c.Close)
	return c, links
}

func call(c *Client, to vm.VM, text string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var reply echoParams
	err := c.Call(ctx, to, "echo", echoParams{Text: text}, &reply)
	return reply.Text, err
}

// Guards against calls that lose the caller's identity, and against a handler's
// panic that ends the process.
func TestCallCarriesTheAuthenticatedID(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("calls", func(t *testing.T) {
		peer, _ := startServer(t, "vm2", testSecret)
		c, _ := newClient(t, "vm1", testSecret)
		if text, err := call(c, peer, "hello"); err != nil || text != "vm1 says hello" {
			t.Fatalf("got %q, %v", text, err)
		}
		if _, err := call(c, peer, "panic"); !errors.Is(err, ErrRejected) {
			t.Fatalf("a panicking handler gave %v", err)
		}
		if text, err := call(c, peer, "again"); err != nil || text != "vm1 says again" {
			t.Fatalf("got %q, %v", text, err)
		}
	})
}

// Guards against a VM without the secret taking part, on either side.
func TestWrongSecretIsRejected(t *testing.T) {
	other := Secret(strings.Repeat("x", MinSecretBytes))
	peer, _ := startServer(t, "vm2", testSecret)
	c, _ := newClient(t, "vm1", other)
	if _, err := call(c, peer, "hello"); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("a dialer with another secret got %v", err)
	}
	rogue, _ := startServer(t, "vm3", other)
	c, _ = newClient(t, "vm1", testSecret)
	if _, err := call(c, rogue, "hello"); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("an acceptor with another secret got %v", err)
	}
}

// lines is a log's output.
type lines chan string

func (l lines) Write(b []byte) (int, error) {
	l <- string(b)
	return len(b), nil
}

// Guards against a wrong secret that no log line shows, and against a log that
// such a VM fills.
func TestRefusedConnectionIsLogged(t *testing.T) {
	logged := make(lines, 10)
	log, err := logging.New(logged, "info")
	if err != nil {
		t.Fatal(err)
	}
	peer, server := startServerWithLog(t, "vm2", testSecret, log)
	good, _ := newClient(t, "vm1", testSecret)
	if _, err := call(good, peer, "hello"); err != nil {
		t.Fatal(err)
	}
	good.Close()
	for range 3 {
		rogue, _ := newClient(t, "vm3", Secret(strings.Repeat("x", MinSecretBytes)))
		if _, err := call(rogue, peer, "hello"); err == nil {
			t.Fatal("a VM with another secret was accepted")
		}
	}
	select {
	case line := <-logged:
		if !strings.Contains(line, `"remote":"127.0.0.1:`) || !strings.Contains(line, `"from":"vm3"`) {
			t.Errorf("the line is %s", line)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("nothing was logged")
	}
	now := time.Now()
	if server.refusals.due(now, "127.0.0.1") || !server.refusals.due(now, "127.0.0.2") ||
		!server.refusals.due(now.Add(refusalLogPause), "127.0.0.1") {
		t.Error("not one line per address and minute")
	}
}

// Guards against a message that reaches another VM at a reused address.
func TestOtherVMAtTheAddressIsRejected(t *testing.T) {
	peer, _ := startServer(t, "vm2", testSecret)
	peer.ID = "vm9"
	c, _ := newClient(t, "vm1", testSecret)
	if _, err := call(c, peer, "hello"); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("got %v", err)
	}
}

// Guards against a cut link being tried by every request.
func TestFailedLinkIsAvoidedForAWhile(t *testing.T) {
	var links Links
	now := time.Now()
	links.Failed("vm2", now)
	if links.Usable("vm2", now.Add(firstPause-1)) || !links.Usable("vm2", now.Add(firstPause)) {
		t.Error("the pause after the first failure is not firstPause")
	}
	for i := 0; i < 50; i++ {
		links.Failed("vm2", now)
	}
	if !links.Usable("vm2", now.Add(maxPause)) {
		t.Error("the pause exceeds maxPause")
	}
	links.Reached("vm2", now)
	if !links.Usable("vm2", now) {
		t.Error("a reply does not end the pause")
	}
}
