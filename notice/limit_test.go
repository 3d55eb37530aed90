package notice_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"almondstile/notice"
	"almondstile/placement"
	"almondstile/tally"
)

var epoch = time.Unix(100000, 0)

// limitedServer simulates VMs that send requests to a service with one server that
// states a limit, and learn of each other's requests with a delay.
type limitedServer struct {
	rng      *rand.Rand
	limit    float64
	arrivals float64 // requests per second for the service, over all VMs
	subject  tally.Subject
	vms      []*limitedVM
	sends    []time.Duration // by VMs that got a response with the limit before
	total    int             // after the contact time, by all VMs
	reports  []report
	// cutUntil is the time until which the VMs of the first zone are cut off from the
	// others.
	cutUntil time.Duration
}

type limitedVM struct {
	board notice.Board
	zone  int
	// knows is the time of the first response with a limit that the VM received; 0
	// before.
	knows time.Duration
}

// report is a VM's counts that another VM receives.
type report struct {
	at     time.Duration
	to     *limitedVM
	counts tally.Counts
	resent bool
}

const (
	limitZones   = 3
	responseTime = 150 * time.Millisecond
	contact      = 3 * time.Second
	window       = 4 * time.Second
	playTime     = 20 * time.Second
)

func (s *limitedServer) share(v *limitedVM, now time.Duration) float64 {
	if now >= s.cutUntil {
		return 1
	}
	if v.zone == 0 {
		return 1.0 / limitZones
	}
	return 1 - 1.0/limitZones
}

// spread reports counts to the other VMs, after the delay of messages.
func (s *limitedServer) spread(from *limitedVM, now time.Duration, counts tally.Counts) {
	for _, to := range s.vms {
		if to == from {
			continue
		}
		delay := 30*time.Millisecond + time.Duration(s.rng.Int64N(int64(200*time.Millisecond)))
		cut := now < s.cutUntil && (to.zone == 0) != (from.zone == 0)
		if cut {
			delay += s.cutUntil - now
		}
		s.reports = append(s.reports, report{now + delay, to, counts, cut})
	}
}

// request handles one request at the VM.
func (s *limitedServer) request(v *limitedVM, now time.Duration) {
	at := epoch.Add(now)
	if v.board.Limited(s.subject) {
		left := v.board.Pace(at, s.subject, s.share(v, now))
		if s.rng.Float64() >= placement.AdmitProbability(left, s.arrivals) {
			return
		}
	} else if s.rng.IntN(3) > 0 {
		return // to another server of the service
	}
	if v.board.RecordSend(s.subject) {
		s.spread(v, now, tally.Counts{tally.LimitedSends: 1})
	}
	if now >= contact {
		s.total++
	}
	if v.knows > 0 && now > v.knows+500*time.Millisecond {
		s.sends = append(s.sends, now)
	}
	s.reports = append(s.reports, report{at: now + responseTime, to: v, counts: tally.Counts{}})
}

// receive handles a report, or the response to a request if the report is empty.
func (s *limitedServer) receive(r report, now time.Duration) {
	at := epoch.Add(now)
	if r.counts != (tally.Counts{}) {
		r.to.board.RecordRemote(at, s.subject, r.counts, r.resent)
		return
	}
	if r.to.knows == 0 {
		r.to.knows = now
	}
	n := notice.Notice{MaxPerSecond: s.limit}
	s.spread(r.to, now, notice.Counters(n, r.to.board.Record(at, s.subject, n)))
}

// run plays playTime. From 8 s to 11 s a zone is cut off; at 14 s a third of the VMs
// start anew.
func (s *limitedServer) run() {
	const step = 5 * time.Millisecond
	for now := step; now < playTime; now += step {
		if now == 8*time.Second {
			s.cutUntil = 11 * time.Second
		}
		if now == 14*time.Second {
			for i := 0; i < len(s.vms); i += 3 {
				*s.vms[i] = limitedVM{zone: s.vms[i].zone}
			}
		}
		pending := s.reports
		s.reports = nil
		for _, r := range pending {
			if r.at <= now {
				s.receive(r, now)
			} else {
				s.reports = append(s.reports, r)
			}
		}
		for n := s.arrivals * step.Seconds(); n > 0; n-- {
			if s.rng.Float64() < n {
				s.request(s.vms[s.rng.IntN(len(s.vms))], now)
			}
		}
	}
}

// mostInWindow returns the most requests that the server got in a window that starts
// after the contact time.
func (s *limitedServer) mostInWindow() int {
	most := 0
	for i, from := range s.sends {
		if from < contact {
			continue
		}
		n := 0
		for _, at := range s.sends[i:] {
			if at-from < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against servers that state a limit and get more requests than that from all
// VMs together, because each VM sees only its own requests in time. The bound is the
// operators': one and a half times what the limit allows in 4 s, plus 5. Also guards
// against a limit that leaves the server idle: at least half of it is used.
func TestLimitOfServerHoldsOverAllVMs(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{12, 36, 98} {
		for _, limit := range []float64{1, 2.8, 6} {
			for _, arrivals := range []float64{14, 95, 320} {
				for seed := uint64(1); seed <= 3; seed++ {
					s := &limitedServer{rng: rand.New(rand.NewPCG(seed, 5)), limit: limit, arrivals: arrivals, subject: notice.SubjectOf("a", 1)}
					for i := range vms {
						s.vms = append(s.vms, &limitedVM{zone: i % limitZones})
					}
					s.run()
					allowed := int(1.5*limit*window.Seconds()) + 5
					if most := s.mostInWindow(); most > allowed {
						t.Errorf("%d VMs, limit %v, %v requests/s, seed %d: %d requests in 4 s, allowed %d", vms, limit, arrivals, seed, most, allowed)
					}
					if least := int(limit * (playTime - contact).Seconds() / 2); s.total < least {
						t.Errorf("%d VMs, limit %v, %v requests/s, seed %d: %d requests, want at least %d", vms, limit, arrivals, seed, s.total, least)
					}
				}
			}
		}
	}
}
