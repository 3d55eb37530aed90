package netfault

import (
	"context"
	"net"
	"time"

	"almondstile/shard"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const dialTimeout = 2 * time.Second

// Link passes connections on to one target.
type Link struct {
	name    LinkName
	address string
	target  string
	ctx     context.Context
	stop    context.CancelFunc
	// paths holds the fault of each direction.
	paths shard.Map[Direction, path]
	// listeners holds the listener while the link accepts connections.
	listeners shard.Map[LinkName, net.Listener]
	// conns holds the connection of each client address.
	conns shard.Map[string, *connection]
	wg    conc.WaitGroup
}

// path is the condition of one direction; changed is closed when it is
// replaced, so that held-back bytes are looked at again.
type path struct {
	fault   Fault
	changed chan struct{}
}

// Listen adds a link from address ("127.0.0.1:0" picks a port) to target.
func (n *Network) Listen(name LinkName, address, target string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "link %s", name)
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &Link{name: name, address: listener.Addr().String(), target: target, ctx: ctx, stop: stop}
	for _, d := range []Direction{ToTarget, ToClient} {
		l.paths.Store(d, path{changed: make(chan struct{})})
	}
	l.serve(listener)
	n.links.Store(name, l)
	return l, nil
}

// Address returns the IP:port on which the link listens.
func (l *Link) Address() string { return l.address }

// SetFault replaces the fault of one direction, also for open connections.
func (l *Link) SetFault(d Direction, f Fault) {
	l.paths.Update(d, func(p path, exists bool) (path, bool) {
		if exists {
			close(p.changed)
		}
		return path{f, make(chan struct{})}, true
	})
}

// Heal removes the faults of both directions and accepts connections again.
func (l *Link) Heal() error {
	l.SetFault(ToTarget, Fault{})
	l.SetFault(ToClient, Fault{})
	return l.SetRefuse(false)
}

// SetRefuse makes new connections fail as refused, or ends that. Open
// connections stay.
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
func (l *Link) Cut() { l.endConnections((*connection).close) }

// Reset closes all open connections with RST.
func (l *Link) Reset() { l.endConnections((*connection).reset) }

func (l *Link) endConnections(end func(*connection)) {
	l.conns.Range(func(_ string, c *connection) bool { end(c); return true })
}

// Close ends the link and waits for its goroutines.
func (l *Link) Close() {
	l.stop()
	l.closeListener()
	l.Cut()
	l.wg.Wait()
}

func (l *Link) closeListener() {
	l.listeners.Update(l.name, func(listener net.Listener, open bool) (net.Listener, bool) {
		if open {
			_ = listener.Close()
		}
		return nil, false
	})
}

func (l *Link) serve(listener net.Listener) {
	l.listeners.Store(l.name, listener)
	l.wg.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			l.wg.Go(func() { l.pass(client) })
		}
	})
}

// pass connects a client to the target until one of them ends.
func (l *Link) pass(client net.Conn) {
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
		c.close() // Close may have passed over this connection
	}
	var wg conc.WaitGroup
	wg.Go(func() { l.pump(c, ToTarget, client, target) })
	wg.Go(func() { l.pump(c, ToClient, target, client) })
	wg.Wait()
	c.close()
}
