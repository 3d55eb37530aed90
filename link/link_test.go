package link

import (
	"context"
	"io"
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

// startServer serves calls to the VM id on a loopback address until the test
// ends. Its only method, echo, panics if the text is "panic".
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

// Guards against handlers that receive another VM's ID than the authenticated
// one, and against a panic in a handler that ends the process or the connection.
func TestCallCarriesAuthenticatedID(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("calls", func(t *testing.T) {
		peer, _ := startServer(t, "vm2", testSecret)
		c, _ := newClient(t, "vm1", testSecret)
		if text, err := call(c, peer, "hello"); err != nil || text != "vm1 says hello" {
			t.Fatalf("got %q, %v", text, err)
		}
		if _, err := call(c, peer, "panic"); !errors.Is(err, ErrRejected) {
			t.Fatalf("a call to a panicking handler returned %v", err)
		}
		if text, err := call(c, peer, "again"); err != nil || text != "vm1 says again" {
			t.Fatalf("got %q, %v", text, err)
		}
	})
}

// Guards against a caller that gives up while its VM connects to another one, and by that
// makes the calls of others fail and the link count as broken.
func TestCanceledCallerDoesNotEndTheDialOfOthers(t *testing.T) {
	peer, _ := startServer(t, "vm2", testSecret)
	// The peer is reached through a listener that accepts only when the test lets it.
	gate, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accept := make(chan struct{})
	var wg conc.WaitGroup
	defer wg.Wait()
	defer gate.Close()
	wg.Go(func() {
		<-accept
		from, err := gate.Accept()
		if err != nil {
			return
		}
		defer from.Close()
		to, err := net.Dial("tcp", peer.ControlAddress)
		if err != nil {
			return
		}
		defer to.Close()
		wg.Go(func() {
			_, _ = io.Copy(to, from)
			_ = to.Close()
		})
		_, _ = io.Copy(from, to)
	})
	c, links := newClient(t, "vm1", testSecret)
	through := vm.VM{ID: "vm2", ControlAddress: gate.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	canceled := make(chan error, 1)
	wg.Go(func() { canceled <- c.Call(ctx, through, "echo", echoParams{}, &echoParams{}) })
	for {
		if _, dialing := c.peers.Load("vm2"); dialing {
			break
		}
		time.Sleep(time.Millisecond)
	}
	other := make(chan error, 1)
	wg.Go(func() { _, err := call(c, through, "hello"); other <- err })
	cancel()
	if err := <-canceled; !errors.Is(err, context.Canceled) {
		t.Errorf("the canceled call returned %v", err)
	}
	close(accept)
	if err := <-other; err != nil {
		t.Errorf("the other call returned %v", err)
	}
	if !links.Usable("vm2", time.Now()) {
		t.Error("the link counts as broken")
	}
	c.Close()
}

// Guards against connections to a VM with another secret, whether it dials or
// accepts the connection.
func TestWrongSecretIsRejected(t *testing.T) {
	other := Secret(strings.Repeat("x", MinSecretBytes))
	peer, _ := startServer(t, "vm2", testSecret)
	c, _ := newClient(t, "vm1", other)
	if _, err := call(c, peer, "hello"); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("a call by a dialer with another secret returned %v", err)
	}
	rogue, _ := startServer(t, "vm3", other)
	c, _ = newClient(t, "vm1", testSecret)
	if _, err := call(c, rogue, "hello"); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("a call to an acceptor with another secret returned %v", err)
	}
}

// logLines is a log output that sends each line to a channel.
type logLines chan string

func (l logLines) Write(b []byte) (int, error) {
	l <- string(b)
	return len(b), nil
}

// Guards against connections with a wrong secret that leave no log line, and
// against a VM that fills the log by retrying such connections: each address gets
// one line per refusalLogInterval. Accepted connections must not be logged.
func TestRefusedConnectionIsLogged(t *testing.T) {
	output := make(logLines, 10)
	log, err := logging.New(output, "info")
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
	case line := <-output:
		if !strings.Contains(line, `"remote":"127.0.0.1:`) || !strings.Contains(line, `"from":"vm3"`) {
			t.Errorf("the log line lacks the remote address or the VM: %s", line)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no log line within 5 s")
	}
	now := time.Now()
	if server.refusalLog.shouldLog(now, "127.0.0.1") || !server.refusalLog.shouldLog(now, "127.0.0.2") ||
		!server.refusalLog.shouldLog(now.Add(refusalLogInterval), "127.0.0.1") {
		t.Error("want one log line per address and minute")
	}
}

// Guards against delivering a message to the wrong VM after another VM has taken
// over the address of the intended one.
func TestOtherVMAtTheAddressIsRejected(t *testing.T) {
	peer, _ := startServer(t, "vm2", testSecret)
	peer.ID = "vm9"
	c, _ := newClient(t, "vm1", testSecret)
	if _, err := call(c, peer, "hello"); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("got %v", err)
	}
}

// Guards against sending every request over a failed link. After a failure the
// peer is avoided for a backoff that is limited and that a reply ends.
func TestFailedLinkIsAvoidedForAWhile(t *testing.T) {
	var links Links
	now := time.Now()
	links.RecordFailure("vm2", now)
	if links.Usable("vm2", now.Add(initialBackoff-1)) || !links.Usable("vm2", now.Add(initialBackoff)) {
		t.Error("the backoff after the first failure is not initialBackoff")
	}
	for i := 0; i < 50; i++ {
		links.RecordFailure("vm2", now)
	}
	if !links.Usable("vm2", now.Add(maxBackoff)) {
		t.Error("the backoff exceeds maxBackoff")
	}
	links.RecordReply("vm2", now)
	if !links.Usable("vm2", now) {
		t.Error("a reply does not end the backoff")
	}
}
