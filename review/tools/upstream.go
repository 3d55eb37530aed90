package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that an upstream began to work on.
type run struct {
	at       time.Time
	upstream string
	finished bool
	endedAt  time.Time
	// abandoned says that the connection was closed before the answer.
	abandoned bool
}

// runLog records by request ID which upstreams worked on the request.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]*run
}

func newRunLog() *runLog { return &runLog{runs: map[string][]*run{}} }

func (l *runLog) begin(id, upstream string) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &run{at: time.Now(), upstream: upstream}
	l.runs[id] = append(l.runs[id], r)
	return r
}

func (l *runLog) end(r *run, abandoned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.finished, r.abandoned, r.endedAt = !abandoned, abandoned, time.Now()
}

func (l *runLog) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []run
	for _, r := range l.runs[id] {
		out = append(out, *r)
	}
	return out
}

// upstream is a stand-in of a backend server. It works on as many requests at a time as it
// has slots, queues some more and refuses the rest.
type upstream struct {
	id, service, zone, address string
	slots                      chan struct{}
	places                     chan struct{} // slots and queue
	log                        *runLog
	// work returns how long a request takes.
	work func(r *http.Request) time.Duration
	// bodyBytes is the length of an answer's body.
	bodyBytes int

	mu sync.Mutex
	// extraShare is the share of answers that are sent twice; the second copy comes
	// extraDelay later.
	extraShare float64
	extraDelay time.Duration
	extras     int
	// shedShare is the share of requests that are refused although there is room.
	shedShare float64
	// hangShare is the share of requests that get no answer.
	hangShare float64
	refusals  int
}

// setShedShare sets the share of requests that the upstream refuses although it has room.
func (u *upstream) setShedShare(share float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.shedShare = share
}

// setHangShare sets the share of requests that the upstream begins and does not answer.
func (u *upstream) setHangShare(share float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.hangShare = share
}

// setExtra sets the share of answers that are sent twice, and how much later.
func (u *upstream) setExtra(share float64, delay time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.extraShare, u.extraDelay = share, delay
}

func (u *upstream) serve(listener net.Listener) {
	for {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		go u.serveConn(nc)
	}
}

// serveConn serves one request at a time.
func (u *upstream) serveConn(nc net.Conn) {
	defer nc.Close()
	requests := make(chan *http.Request)
	bodies := make(chan struct{})
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		reader := bufio.NewReader(nc)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			requests <- r
			<-bodies
			if _, err := reader.Peek(1); err != nil {
				return
			}
		}
	}()
	var write sync.Mutex
	send := func(answer string) {
		write.Lock()
		defer write.Unlock()
		_, _ = io.WriteString(nc, answer)
	}
	for {
		select {
		case <-closed:
			return
		case r := <-requests:
			bodies <- struct{}{}
			answer, ok := u.answer(r, closed)
			if !ok {
				return
			}
			send(answer)
			u.mu.Lock()
			extra := rand.Float64() < u.extraShare
			if extra {
				u.extras++
			}
			delay := u.extraDelay
			u.mu.Unlock()
			if extra {
				go func() { time.Sleep(delay); send(answer) }()
			}
		}
	}
}

// answer works on a request and returns the answer. ok is false if the connection was
// closed meanwhile; the request is dropped then.
func (u *upstream) answer(r *http.Request, closed <-chan struct{}) (answer string, ok bool) {
	id := r.Header.Get("X-Request-Id")
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != u.id {
		return u.head(421, id, "X-Not-Executed: 1\r\n", 0), true
	}
	u.mu.Lock()
	shed := rand.Float64() < u.shedShare
	if shed {
		u.refusals++
	}
	u.mu.Unlock()
	if shed {
		return u.head(503, id, "X-Not-Executed: 1\r\n", 0), true
	}
	select {
	case u.places <- struct{}{}:
		defer func() { <-u.places }()
	default:
		u.mu.Lock()
		u.refusals++
		u.mu.Unlock()
		return u.head(503, id, "X-Not-Executed: 1\r\n", 0), true
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-closed:
		return "", false
	}
	running := u.log.begin(id, u.id)
	u.mu.Lock()
	hangs := rand.Float64() < u.hangShare
	u.mu.Unlock()
	if hangs {
		<-closed
		u.log.end(running, true)
		return "", false
	}
	select {
	case <-time.After(u.work(r)):
	case <-closed:
		u.log.end(running, true)
		return "", false
	}
	u.log.end(running, false)
	return u.head(200, id, "X-Upstream-Signature: s."+id+"\r\n", u.bodyBytes) + body(id, u.bodyBytes), true
}

func (u *upstream) head(status int, id, fields string, length int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Upstream-Instance: %s\r\nKeep-Alive: timeout=10\r\n%sContent-Length: %s\r\n\r\n",
		status, http.StatusText(status), id, u.id, fields, strconv.Itoa(length))
}

// body returns the body of the answer to the request with the ID.
func body(id string, length int) string {
	b := make([]byte, length)
	for i := range b {
		b[i] = id[i%len(id)]
	}
	return string(b)
}
