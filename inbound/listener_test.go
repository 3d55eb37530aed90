package inbound

import (
	"net"
	"testing"

	"almondstile/logging"
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
