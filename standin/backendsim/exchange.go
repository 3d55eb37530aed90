package backendsim

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sourcegraph/conc"
)

// maxBodyBytes is the maximum number of bytes (8 MiB) that a server reads of a
// request body.
const maxBodyBytes = 8 << 20

// serverRequest is a request that a server has read completely.
type serverRequest struct {
	*http.Request
	body        []byte
	operationID string
	receivedAt  time.Time
}

// serve handles the requests of one connection, one after the other, until the
// connection closes. incarnation is the one that accepted the connection.
func (s *Server) serve(conn net.Conn, incarnation int) {
	reader := bufio.NewReader(conn)
	for {
		req, err := readRequest(reader)
		if err != nil {
			return
		}
		// closeWatcher closes clientGone if the client closes the connection
		// before its response. It ends when the first byte of the next request
		// arrives or the connection closes.
		clientGone := make(chan struct{})
		var closeWatcher conc.WaitGroup
		closeWatcher.Go(func() {
			if _, err := reader.Peek(1); err != nil {
				close(clientGone)
			}
		})
		keepAlive := s.handle(conn, req, incarnation, clientGone)
		if !keepAlive {
			_ = conn.Close()
		}
		closeWatcher.Wait()
		if !keepAlive {
			return
		}
	}
}

// readRequest reads a request and up to maxBodyBytes of its body. The request ID
// serves as operation ID if the request has none.
func readRequest(reader *bufio.Reader) (serverRequest, error) {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return serverRequest{}, err
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes))
	if err != nil {
		return serverRequest{}, err
	}
	operationID := req.Header.Get(HeaderOperationID)
	if operationID == "" {
		operationID = req.Header.Get(HeaderRequestID)
	}
	return serverRequest{req, body, operationID, time.Now()}, nil
}

// handle sends the response to one request and reports whether the connection
// stays open.
func (s *Server) handle(conn net.Conn, req serverRequest, incarnation int, clientGone <-chan struct{}) bool {
	if req.URL.Path == "/health" || req.URL.Path == "/load" {
		return s.writeReport(conn, req)
	}
	now := time.Now()
	var a admission
	var instance string
	var executionNumber int64
	s.host.states.DoExisting(s.id, func(st *state) {
		a = st.admit(now, incarnation)
		instance, executionNumber = st.instance(), st.counters.Executions
	})
	reply := response{requestID: req.Header.Get(HeaderRequestID), instance: instance, closeConnection: req.Close}
	switch a.decision {
	case closeStaleConnection:
		return false
	case rejectNoSlot, rejectDraining:
		reply.status, reply.notExecuted = http.StatusServiceUnavailable, true
		reply.closeConnection = reply.closeConnection || a.decision == rejectDraining
		return reply.writeTo(conn) == nil && !reply.closeConnection
	}
	key := s.host.recordStart(s.newExecution(req, a, instance, now), executionNumber)
	result := s.execute(req, a, clientGone)
	// The slot is released before the response is sent. A client that sends its
	// next request when it has received a response then always finds a free slot.
	// Otherwise the server would reject requests of a client that never exceeds
	// the number of slots.
	result = s.finishExecution(key, a, result)
	reply.status = http.StatusOK
	reply.body = Answer(req.operationID, s.config.AnswerBytes)
	return s.send(conn, a, reply, result) && !reply.closeConnection
}

// finishExecution releases the slot and records the end of the execution. It
// returns the final result, which is ServerStopped if the incarnation has ended.
func (s *Server) finishExecution(key string, a admission, result ExecutionResult) ExecutionResult {
	s.host.states.DoExisting(s.id, func(st *state) { result = st.finishExecution(a.incarnation, result) })
	s.host.recordEnd(key, result)
	return result
}

// newExecution returns the record of an admitted request that starts to execute.
func (s *Server) newExecution(req serverRequest, a admission, instance string, now time.Time) Execution {
	return Execution{
		Server: s.id, Instance: instance, RequestID: req.Header.Get(HeaderRequestID),
		OperationID: req.operationID, Attempt: req.Header.Get(HeaderAttempt), Team: req.Header.Get(HeaderTeam), Method: req.Method,
		Target: req.RequestURI, Start: now, InFlight: a.inFlight, Cold: a.cold, ConcurrencyLimit: a.concurrencyLimit,
		Draining: a.mode.Draining, Secrets: s.findSecrets(req), Result: Running,
	}
}

// findSecrets returns the parts of the request that contain a configured secret,
// sorted: header names, "target" and "body".
func (s *Server) findSecrets(req serverRequest) []string {
	var found []string
	for _, secret := range s.config.Secrets {
		for name, values := range req.Header {
			if strings.Contains(strings.Join(values, "\n"), secret) {
				found = append(found, name)
			}
		}
		if strings.Contains(req.RequestURI, secret) {
			found = append(found, "target")
		}
		if bytes.Contains(req.body, []byte(secret)) {
			found = append(found, "body")
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// isPoison reports whether the request is marked to crash the server.
func (req serverRequest) isPoison() bool {
	return req.Header.Get(HeaderPoison) != "" || bytes.Contains(req.body, []byte(BodyPoison))
}

// writeReport responds to /health and /load and reports whether the connection
// stays open. These requests use no slot.
func (s *Server) writeReport(conn net.Conn, req serverRequest) bool {
	var r report
	var instance string
	s.host.states.DoExisting(s.id, func(st *state) {
		r, instance = st.currentReport(time.Now()), st.instance()
	})
	reply := response{status: http.StatusOK, instance: instance, closeConnection: req.Close}
	if !r.healthy {
		reply.status = http.StatusServiceUnavailable
	}
	reply.body = fmt.Appendf(nil, `{"healthy":%t,"load":%.3f}`, r.healthy, r.load)
	return reply.writeTo(conn) == nil && !reply.closeConnection
}

// execute simulates the execution of an admitted request, without its response,
// and returns the result.
func (s *Server) execute(req serverRequest, a admission, clientGone <-chan struct{}) ExecutionResult {
	if a.decision == crashOverloaded {
		s.restart(a.incarnation, s.restartDelay())
		return ServerStopped
	}
	if a.fault == faultHang {
		<-clientGone // closed when the client, a restart or Close closes the connection
		return Canceled
	}
	if result := waitInterruptibly(a.serviceTime, req.timeToDeadline(), clientGone); result != Served {
		return result
	}
	if req.isPoison() {
		s.host.states.DoExisting(s.id, func(st *state) { st.counters.Crashes++ })
		s.restart(a.incarnation, s.restartDelay())
		return ServerStopped
	}
	if a.fault == faultLate {
		return waitInterruptibly(time.Duration(a.mode.LateMillis)*time.Millisecond, noDeadline, clientGone)
	}
	return a.fault.result()
}

// result returns the result of a completed execution that has the fault.
func (f fault) result() ExecutionResult {
	switch f {
	case faultError:
		return Failed
	case faultTruncated:
		return Truncated
	case faultReset:
		return ResetAfterExecution
	case faultResponseMismatch:
		return ResponseMismatch
	default:
		return Served
	}
}

// restartDelay returns how long the server refuses connections after a crash.
func (s *Server) restartDelay() time.Duration {
	return time.Duration(s.config.RestartMillis) * time.Millisecond
}

// send writes the response that corresponds to the result, if there is one, and
// reports whether the connection can carry another request.
func (s *Server) send(conn net.Conn, a admission, r response, result ExecutionResult) bool {
	switch result {
	case Failed:
		r.status, r.body = http.StatusInternalServerError, []byte("simulated error\n")
	case Truncated:
		_ = r.writeTruncated(conn, a.mode.TruncatedChunked)
		return false
	case ResetAfterExecution:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the kernel sends RST instead of FIN
		}
		return false
	case Served, ResponseMismatch:
		var previous response
		s.host.states.DoExisting(s.id, func(st *state) { previous = st.swapPreviousResponse(r) })
		if result == ResponseMismatch && previous.status != 0 {
			r = previous
		}
	default: // Canceled, DeadlinePassed or ServerStopped: no response
		return false
	}
	return r.writeTo(conn) == nil
}

// noDeadline is the time to the deadline of a request that has none.
const noDeadline = time.Hour

// timeToDeadline returns the time until the deadline in HeaderDeadline, which is
// in milliseconds after the request was received, or noDeadline.
func (req serverRequest) timeToDeadline() time.Duration {
	millis, err := strconv.Atoi(req.Header.Get(HeaderDeadline))
	if err != nil {
		return noDeadline
	}
	return time.Until(req.receivedAt.Add(time.Duration(millis) * time.Millisecond))
}

// waitInterruptibly waits for the duration and returns Served. It returns early
// with DeadlinePassed after timeToDeadline, or with Canceled when clientGone is
// closed.
func waitInterruptibly(duration, timeToDeadline time.Duration, clientGone <-chan struct{}) ExecutionResult {
	result := Served
	if timeToDeadline < duration {
		duration, result = timeToDeadline, DeadlinePassed
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return result
	case <-clientGone:
		return Canceled
	}
}
