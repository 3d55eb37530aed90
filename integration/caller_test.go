package integration

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"almondstile/header"
	"almondstile/standin/backendsim"

	"github.com/google/uuid"
)

// got is what a caller received.
type got struct {
	status          int
	outcome, reason string
	body            []byte
	method, path    string
	operation       string
	// local is the caller's end of the connection.
	local string
	err   error
}

func (g got) String() string {
	if g.err != nil {
		return g.err.Error()
	}
	return fmt.Sprintf("status %d, outcome %q, reason %q, %d bytes", g.status, g.outcome, g.reason, len(g.body))
}

// answered reports whether the response is a server's whole answer to this
// request.
func (g got) answered() bool {
	return g.status == http.StatusOK && g.outcome == "answered" &&
		bytes.Equal(g.body, backendsim.Answer(g.operation, backendsim.DefaultAnswerBytes))
}

func (g got) rejected(status int, reason string) bool {
	return g.status == status && g.outcome == "not-run" && g.reason == reason
}

// caller sends requests over connections that it keeps open. net/http repeats
// only requests on a kept connection that the server closed unread.
type caller struct{ client *http.Client }

func newCaller() caller {
	return caller{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 20 * time.Second}}
}

func (c caller) close() { c.client.CloseIdleConnections() }

func (c caller) send(method, url, credential string) got {
	g := got{method: method, operation: uuid.NewString()}
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		g.err = err
		return g
	}
	g.path = req.URL.Path
	req.Header.Set(backendsim.HeaderOperationID, g.operation)
	if credential != "" {
		req.Header.Set(header.Authorization, "Bearer "+credential)
	}
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { g.local = i.Conn.LocalAddr().String() }}
	resp, err := c.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		g.err = err
		return g
	}
	defer func() { _ = resp.Body.Close() }()
	g.status, g.outcome, g.reason = resp.StatusCode, resp.Header.Get(header.Outcome), resp.Header.Get(header.Reason)
	g.body, g.err = io.ReadAll(resp.Body)
	return g
}

// get sends one request on a connection of its own.
func get(url, credential string) got {
	c := newCaller()
	defer c.close()
	return c.send(http.MethodGet, url, credential)
}
