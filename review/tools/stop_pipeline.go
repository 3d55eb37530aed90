package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Load of stopPipeline.
const (
	pipelineClients   = 60
	pipelineUpstreams = 12
	pipelineDeadline  = 8 * time.Second
	// pipelineBodyBytes is the largest answer to a safe request of the users' site files.
	pipelineBodyBytes = 30000
	// pipelineWindow is the receive buffer of a client's socket in bytes. The users' links
	// have small windows.
	pipelineWindow = 16384
	// pipelineGap is the time between the two requests of a client.
	pipelineGap = 20 * time.Millisecond
	// pipelineStopAfter is the time from the first requests to the SIGTERM. No request is
	// answered by then.
	pipelineStopAfter = 150 * time.Millisecond
)

// pipelinedRequest is the first of two safe requests on one connection.
type pipelinedRequest struct {
	id, second  string
	sent, ended time.Duration
	answer      answer
}

// stopPipeline lets clients send two safe requests each on a connection, the second before
// the first is answered. With trouble, the VM gets SIGTERM before the first answers.
func stopPipeline(f *fleet, trouble bool) (verdict, error) {
	f.configure(route{prefix: "/history/", kind: "safe", service: "borrowerbook", timeoutS: 8, targetLatencyS: 1.2})
	for i := range pipelineUpstreams {
		_, err := f.addUpstream("borrowerbook", zones[i%len(zones)], 3, 12, pipelineBodyBytes, func(*http.Request) time.Duration {
			return 300*time.Millisecond + rand.N(300*time.Millisecond)
		})
		if err != nil {
			return noRun, err
		}
	}
	if err := f.startVMs(3); err != nil {
		return noRun, err
	}
	var wg sync.WaitGroup
	requests := make([]pipelinedRequest, pipelineClients)
	for i := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.sendPipelined(&requests[i])
		}()
	}
	time.Sleep(pipelineStopAfter)
	if trouble {
		f.note("SIGTERM to VM 0")
		if err := f.vms[0].cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return noRun, err
		}
	}
	wg.Wait()
	lost, unreached := 0, 0
	for _, r := range requests {
		runs := f.log.of(r.id)
		f.note("request %s sent at %.3f, ended at %.3f, status %d with %d of %d bytes, error %v, ran%s",
			r.id, r.sent.Seconds(), r.ended.Seconds(), r.answer.status, len(r.answer.body), pipelineBodyBytes, r.answer.err, f.describe(runs))
		f.note("   behind it request %s, ran%s", r.second, f.describe(f.log.of(r.second)))
		if r.answer.status == 0 && len(runs) > 0 {
			lost++
		}
		if len(runs) == 0 {
			unreached++
		}
	}
	if unreached > pipelineClients/2 {
		return noRun, fmt.Errorf("%d of %d requests reached no upstream", unreached, pipelineClients)
	}
	f.note("first requests %d; LOST (passed on to an upstream, no complete answer) %d", len(requests), lost)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

// sendPipelined sends two requests on a new connection to VM 0 and reads the first answer.
func (f *fleet) sendPipelined(r *pipelinedRequest) {
	r.id = newID()
	r.second = newID()
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, pipelineWindow)
		})
	}}
	nc, err := dialer.Dial("tcp4", f.address(1, frontPort))
	if err != nil {
		r.answer.err = err
		return
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(pipelineDeadline))
	r.sent = time.Since(f.began)
	_, err = io.WriteString(nc, requestText(http.MethodGet, "/history/"+r.id, r.id, pipelineDeadline, ""))
	if err == nil {
		time.Sleep(pipelineGap)
		_, err = io.WriteString(nc, requestText(http.MethodGet, "/history/"+r.second, r.second, pipelineDeadline, ""))
	}
	r.answer = answer{err: err}
	if err == nil {
		r.answer = readAnswer(bufio.NewReader(nc))
	}
	r.ended = time.Since(f.began)
}
