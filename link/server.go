package link

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"almondstile/logging"
	"almondstile/shard"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	methodHello = "link.hello"
	methodProve = "link.prove"

	// handshakeTimeout bounds how long an unauthenticated connection stays.
	handshakeTimeout = 2 * time.Second
)

type helloParams struct {
	From      vm.ID  `json:"from"`
	To        vm.ID  `json:"to"`
	Challenge string `json:"challenge"`
}

type helloReply struct {
	Challenge string `json:"challenge"`
	Proof     string `json:"proof"`
}

type proveParams struct {
	Proof string `json:"proof"`
}

// Server accepts control connections from other VMs.
type Server struct {
	self     vm.ID
	secret   Secret
	links    *Links
	log      logging.Logger
	handlers shard.Map[string, Handler]
	conns    shard.Map[string, net.Conn]
	wg       conc.WaitGroup
	bytes    *Traffic
	refusals refusals
}

// NewServer returns a server that has no methods yet.
func NewServer(self vm.ID, secret Secret, links *Links, traffic *Traffic, log logging.Logger) *Server {
	return &Server{self: self, secret: secret, links: links, log: log, bytes: traffic}
}

// Handle registers a method. All methods are registered before Serve.
func (s *Server) Handle(method string, h Handler) { s.handlers.Store(method, h) }

// Serve accepts connections until the listener is closed, then closes the
// connections and waits for their goroutines.
func (s *Server) Serve(ctx context.Context, listener net.Listener) {
	defer s.wg.Wait()
	defer s.closeAll()
	for {
		nc, err := listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				s.log.WithError(err).Warn("Accepting control connections ended.")
			}
			return
		}
		s.wg.Go(func() { s.serveConn(ctx, nc) })
	}
}

func (s *Server) closeAll() {
	s.conns.Range(func(_ string, nc net.Conn) bool {
		_ = nc.Close()
		return false
	})
}

func (s *Server) serveConn(ctx context.Context, nc net.Conn) {
	id := nc.RemoteAddr().String()
	s.conns.Store(id, nc)
	defer s.conns.Delete(id)
	if ctx.Err() != nil {
		_ = nc.Close()
		return
	}
	_ = nc.SetDeadline(time.Now().Add(handshakeTimeout))
	session := &session{server: s, conn: nc}
	stream := jsonrpc2.NewPlainObjectStream(s.bytes.count(nc))
	rpc := jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(session.handle)), jsonrpc2.SetLogger(logging.NoPrintf{}))
	select {
	case <-rpc.DisconnectNotify():
		s.logRefusal(session, time.Now())
	case <-ctx.Done():
		_ = rpc.Close()
	}
}

// session is the server's side of one connection.
type session struct {
	server *Server
	conn   net.Conn

	mu     sync.Mutex
	hello  helloParams
	expect string // the proof the dialer must send; "" before link.hello
	peer   vm.ID  // "" until authenticated
	// unproven says that a method was called before the proof.
	unproven bool
}

func (c *session) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	var raw json.RawMessage
	if req.Params != nil {
		raw = *req.Params
	}
	switch req.Method {
	case methodHello:
		return c.greet(raw)
	case methodProve:
		return c.prove(raw)
	}
	peer := c.authenticated()
	if peer == "" {
		c.mu.Lock()
		c.unproven = true
		c.mu.Unlock()
		_ = c.conn.Close()
		return nil, ErrAuthentication
	}
	handler, ok := c.server.handlers.Load(req.Method)
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	c.server.links.Heard(peer, time.Now())
	return c.server.run(ctx, handler, peer, raw)
}

// run turns a panic of a handler into an error, so that one bad message does
// not end the process.
func (s *Server) run(ctx context.Context, h Handler, peer vm.ID, raw json.RawMessage) (result any, err error) {
	defer func() {
		if p := recover(); p != nil {
			s.log.WithField("panic", p).Error("A control handler panicked.")
			err = errors.New("internal error")
		}
	}()
	return h(ctx, peer, raw)
}

func (c *session) authenticated() vm.ID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peer
}

func (c *session) greet(raw json.RawMessage) (helloReply, error) {
	var hello helloParams
	if err := json.Unmarshal(raw, &hello); err != nil {
		return helloReply{}, errors.Wrap(err, "decoding the hello")
	}
	s := c.server
	if hello.To != s.self {
		return helloReply{}, errors.Newf("this VM is %s, not %s", s.self, hello.To)
	}
	challenge := newChallenge()
	c.mu.Lock()
	c.hello = hello
	c.expect = s.secret.proof(dialer, hello.From, s.self, hello.Challenge, challenge)
	c.mu.Unlock()
	return helloReply{
		Challenge: challenge,
		Proof:     s.secret.proof(acceptor, hello.From, s.self, hello.Challenge, challenge),
	}, nil
}

func (c *session) prove(raw json.RawMessage) (struct{}, error) {
	var p proveParams
	err := json.Unmarshal(raw, &p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || c.expect == "" || !equalProof(p.Proof, c.expect) {
		_ = c.conn.Close()
		return struct{}{}, ErrAuthentication
	}
	c.peer = c.hello.From
	_ = c.conn.SetDeadline(time.Time{})
	return struct{}{}, nil
}
