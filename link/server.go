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

	// handshakeTimeout is how long a connection may stay open without
	// authentication.
	handshakeTimeout = 2 * time.Second
)

// helloParams is the first message of a handshake: the dialer's ID, the ID of the
// VM it means to reach, and its challenge.
type helloParams struct {
	From      vm.ID  `json:"from"`
	To        vm.ID  `json:"to"`
	Challenge string `json:"challenge"`
}

// helloReply has the acceptor's challenge and its proof.
type helloReply struct {
	Challenge string `json:"challenge"`
	Proof     string `json:"proof"`
}

// proveParams has the dialer's proof.
type proveParams struct {
	Proof string `json:"proof"`
}

// Server accepts control connections from other VMs and runs the handlers of the
// methods that they call.
type Server struct {
	self       vm.ID
	secret     Secret
	links      *Links
	log        logging.Logger
	handlers   shard.Map[string, Handler]
	conns      shard.Map[string, net.Conn]
	wg         conc.WaitGroup
	traffic    *Traffic
	refusalLog refusalLog
}

// NewServer returns a server without methods. Handle adds them.
func NewServer(self vm.ID, secret Secret, links *Links, traffic *Traffic, log logging.Logger) *Server {
	return &Server{self: self, secret: secret, links: links, log: log, traffic: traffic}
}

// Handle registers the handler of a method. It must not be called after Serve.
func (s *Server) Handle(method string, h Handler) { s.handlers.Store(method, h) }

// Serve accepts connections until the listener is closed. It then closes the
// connections and returns when their goroutines have ended.
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

// serveConn serves one connection until it is closed or the context ends.
// handshakeTimeout applies to it until the dialer is authenticated.
func (s *Server) serveConn(ctx context.Context, nc net.Conn) {
	remote := nc.RemoteAddr().String()
	s.conns.Store(remote, nc)
	defer s.conns.Delete(remote)
	if ctx.Err() != nil {
		_ = nc.Close()
		return
	}
	_ = nc.SetDeadline(time.Now().Add(handshakeTimeout))
	session := &session{server: s, conn: nc}
	stream := jsonrpc2.NewPlainObjectStream(s.traffic.wrap(nc))
	rpc := jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(session.handleCall)), jsonrpc2.SetLogger(logging.DiscardPrintf{}))
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

	mu            sync.Mutex
	hello         helloParams
	expectedProof string // the proof that the dialer must send; "" before link.hello
	peer          vm.ID  // "" until authenticated
	// calledBeforeProof is true if the dialer called a method before it was
	// authenticated.
	calledBeforeProof bool
}

func (c *session) handleCall(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	var raw json.RawMessage
	if req.Params != nil {
		raw = *req.Params
	}
	switch req.Method {
	case methodHello:
		return c.handleHello(raw)
	case methodProve:
		return c.handleProve(raw)
	}
	peer := c.authenticated()
	if peer == "" {
		c.mu.Lock()
		c.calledBeforeProof = true
		c.mu.Unlock()
		_ = c.conn.Close()
		return nil, ErrAuthentication
	}
	handler, ok := c.server.handlers.Load(req.Method)
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	c.server.links.RecordMessage(peer, time.Now())
	return c.server.run(ctx, handler, peer, raw)
}

// run calls the handler and turns a panic into an error, so that one bad message
// does not end the process.
func (s *Server) run(ctx context.Context, h Handler, peer vm.ID, raw json.RawMessage) (result any, err error) {
	defer func() {
		if p := recover(); p != nil {
			s.log.WithField("panic", p).Error("A control handler panicked.")
			err = errors.New("internal error")
		}
	}()
	return h(ctx, peer, raw)
}

// authenticated returns the peer's ID, or "" before authentication.
func (c *session) authenticated() vm.ID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peer
}

// handleHello serves link.hello. It returns an error if the dialer means to reach
// another VM, for instance because this VM reuses that VM's address.
func (c *session) handleHello(raw json.RawMessage) (helloReply, error) {
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
	c.expectedProof = s.secret.proof(dialer, hello.From, s.self, hello.Challenge, challenge)
	c.mu.Unlock()
	return helloReply{
		Challenge: challenge,
		Proof:     s.secret.proof(acceptor, hello.From, s.self, hello.Challenge, challenge),
	}, nil
}

// handleProve serves link.prove. A correct proof authenticates the connection and
// lifts the handshake's deadline; otherwise the connection is closed.
func (c *session) handleProve(raw json.RawMessage) (struct{}, error) {
	var p proveParams
	err := json.Unmarshal(raw, &p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || c.expectedProof == "" || !equalProof(p.Proof, c.expectedProof) {
		_ = c.conn.Close()
		return struct{}{}, ErrAuthentication
	}
	c.peer = c.hello.From
	_ = c.conn.SetDeadline(time.Time{})
	return struct{}{}, nil
}
