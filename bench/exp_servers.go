package main

import (
	"time"

	"almondstile/bench/check"
	"almondstile/bench/load"
	"almondstile/contract"
	"almondstile/standin/backendsim"
)

// serverExperiments lists the experiments in which backend servers fail.
var serverExperiments = []Experiment{
	{
		Name: "gray-server", About: "servers of the first service become slow, failing and truncating, one after the other",
		Length: 65 * time.Second, Profile: firstServiceOnly, Steps: graySteps, Findings: grayFindings,
	},
	{
		Name: "healthy-noise", About: "60 s of 0.5% errors and a slowdown of the whole first service",
		Length: warmupTime + 60*time.Second, Profile: firstServiceOnly,
		Steps: func(*Run) []Step {
			return []Step{
				setAllModes(0, "0.5% errors at all servers", backendsim.Mode{ErrorShare: 0.005}),
				setAllModes(30*time.Second, "all servers 3 times slower", backendsim.Mode{ErrorShare: 0.005, SlowFactor: 3}),
				setAllModes(45*time.Second, "usual speed", backendsim.Mode{ErrorShare: 0.005}),
			}
		},
		Findings: func(r *Run, h *check.History) []check.Finding {
			return []check.Finding{r.falseEjections(h, warmupTime, warmupTime+60*time.Second), r.floor(h)}
		},
	},
	{
		Name: "cold-fleet", About: "all servers restart cold at once, under load",
		Length: 45 * time.Second,
		Steps: func(r *Run) []Step {
			return []Step{step(12*time.Second, "crash all servers", crashAllServers)}
		},
		Findings: func(r *Run, h *check.History) []check.Finding {
			share, samples := r.answeredShare(h, 25*time.Second, 45*time.Second, nil)
			return []check.Finding{measure("answered-from-13s-after", "share", share, samples)}
		},
	},
	{
		Name: "poison-request", About: "a caller repeats a request that crashes each server that runs it",
		Length:  45 * time.Second,
		Profile: func(_ *Run, p *load.Profile) { p.PoisonPerSecond = 0.5 },
		Findings: func(r *Run, h *check.History) []check.Finding {
			return []check.Finding{r.crashes()}
		},
	},
	{
		Name: "lost-answers", About: "servers cut connections after running the request, answer late or for another request; the store loses responses",
		Length: 45 * time.Second, Steps: lostAnswersSteps,
		Findings: func(r *Run, h *check.History) []check.Finding {
			share, samples := r.answeredShare(h, 12*time.Second, 32*time.Second, load.Call.Idempotent)
			return []check.Finding{measure("answered-idempotent", "share", share, samples)}
		},
	},
	{
		Name: "flapping", About: "half of the first service's servers fail in every second period of 2 s",
		Length: 60 * time.Second, Profile: firstServiceOnly, Steps: flappingSteps,
		Findings: func(r *Run, h *check.History) []check.Finding {
			share, samples := r.answeredShare(h, 20*time.Second, 50*time.Second, nil)
			return []check.Finding{r.floor(h), measure("answered-while-flapping", "share", share, samples)}
		},
	},
}

// firstServiceOnly sends the first service its share of the normal load and sends
// nothing to the other services.
func firstServiceOnly(r *Run, p *load.Profile) {
	total := 0
	for _, s := range r.Deployment.Services {
		total += s.LoadWeight
	}
	p.OnlyService = r.Deployment.Services[0].ID
	p.Scale = float64(r.Deployment.Services[0].LoadWeight) / float64(total)
}

const (
	slowFrom, slowUntil           = 12 * time.Second, 27 * time.Second
	failingFrom, failingUntil     = 30 * time.Second, 45 * time.Second
	truncatedFrom, truncatedUntil = 48 * time.Second, 63 * time.Second
)

// grayServers returns three servers of the first service, chosen by the seed.
func (r *Run) grayServers() [3]contract.ServerID {
	servers := r.service(0).Servers
	first := int(r.Options.Seed) % len(servers)
	var out [3]contract.ServerID
	for i := range out {
		out[i] = servers[(first+i)%len(servers)].ID
	}
	return out
}

// graySteps makes the three gray servers slow, failing and truncating in turn.
func graySteps(r *Run) []Step {
	s := r.grayServers()
	healthy := backendsim.Mode{}
	return []Step{
		setMode(slowFrom, "10 times the latency at", s[0], backendsim.Mode{SlowFactor: 10}),
		setMode(slowUntil, "heal", s[0], healthy),
		setMode(failingFrom, "30% errors at", s[1], backendsim.Mode{ErrorShare: 0.3}),
		setMode(failingUntil, "heal", s[1], healthy),
		setMode(truncatedFrom, "10% truncated responses from", s[2], backendsim.Mode{TruncatedShare: 0.1}),
		setMode(truncatedUntil, "heal", s[2], healthy),
	}
}

// grayFindings checks P1, the detection of each fault, and that no server was
// ejected before the first fault.
func grayFindings(r *Run, h *check.History) []check.Finding {
	s := r.grayServers()
	share, samples := r.answeredShare(h, slowFrom, truncatedUntil, load.Call.Idempotent)
	return []check.Finding{
		r.floor(h),
		r.detection(h, "slow", s[0], slowFrom, slowUntil),
		r.detection(h, "failing", s[1], failingFrom, failingUntil),
		r.detection(h, "truncating", s[2], truncatedFrom, truncatedUntil),
		r.falseEjections(h, warmupTime, slowFrom),
		measure("answered-idempotent", "share", share, samples),
	}
}

// floor checks P1 for the first service from the end of the warmup.
func (r *Run) floor(h *check.History) check.Finding {
	return h.P1(r.service(0), r.After(warmupTime), r.After(r.Experiment.Length))
}

// falseEjections checks that no server of the first service stopped getting
// requests in a period in which none of them should be ejected.
func (r *Run) falseEjections(h *check.History, from, until time.Duration) check.Finding {
	quiet := h.QuietServers(r.service(0), r.After(from), r.After(until))
	f := check.AtMost("false-ejections", "servers", float64(len(quiet)), 0, len(r.service(0).Servers))
	if len(quiet) > 0 {
		f.Detail = string(quiet[0])
	}
	return f
}

// crashAllServers crashes all servers at once. They restart after 500 ms.
func crashAllServers(r *Run) {
	for id := range r.Fleet.Addresses {
		_ = r.Fleet.Servers.Crash(id, 500*time.Millisecond) // fails only for an unknown ID
	}
}

// crashes checks the number of server crashes, all of which are caused by poison
// requests.
func (r *Run) crashes() check.Finding {
	total := int64(0)
	for id := range r.Fleet.Addresses {
		if c, err := r.Fleet.Servers.Counters(id); err == nil {
			total += c.Crashes
		}
	}
	return check.AtMost("crashes-by-poison", "crashes", float64(total), poisonCrashesBound, 1)
}

// flappingSteps lets half of the first service's servers fail half of their
// requests in every second period of 2 s.
func flappingSteps(r *Run) []Step {
	var steps []Step
	servers := r.service(0).Servers
	for _, s := range servers[:len(servers)/2] {
		steps = append(steps,
			setMode(12*time.Second, "flapping errors at", s.ID, backendsim.Mode{ErrorShare: 0.5, FlapMillis: 2000}),
			setMode(50*time.Second, "heal", s.ID, backendsim.Mode{}))
	}
	return sortByTime(steps)
}
