package inbound

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"almondstile/logging"

	"github.com/cockroachdb/errors"
)

// Guards against a connection without a request that stays open because it was accepted
// while the listener was being closed.
func TestConnectionAcceptedDuringCloseIsClosed(t *testing.T) {
	from, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(from, logging.Discard().Part("test"))
	client, err := net.Dial("tcp", from.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	l.cancel() // Close has begun, but has not closed the socket yet
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if c := nc.(*Conn); !c.Closed() || l.Unused() != 0 {
		t.Errorf("closed %v, %d connections without a request are open", c.Closed(), l.Unused())
	}
	_ = from.Close()
}

// failingListener fails with the given errors before it accepts.
type failingListener struct {
	net.Listener
	errs []error
}

// Accept implements net.Listener.
func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.errs) > 0 {
		err := f.errs[0]
		f.errs = f.errs[1:]
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	}
	return f.Listener.Accept()
}

// Guards against a VM that accepts no connection any more because it lacked descriptors
// for a moment.
func TestAcceptGoesOnAfterAShortageOfDescriptors(t *testing.T) {
	from, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(&failingListener{from, []error{syscall.EMFILE, syscall.ECONNABORTED, syscall.ENFILE}}, logging.Discard().Part("test"))
	client, err := net.Dial("tcp", from.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	nc, err := l.Accept()
	if err != nil || l.Accepting() {
		t.Fatalf("got %v, accepting %v right after a failure", err, l.Accepting())
	}
	// The listener counts as accepting again without another connection: a VM that is
	// not ready gets none.
	past := time.Now().Add(-2 * acceptFailureTime)
	l.failedAt.Store(&past)
	if !l.Accepting() {
		t.Error("a listener that has recovered is not accepting")
	}
	_ = nc.Close()
	_ = l.Close()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) || l.Accepting() {
		t.Errorf("after the close: got %v, accepting %v", err, l.Accepting())
	}
}
