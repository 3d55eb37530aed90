package netfault

import (
	"context"
	"net"
	"time"

	"almondstile/shard"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// dialTimeout is the maximum time for a link to connect to its target.
const dialTimeout = 2 * time.Second

// Link listens on one address and forwards its connections to one target.
type Link struct {
	name    LinkName
	address string
	target  string
	ctx     context.Context
	cancel  context.CancelFunc
	// directions holds the state of each direction.
	directions shard.Map[Direction, directionState]
	// listeners holds the listener under the name of the link. It is empty while
	// the link refuses connections.
	listeners shard.Map[LinkName, net.Listener]
	// conns holds the open connections by client address (IP:port).
	conns shard.Map[string, *connection]
	wg    conc.WaitGroup
}

// directionState is the current fault of one direction. SetFault closes changed
// when it replaces the state, so that waiting chunks load the new fault.
type directionState struct {
	fault   Fault
	changed chan struct{}
}

// Listen adds a link to the network that listens on address and forwards
// connections to target, both IP:port. Address "127.0.0.1:0" uses a free port.
// Listen returns an error if it cannot listen on address.
func (n *Network) Listen(name LinkName, address, target string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "link %s: listen", name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{name: name, address: listener.Addr().String(), target: target, ctx: ctx, cancel: cancel}
	for _, d := range []Direction{ToTarget, ToClient} {
		l.directions.Store(d, directionState{changed: make(chan struct{})})
	}
	l.serve(listener)
	n.links.Store(name, l)
	return l, nil
}

// Address returns the IP:port on which the link listens.
func (l *Link) Address() string { return l.address }

// SetFault replaces the fault of one direction. The new fault also applies to
// open connections and to the bytes that they have queued.
func (l *Link) SetFault(d Direction, f Fault) {
	l.directions.Update(d, func(state directionState, exists bool) (directionState, bool) {
		if exists {
			close(state.changed)
		}
		return directionState{f, make(chan struct{})}, true
	})
}

// Heal removes the faults of both directions and accepts connections again. It
// returns an error if the link cannot listen on its address.
func (l *Link) Heal() error {
	l.SetFault(ToTarget, Fault{})
	l.SetFault(ToClient, Fault{})
	return l.SetRefuse(false)
}

// SetRefuse closes the listener, so that the kernel refuses new connections, or
// opens it again on the same address. Open connections stay open. SetRefuse
// returns an error if the link cannot listen on its address.
func (l *Link) SetRefuse(refuse bool) error {
	if refuse {
		l.closeListener()
		return nil
	}
	if _, open := l.listeners.Load(l.name); open || l.ctx.Err() != nil {
		return nil
	}
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return errors.Wrapf(err, "link %s", l.name)
	}
	l.serve(listener)
	return nil
}

// Cut closes all open connections with FIN.
func (l *Link) Cut() { l.closeConnections((*connection).close) }

// Reset closes all open connections with RST.
func (l *Link) Reset() { l.closeConnections((*connection).reset) }

// closeConnections calls closeOne for each open connection.
func (l *Link) closeConnections(closeOne func(*connection)) {
	l.conns.Range(func(_ string, c *connection) bool { closeOne(c); return true })
}

// Close closes the listener and all connections and waits for the goroutines of
// the link.
func (l *Link) Close() {
	l.cancel()
	l.closeListener()
	l.Cut()
	l.wg.Wait()
}

// closeListener closes the listener if the link has one.
func (l *Link) closeListener() {
	l.listeners.Update(l.name, func(listener net.Listener, open bool) (net.Listener, bool) {
		if open {
			_ = listener.Close()
		}
		return nil, false
	})
}

// serve stores the listener and accepts its connections in a new goroutine
// until the listener is closed.
func (l *Link) serve(listener net.Listener) {
	l.listeners.Store(l.name, listener)
	l.wg.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			l.wg.Go(func() { l.proxyConnection(client) })
		}
	})
}

// proxyConnection connects to the target and forwards both directions until
// both have ended. It resets the client connection if it cannot connect.
func (l *Link) proxyConnection(client net.Conn) {
	defer client.Close()
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	target, err := dialer.DialContext(ctx, "tcp", l.target)
	if err != nil {
		(&connection{client: client}).reset()
		return
	}
	c := newConnection(client, target)
	key := client.RemoteAddr().String()
	l.conns.Store(key, c)
	defer l.conns.Delete(key)
	if l.ctx.Err() != nil {
		c.close() // Close ran before the connection was stored and did not close it
	}
	var wg conc.WaitGroup
	wg.Go(func() { l.forwardDirection(c, ToTarget, client, target) })
	wg.Go(func() { l.forwardDirection(c, ToClient, target, client) })
	wg.Wait()
	c.close()
}
