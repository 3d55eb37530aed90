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

// maxBody bounds what a server reads of one request.
const maxBody = 8 << 20

// incoming is one parsed request.
type incoming struct {
	*http.Request
	body      []byte
	operation string
	arrived   time.Time
}

// serve handles the requests of one connection, one after the other.
func (s *Server) serve(conn net.Conn, incarnation int) {
	reader := bufio.NewReader(conn)
	for {
		req, err := readIncoming(reader)
		if err != nil {
			return
		}
		// The watcher notices a client that closes while it waits. It ends with
		// the next request's first byte or with the connection.
		gone := make(chan struct{})
		var watcher conc.WaitGroup
		watcher.Go(func() {
			if _, err := reader.Peek(1); err != nil {
				close(gone)
			}
		})
		keep := s.handle(conn, req, incarnation, gone)
		if !keep {
			_ = conn.Close()
		}
		watcher.Wait()
		if !keep {
			return
		}
	}
}

func readIncoming(reader *bufio.Reader) (incoming, error) {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return incoming{}, err
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBody))
	if err != nil {
		return incoming{}, err
	}
	operation := req.Header.Get(HeaderOperationID)
	if operation == "" {
		operation = req.Header.Get(HeaderRequestID)
	}
	return incoming{req, body, operation, time.Now()}, nil
}

// handle answers one request and reports whether the connection stays open.
func (s *Server) handle(conn net.Conn, req incoming, incarnation int, gone <-chan struct{}) bool {
	if req.URL.Path == "/health" || req.URL.Path == "/load" {
		return s.report(conn, req)
	}
	now := time.Now()
	var a admission
	var instance string
	var number int64
	s.host.states.DoExisting(s.id, func(st *state) {
		a = st.admit(now, incarnation)
		instance, number = st.instance(), st.counters.Executions
	})
	reply := response{requestID: req.Header.Get(HeaderRequestID), instance: instance, closing: req.Close}
	switch a.verdict {
	case staleConnection:
		return false
	case shed, refuseDraining:
		reply.status, reply.notRun = http.StatusServiceUnavailable, true
		reply.closing = reply.closing || a.verdict == refuseDraining
		return reply.writeTo(conn) == nil && !reply.closing
	}
	key := s.host.begin(s.record(req, a, instance, now), number)
	result := s.work(req, a, gone)
	// The slot is free before the client can see the response, so that a client
	// that counts slots exactly never finds more requests here than it counts.
	result = s.complete(key, a, result)
	reply.status = http.StatusOK
	reply.body = Answer(req.operation, s.config.AnswerBytes)
	return s.send(conn, a, reply, result) && !reply.closing
}

// complete frees the slot and completes the record.
func (s *Server) complete(key string, a admission, result ExecutionResult) ExecutionResult {
	s.host.states.DoExisting(s.id, func(st *state) { result = st.finish(a.incarnation, result) })
	s.host.end(key, result)
	return result
}

func (s *Server) record(req incoming, a admission, instance string, now time.Time) Execution {
	return Execution{
		Server: s.id, Instance: instance, RequestID: req.Header.Get(HeaderRequestID),
		OperationID: req.operation, Attempt: req.Header.Get(HeaderAttempt), Team: req.Header.Get(HeaderTeam), Method: req.Method,
		Target: req.RequestURI, Start: now, InFlight: a.inFlight, Cold: a.cold, Bearable: a.bearable,
		Draining: a.mode.Draining, Secrets: s.findSecrets(req), Result: Running,
	}
}

// findSecrets returns the places of the request that hold a secret.
func (s *Server) findSecrets(req incoming) []string {
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

func (req incoming) poisonous() bool {
	return req.Header.Get(HeaderPoison) != "" || bytes.Contains(req.body, []byte(BodyPoison))
}

// report answers /health and /load, which take no slot.
func (s *Server) report(conn net.Conn, req incoming) bool {
	var r report
	var instance string
	s.host.states.DoExisting(s.id, func(st *state) {
		r, instance = st.currentReport(time.Now()), st.instance()
	})
	reply := response{status: http.StatusOK, instance: instance, closing: req.Close}
	if !r.healthy {
		reply.status = http.StatusServiceUnavailable
	}
	reply.body = fmt.Appendf(nil, `{"healthy":%t,"load":%.3f}`, r.healthy, r.load)
	return reply.writeTo(conn) == nil && !reply.closing
}

// work runs an admitted request up to the point where its response is due.
func (s *Server) work(req incoming, a admission, gone <-chan struct{}) ExecutionResult {
	if a.verdict == fallOver {
		s.restart(a.incarnation, s.restartTime())
		return ServerEnded
	}
	if a.fault == faultHang {
		<-gone // ends when the client, a restart or Close closes the connection
		return Canceled
	}
	if end := wait(a.serviceTime, req.timeLeft(), gone); end != Served {
		return end
	}
	if req.poisonous() {
		s.host.states.DoExisting(s.id, func(st *state) { st.counters.Crashes++ })
		s.restart(a.incarnation, s.restartTime())
		return ServerEnded
	}
	if a.fault == faultLate {
		return wait(time.Duration(a.mode.LateMillis)*time.Millisecond, noLimit, gone)
	}
	return a.fault.result()
}

// result returns how an execution with the fault ends.
func (f fault) result() ExecutionResult {
	switch f {
	case faultError:
		return Failed
	case faultTruncated:
		return Truncated
	case faultReset:
		return ResetAfter
	case faultCrossed:
		return Crossed
	default:
		return Served
	}
}

func (s *Server) restartTime() time.Duration {
	return time.Duration(s.config.RestartMillis) * time.Millisecond
}

// send writes the response that belongs to the result and reports whether the
// connection can be used again.
func (s *Server) send(conn net.Conn, a admission, r response, result ExecutionResult) bool {
	switch result {
	case Failed:
		r.status, r.body = http.StatusInternalServerError, []byte("simulated error\n")
	case Truncated:
		_ = r.writeTruncated(conn, a.mode.TruncatedChunked)
		return false
	case ResetAfter:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the kernel sends RST instead of FIN
		}
		return false
	case Served, Crossed:
		var before response
		s.host.states.DoExisting(s.id, func(st *state) { before = st.swapPrevious(r) })
		if result == Crossed && before.status != 0 {
			r = before
		}
	default: // canceled, past its deadline, or the server went down
		return false
	}
	return r.writeTo(conn) == nil
}

// noLimit stands for a request without a deadline.
const noLimit = time.Hour

// timeLeft returns the time until the deadline that the request carries.
func (req incoming) timeLeft() time.Duration {
	millis, err := strconv.Atoi(req.Header.Get(HeaderDeadline))
	if err != nil {
		return noLimit
	}
	return time.Until(req.arrived.Add(time.Duration(millis) * time.Millisecond))
}

// wait lets the work take its time and returns Served if it was not cut short.
func wait(work, limit time.Duration, gone <-chan struct{}) ExecutionResult {
	end := Served
	if limit < work {
		work, end = limit, PastLimit
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
		return end
	case <-gone:
		return Canceled
	}
}
