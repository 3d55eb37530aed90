package telemetry

import (
	"time"

	"almondstile/contract"
)

const (
	// rateWindow is the time over which the rates of teams are measured.
	rateWindow = 10 * time.Second
	// minRateTime keeps the first requests of a team from showing as a high rate.
	minRateTime = time.Second
	// activeTime is how long a team counts as active after its last request.
	activeTime = time.Minute
)

// tally counts a team's requests in one window.
type tally struct{ admitted, rejected int }

// activity is what this VM saw of a team's requests. It is guarded by the lock
// of its shard.
type activity struct {
	first, last       time.Time
	window            time.Time // start of the current window
	current, previous tally
}

// advance starts a new window if the current one is over.
func (a *activity) advance(now time.Time) {
	switch age := now.Sub(a.window); {
	case age < rateWindow:
		return
	case age < 2*rateWindow:
		a.previous, a.window = a.current, a.window.Add(rateWindow)
	default:
		a.previous, a.window = tally{}, now
	}
	a.current = tally{}
}

func (a *activity) add(now time.Time, rejected bool) {
	a.advance(now)
	a.last = now
	if rejected {
		a.current.rejected++
	} else {
		a.current.admitted++
	}
}

// TeamRate is a team's recent rates at this VM, in requests per second.
type TeamRate struct {
	Admitted float64
	// Rejected counts requests that were not run, for any reason.
	Rejected float64
}

func (a *activity) rate(now time.Time) TeamRate {
	a.advance(now)
	span := min(rateWindow+now.Sub(a.window), now.Sub(a.first))
	seconds := max(span, minRateTime).Seconds()
	return TeamRate{
		Admitted: float64(a.previous.admitted+a.current.admitted) / seconds,
		Rejected: float64(a.previous.rejected+a.current.rejected) / seconds,
	}
}

// record counts a request of a team.
func (m *Metrics) record(now time.Time, team contract.TeamID, rejected bool) {
	create := func() *activity { return &activity{first: now, window: now} }
	m.teams.Do(team, create, func(a *activity) { a.add(now, rejected) })
}

// ActiveTeams returns the rates of the teams with a request in the last minute.
func (m *Metrics) ActiveTeams(now time.Time) map[contract.TeamID]TeamRate {
	rates := make(map[contract.TeamID]TeamRate)
	m.teams.Range(func(team contract.TeamID, a *activity) bool {
		if now.Sub(a.last) <= activeTime {
			rates[team] = a.rate(now)
		}
		return true
	})
	return rates
}
