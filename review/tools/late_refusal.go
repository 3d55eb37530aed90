package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Load and disruption of lateRefusal. Each disruption stays within the largest dose of the
// users' site files; both come in windows, once in each disruptionPeriod.
const (
	refusalLength    = 100 * time.Second
	refusalServices  = 14
	refusalUpstreams = 2  // of each service
	refusalPerS      = 20 // requests to each service
	refusalDeadline  = 5 * time.Second
	refusalBodyBytes = 400

	disruptionPeriod = 10 * time.Second
	shedWindow       = 8500 * time.Millisecond // srv_grey, how "shed all"
	shedShare        = 0.3
	extraWindow      = 5 * time.Second // garble, how "extra late"
	extraShare       = 0.03
	extraDelay       = 20 * time.Millisecond
)

// lateRefusal sends unsafe requests to services with two upstreams each. With trouble,
// upstreams refuse a part of the requests, and one upstream of each service sends some of
// its answers a second time, a little later.
func lateRefusal(f *fleet, trouble bool) (verdict, error) {
	var routes []route
	for s := range refusalServices {
		routes = append(routes, route{prefix: fmt.Sprintf("/loan%d/", s), kind: "unsafe", service: fmt.Sprintf("loandesk%d", s),
			timeoutS: 5, targetLatencyS: 0.8})
	}
	f.configure(routes...)
	var garbled []*upstream
	for s := range refusalServices {
		for i := range refusalUpstreams {
			u, err := f.addUpstream(routes[s].service, zones[(s+i)%len(zones)], 3, 12, refusalBodyBytes, func(*http.Request) time.Duration {
				return 100*time.Millisecond + rand.N(160*time.Millisecond)
			})
			if err != nil {
				return noRun, err
			}
			if i == 0 {
				garbled = append(garbled, u)
			}
		}
	}
	if err := f.startVMs(3); err != nil {
		return noRun, err
	}
	began := time.Now()
	if trouble {
		stop := f.everyPeriod(disruptionPeriod, func(in time.Duration) {
			for _, u := range f.ups {
				u.setShedShare(shareWithin(in, shedWindow, shedShare))
			}
			for _, u := range garbled {
				u.setExtra(shareWithin(in, extraWindow, extraShare), extraDelay)
			}
		})
		defer stop()
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]answer{}
	tick := time.NewTicker(time.Second / (refusalPerS * refusalServices))
	defer tick.Stop()
	for n := 0; time.Since(began) < refusalLength; n++ {
		<-tick.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			id, sentAt := newID(), time.Now()
			a := sendOnce(f.address(1+rand.IntN(3), frontPort), http.MethodPost, routes[n%refusalServices].prefix+id, id, refusalDeadline, "pair=1")
			mu.Lock()
			answers[id] = a
			f.note("request %s was sent %.3f s ago, status %d, error %v", id, time.Since(sentAt).Seconds(), a.status, a.err)
			mu.Unlock()
		}()
	}
	wg.Wait()
	time.Sleep(2 * time.Second) // what is still queued at upstreams runs
	return f.judgeUnsafe(answers), nil
}

// shareWithin returns the share in a window at the start of a period, and 0 after it.
func shareWithin(in, window time.Duration, share float64) float64 {
	if in < window {
		return share
	}
	return 0
}

// judgeUnsafe checks the rules TWICE, REFUSED and MIXED for requests that may run once.
func (f *fleet) judgeUnsafe(answers map[string]answer) verdict {
	statuses, twice, refusedAndRun, foreign := map[int]int{}, 0, 0, 0
	for id, a := range answers {
		statuses[a.status]++
		runs := f.log.of(id)
		if len(runs) > 1 {
			twice++
			f.note("TWICE: request %s, status %d, ran%s", id, a.status, f.describe(runs))
		}
		switch a.status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if len(runs) > 0 {
				refusedAndRun++
				f.note("REFUSED: request %s, status %d, ran%s", id, a.status, f.describe(runs))
			}
		case http.StatusOK:
			if a.body != body(id, refusalBodyBytes) {
				foreign++
				f.note("MIXED: request %s got another body", id)
			}
		}
	}
	f.noteRuns()
	extras, refusals := 0, 0
	for _, u := range f.ups {
		extras, refusals = extras+u.extras, refusals+u.refusals
	}
	f.note("requests %d, answers by status %v (0: none), second copies %d, refusals of upstreams %d", len(answers), statuses, extras, refusals)
	f.note("run twice %d, answered as not run although run %d, wrong body %d", twice, refusedAndRun, foreign)
	if statuses[http.StatusOK] < len(answers)/4 {
		f.note("fewer than a quarter of the requests were served")
		return noRun
	}
	if twice+refusedAndRun+foreign > 0 {
		return broken
	}
	return held
}
