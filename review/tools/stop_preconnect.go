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

// Load of stopPreconnect. The times count from the SIGTERM.
const (
	preconnectClients   = 60
	preconnectUpstreams = 12
	preconnectDeadline  = 5 * time.Second
	// preconnectAt is when the clients open their connections. The platform sends new
	// connections to a VM until it has missed two questions, one each second.
	preconnectAt = time.Second
	// preconnectFirst and preconnectLast are when the clients send their requests.
	preconnectFirst, preconnectLast = 4700 * time.Millisecond, 5400 * time.Millisecond
	// excusedUntil is the time up to which a VM may cut a request at which its upstream is
	// at work in the last sixth of grace-s.
	excusedUntil = 3 * time.Second
)

// stopPreconnect lets clients open connections to a VM and send one unsafe request on each
// some seconds later. With trouble, the VM gets SIGTERM just before.
func stopPreconnect(f *fleet, trouble bool) (verdict, error) {
	f.configure(route{prefix: "/loan/", kind: "unsafe", service: "loandesk", timeoutS: 5, targetLatencyS: 0.8})
	for i := range preconnectUpstreams {
		_, err := f.addUpstream("loandesk", zones[i%len(zones)], 3, 12, 400, func(*http.Request) time.Duration {
			return 250*time.Millisecond + rand.N(400*time.Millisecond)
		})
		if err != nil {
			return noRun, err
		}
	}
	if err := f.startVMs(3); err != nil {
		return noRun, err
	}
	stopAt := time.Now()
	if trouble {
		f.note("SIGTERM to VM 0")
		if err := f.vms[0].cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return noRun, err
		}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost, sent := 0, 0
	for i := range preconnectClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Until(stopAt.Add(preconnectAt)))
			nc, err := net.DialTimeout("tcp4", f.address(1, frontPort), time.Second)
			if err != nil {
				f.note("a client cannot connect: %v", err)
				return
			}
			defer nc.Close()
			spread := (preconnectLast - preconnectFirst) * time.Duration(i) / preconnectClients
			time.Sleep(time.Until(stopAt.Add(preconnectFirst + spread)))
			id := newID()
			_ = nc.SetDeadline(time.Now().Add(preconnectDeadline))
			sentAt := time.Since(stopAt)
			_, err = io.WriteString(nc, requestText(http.MethodPost, "/loan/"+id, id, preconnectDeadline, "pair=1"))
			a := answer{err: err}
			if err == nil {
				a = readAnswer(bufio.NewReader(nc))
			}
			endedAt := time.Since(stopAt)
			runs := f.log.of(id)
			mu.Lock()
			defer mu.Unlock()
			f.note("request %s sent %.3f s after the SIGTERM, ended at %.3f s, status %d, error %v, ran%s",
				id, sentAt.Seconds(), endedAt.Seconds(), a.status, a.err, f.describe(runs))
			sent++
			if a.status == 0 && len(runs) > 0 && sentAt > excusedUntil {
				lost++
			}
		}()
	}
	wg.Wait()
	if sent < preconnectClients/2 {
		return noRun, fmt.Errorf("%d of %d clients could connect", sent, preconnectClients)
	}
	f.note("requests %d; LOST (passed on to an upstream, no complete answer) %d", sent, lost)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
