package link

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"almondstile/logging"
	"almondstile/shard"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// dialTimeout bounds connecting and authenticating. Control messages are small
// and peers are at most a region apart.
const dialTimeout = 1 * time.Second

// Client is a Caller over authenticated jsonrpc2 connections, one for each
// peer, opened on first use.
type Client struct {
	self   vm.VM
	secret Secret
	links  *Links
	local  *Server
	bytes  *Traffic
	peers  shard.Map[vm.ID, *peerConn]
}

// peerConn is a connection to one incarnation of a peer. ready is closed when
// rpc and err are set, so that concurrent callers wait for one dial.
type peerConn struct {
	address string
	ready   chan struct{}
	rpc     *jsonrpc2.Conn
	err     error
}

// NewClient returns a client. Calls to this VM itself go straight to the
// handlers of local.
func NewClient(self vm.VM, secret Secret, links *Links, local *Server, traffic *Traffic) *Client {
	return &Client{self: self, secret: secret, links: links, local: local, bytes: traffic}
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, to vm.VM, method string, params, result any) error {
	if to.ID == c.self.ID {
		return c.callLocal(ctx, method, params, result)
	}
	if !c.links.Usable(to.ID, time.Now()) {
		return errors.Mark(errors.Newf("link to %s failed a moment ago", to.ID), ErrUnreachable)
	}
	peer, err := c.connect(ctx, to)
	if err != nil {
		c.links.Failed(to.ID, time.Now())
		return errors.Mark(errors.Wrapf(err, "connecting to %s", to.ID), ErrUnreachable)
	}
	err = peer.rpc.Call(ctx, method, params, result)
	return c.settle(to, peer, method, err)
}

// settle records what a call says about the link and translates its error.
func (c *Client) settle(to vm.VM, peer *peerConn, method string, err error) error {
	var rejected *jsonrpc2.Error
	switch {
	case err == nil:
		c.links.Reached(to.ID, time.Now())
		return nil
	case errors.As(err, &rejected):
		c.links.Reached(to.ID, time.Now())
		return errors.Mark(errors.Wrapf(err, "calling %s of %s", method, to.ID), ErrRejected)
	case errors.Is(err, context.Canceled):
		// The caller gave up, which says nothing about the link.
		return errors.Mark(err, ErrNoReply)
	default:
		// A connection that swallowed a call may be cut in one direction; the
		// next call starts afresh.
		c.links.Failed(to.ID, time.Now())
		c.drop(to.ID, peer)
		return errors.Mark(errors.Wrapf(err, "calling %s of %s", method, to.ID), ErrNoReply)
	}
}

func (c *Client) callLocal(ctx context.Context, method string, params, result any) error {
	handler, ok := c.local.handlers.Load(method)
	if !ok {
		return errors.Mark(errors.Newf("no method %s", method), ErrRejected)
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return errors.Wrap(err, "encoding parameters")
	}
	reply, err := c.local.run(ctx, handler, c.self.ID, raw)
	if err != nil {
		return errors.Mark(err, ErrRejected)
	}
	if raw, err = json.Marshal(reply); err != nil || result == nil {
		return errors.Wrap(err, "encoding the reply")
	}
	return errors.Wrap(json.Unmarshal(raw, result), "decoding the reply")
}

func (c *Client) connect(ctx context.Context, to vm.VM) (*peerConn, error) {
	var peer *peerConn
	dial := false
	c.peers.Update(to.ID, func(p *peerConn, exists bool) (*peerConn, bool) {
		if !exists || p.address != to.ControlAddress || p.closed() {
			p = &peerConn{address: to.ControlAddress, ready: make(chan struct{})}
			dial = true
		}
		peer = p
		return p, true
	})
	if dial {
		peer.rpc, peer.err = c.dial(ctx, to)
		if peer.err != nil {
			c.drop(to.ID, peer)
		}
		close(peer.ready)
	}
	select {
	case <-peer.ready:
		return peer, peer.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *peerConn) closed() bool {
	select {
	case <-p.ready:
	default:
		return false
	}
	if p.err != nil {
		return true
	}
	select {
	case <-p.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

func (c *Client) dial(ctx context.Context, to vm.VM) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", to.ControlAddress)
	if err != nil {
		return nil, err
	}
	stream := jsonrpc2.NewPlainObjectStream(c.bytes.count(nc))
	// The connection outlives the call that opened it.
	rpc := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, jsonrpc2.HandlerWithError(rejectIncoming), jsonrpc2.SetLogger(logging.NoPrintf{}))
	if err := c.authenticate(ctx, rpc, to.ID); err != nil {
		_ = rpc.Close()
		return nil, err
	}
	return rpc, nil
}

// rejectIncoming answers calls on a connection that this VM opened: each side
// sends its calls on its own connection.
func rejectIncoming(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go the other way"}
}

func (c *Client) authenticate(ctx context.Context, rpc *jsonrpc2.Conn, peer vm.ID) error {
	challenge := newChallenge()
	var reply helloReply
	if err := rpc.Call(ctx, methodHello, helloParams{From: c.self.ID, To: peer, Challenge: challenge}, &reply); err != nil {
		return err
	}
	if !equalProof(reply.Proof, c.secret.proof(acceptor, c.self.ID, peer, challenge, reply.Challenge)) {
		return ErrAuthentication
	}
	proof := c.secret.proof(dialer, c.self.ID, peer, challenge, reply.Challenge)
	return rpc.Call(ctx, methodProve, proveParams{Proof: proof}, nil)
}

func (c *Client) drop(id vm.ID, peer *peerConn) {
	c.peers.Update(id, func(p *peerConn, exists bool) (*peerConn, bool) {
		return p, exists && p != peer
	})
	if peer.rpc != nil {
		_ = peer.rpc.Close()
	}
}

// Close closes all connections.
func (c *Client) Close() {
	var open []*peerConn
	c.peers.Range(func(_ vm.ID, p *peerConn) bool {
		open = append(open, p)
		return false
	})
	for _, p := range open {
		if p.closed() {
			continue
		}
		select {
		case <-p.ready:
			_ = p.rpc.Close()
		default:
		}
	}
}
