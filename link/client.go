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
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/jsonrpc2"
)

// dialTimeout limits the time to connect to a peer and authenticate. Control
// messages are small, and the longest path is the one between two regions.
const dialTimeout = 1 * time.Second

// Client implements Caller with one authenticated jsonrpc2 connection to each
// peer. It opens a connection at the first call to the peer.
type Client struct {
	self    vm.VM
	secret  Secret
	links   *Links
	local   *Server
	traffic *Traffic
	peers   shard.Map[vm.ID, *peerConn]
	dials   conc.WaitGroup
}

// peerConn is a connection to a peer at one address, possibly still being
// dialed. ready is closed once rpc and err are set, so that concurrent callers
// wait for the same dial.
type peerConn struct {
	address string
	ready   chan struct{}
	rpc     *jsonrpc2.Conn
	err     error
}

// NewClient returns a client of the VM self without connections. Calls to self
// run the handlers of local without a network.
func NewClient(self vm.VM, secret Secret, links *Links, local *Server, traffic *Traffic) *Client {
	return &Client{self: self, secret: secret, links: links, local: local, traffic: traffic}
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, to vm.VM, method string, params, result any) error {
	if to.ID == c.self.ID {
		return c.callLocal(ctx, method, params, result)
	}
	if !c.links.Usable(to.ID, time.Now()) {
		return errors.Mark(errors.Newf("link to %s is avoided after a recent failure", to.ID), ErrUnreachable)
	}
	peer, err := c.connect(ctx, to)
	if errors.Is(err, context.Canceled) {
		// The caller canceled the call, which is no evidence about the link.
		return errors.Mark(err, ErrUnreachable)
	}
	if err != nil {
		c.links.RecordFailure(to.ID, time.Now())
		return errors.Mark(errors.Wrapf(err, "connecting to %s", to.ID), ErrUnreachable)
	}
	err = peer.rpc.Call(ctx, method, params, result)
	return c.recordResult(to, peer, method, err)
}

// recordResult records in Links whether the call reached the peer and translates
// its error into ErrRejected or ErrNoReply. A rejection proves that the peer is
// reachable.
func (c *Client) recordResult(to vm.VM, peer *peerConn, method string, err error) error {
	var rpcErr *jsonrpc2.Error
	switch {
	case err == nil:
		c.links.RecordReply(to.ID, time.Now())
		return nil
	case errors.As(err, &rpcErr):
		c.links.RecordReply(to.ID, time.Now())
		return errors.Mark(errors.Wrapf(err, "calling %s of %s", method, to.ID), ErrRejected)
	case errors.Is(err, context.Canceled):
		// The caller canceled the call, which is no evidence about the link.
		return errors.Mark(err, ErrNoReply)
	default:
		// A connection without a reply may have lost one direction. Dropping it
		// makes the next call dial a new one.
		c.links.RecordFailure(to.ID, time.Now())
		c.drop(to.ID, peer)
		return errors.Mark(errors.Wrapf(err, "calling %s of %s", method, to.ID), ErrNoReply)
	}
}

// callLocal runs the handler in this VM. Parameters and result pass through JSON
// as in a remote call.
func (c *Client) callLocal(ctx context.Context, method string, params, result any) error {
	handler, ok := c.local.handlers.Load(method)
	if !ok {
		return errors.Mark(errors.Newf("method %s is not registered", method), ErrRejected)
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

// connect returns an authenticated connection to the peer. It dials if there is
// none, if it is closed, or if the peer's address changed. Concurrent callers
// share one dial, which goes on if the context of the first one ends.
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
		c.dials.Go(func() { c.finishDial(context.WithoutCancel(ctx), to, peer) })
	}
	select {
	case <-peer.ready:
		return peer, peer.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// finishDial dials the peer and lets the callers that wait for it go on.
func (c *Client) finishDial(ctx context.Context, to vm.VM, peer *peerConn) {
	peer.rpc, peer.err = c.dial(ctx, to)
	if peer.err != nil {
		c.drop(to.ID, peer)
	}
	close(peer.ready)
}

// closed reports whether the dial failed or the connection ended. It returns
// false while the dial is in progress.
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

// dial connects to the peer and authenticates both sides within dialTimeout.
func (c *Client) dial(ctx context.Context, to vm.VM) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", to.ControlAddress)
	if err != nil {
		return nil, err
	}
	stream := jsonrpc2.NewPlainObjectStream(c.traffic.wrap(nc))
	// The connection outlives the call that opened it.
	rpc := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, jsonrpc2.HandlerWithError(rejectIncoming), jsonrpc2.SetLogger(logging.DiscardPrintf{}))
	if err := c.authenticate(ctx, rpc, to.ID); err != nil {
		_ = rpc.Close()
		return nil, err
	}
	return rpc, nil
}

// rejectIncoming returns an error for a call that the peer sends on a connection
// that this VM opened. Each side sends its calls only on connections it opened.
func rejectIncoming(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go the other way"}
}

// authenticate runs the handshake as the dialer: link.hello exchanges challenges
// and verifies the peer's proof, then link.prove sends this VM's proof. The
// acceptor proves itself first.
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

// drop closes the connection and removes it from the map, unless another
// connection to the peer has replaced it there.
func (c *Client) drop(id vm.ID, peer *peerConn) {
	c.peers.Update(id, func(p *peerConn, exists bool) (*peerConn, bool) {
		return p, exists && p != peer
	})
	if peer.rpc != nil {
		_ = peer.rpc.Close()
	}
}

// Close waits for dials in progress, at most dialTimeout, and closes all connections.
func (c *Client) Close() {
	c.dials.Wait()
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
