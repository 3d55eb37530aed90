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

// callResult is the outcome of one request as its caller sees it: the response,
// or the error that occurred instead.
type callResult struct {
	status          int
	outcome, reason string
	body            []byte
	method, path    string
	operationID     string
	// localAddr is the caller's address on the connection that carried the
	// request. Two requests with the same value shared a connection.
	localAddr string
	err       error
}

func (g callResult) String() string {
	if g.err != nil {
		return g.err.Error()
	}
	return fmt.Sprintf("status %d, outcome %q, reason %q, %d bytes", g.status, g.outcome, g.reason, len(g.body))
}

// gotFullResponse reports whether the response has status 200 and outcome
// "answered", and its body is the backend server's complete response to this
// operation.
func (g callResult) gotFullResponse() bool {
	return g.status == http.StatusOK && g.outcome == "answered" &&
		bytes.Equal(g.body, backendsim.Answer(g.operationID, backendsim.DefaultAnswerBytes))
}

// rejectedWith reports whether the response has the status and the reason, and
// says that the request was not executed.
func (g callResult) rejectedWith(status int, reason string) bool {
	return g.status == status && g.outcome == "not-run" && g.reason == reason
}

// caller sends requests over keep-alive connections. net/http retries a request
// by itself only if the server closed a reused connection before it read the
// request.
type caller struct{ client *http.Client }

func newCaller() caller {
	return caller{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 20 * time.Second}}
}

func (c caller) close() { c.client.CloseIdleConnections() }

// send sends a request with an empty body and a new operation ID, and reads the
// whole response. An empty credential sends no Authorization header.
func (c caller) send(method, url, credential string) callResult {
	g := callResult{method: method, operationID: uuid.NewString()}
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		g.err = err
		return g
	}
	g.path = req.URL.Path
	req.Header.Set(backendsim.HeaderOperationID, g.operationID)
	if credential != "" {
		req.Header.Set(header.Authorization, "Bearer "+credential)
	}
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { g.localAddr = i.Conn.LocalAddr().String() }}
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

// get sends one GET request on a new connection.
func get(url, credential string) callResult {
	c := newCaller()
	defer c.close()
	return c.send(http.MethodGet, url, credential)
}
