package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Load of gonePipeline.
const (
	goneClients = 60
	// goneLeave is the number of clients that leave, 0.3 of all.
	goneLeave                = 18
	goneRequests             = 3 // of each client
	goneUpstreams            = 12
	goneDeadline             = 8 * time.Second
	goneGap                  = 20 * time.Millisecond
	goneLeaveAt              = 300 * time.Millisecond
	goneMinWork, goneMaxWork = 1200 * time.Millisecond, 2 * time.Second
	// goneFew is the number of late requests that the rule lets pass.
	goneFew = 5
	// goneMargin is the time after a client has left within which its requests may still
	// reach upstreams and be worked on.
	goneMargin = 500 * time.Millisecond
)

// gonePipeline lets clients send three safe requests each on a connection, one after the
// other. With trouble, the clients leave before the first answer.
func gonePipeline(f *fleet, trouble bool) (verdict, error) {
	f.configure(route{prefix: "/history/", kind: "safe", service: "borrowerbook", timeoutS: 8, targetLatencyS: 1.2})
	for i := range goneUpstreams {
		_, err := f.addUpstream("borrowerbook", zones[i%len(zones)], 3, 12, 1500, func(*http.Request) time.Duration {
			return goneMinWork + rand.N(goneMaxWork-goneMinWork)
		})
		if err != nil {
			return noRun, err
		}
	}
	if err := f.startVMs(3); err != nil {
		return noRun, err
	}
	var wg sync.WaitGroup
	ids := make([][goneRequests]string, goneClients)
	left := make([]time.Time, goneClients)
	for i := range goneClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			nc, err := net.DialTimeout("tcp4", f.address(1+i%3, frontPort), time.Second)
			if err != nil {
				return
			}
			defer nc.Close()
			for k := range ids[i] {
				id := newID()
				ids[i][k] = id
				_, _ = io.WriteString(nc, requestText(http.MethodGet, "/history/"+id, id, goneDeadline, ""))
				time.Sleep(goneGap)
			}
			if trouble && i < goneLeave {
				time.Sleep(goneLeaveAt)
			} else {
				_ = nc.SetDeadline(time.Now().Add(goneDeadline))
				reader := bufio.NewReader(nc)
				for range goneRequests {
					if a := readAnswer(reader); a.err != nil {
						break
					}
				}
			}
			left[i] = time.Now() // the connection closes now
		}()
	}
	wg.Wait()
	time.Sleep(2 * goneMaxWork) // requests that are still passed on arrive at upstreams
	late, begun, finished, reached := 0, 0, 0, 0
	for i := range ids {
		for _, id := range ids[i] {
			runs := f.log.of(id)
			if len(runs) > 0 {
				reached++
			}
			f.note("request %s, its client closed at %.3f, ran%s", id, left[i].Sub(f.began).Seconds(), f.describe(runs))
			if !trouble || i >= goneLeave {
				continue
			}
			for _, r := range runs {
				f.note("   the client left early; worked on to the end %v, begun %.3f s after it had left", r.finished, r.at.Sub(left[i]).Seconds())
				switch {
				case r.at.After(left[i].Add(goneMargin)):
					late++
				case r.at.Before(left[i]):
					begun++
					if r.finished {
						finished++
					}
				}
			}
		}
	}
	f.note("requests %d of which reached upstreams %d", goneClients*goneRequests, reached)
	f.note("GONE: requests that reached an upstream over 0.5 s after their client had left %d; runs begun before the client left %d, worked on to the end %d", late, begun, finished)
	if reached < goneClients {
		return noRun, fmt.Errorf("%d requests reached upstreams", reached)
	}
	if late > goneFew || 4*finished > begun {
		return broken, nil
	}
	return held, nil
}
