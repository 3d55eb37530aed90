package telemetry

import (
	"time"

	"almondstile/contract"
)

const (
	// rateWindow is the length of one counting window. Rates cover the current and
	// the previous window.
	rateWindow = 10 * time.Second
	// minRateSpan is the shortest time that a rate is computed over. Without it, the
	// first requests of a team would appear as a high rate.
	minRateSpan = time.Second
	// activePeriod is the time after its last request in which a team counts as
	// active.
	activePeriod = time.Minute
)

// requestCounts holds the numbers of a team's requests in one window.
type requestCounts struct{ admitted, rejected int }

// teamActivity holds the recent request counts of one team at this VM. The lock of
// its shard in Metrics.teams guards it.
type teamActivity struct {
	first, last       time.Time
	windowStart       time.Time // of the current window
	current, previous requestCounts
}

// advance starts a new window if the current one has ended. If it ended
// rateWindow ago or earlier, its counts are too old and are dropped.
func (a *teamActivity) advance(now time.Time) {
	switch age := now.Sub(a.windowStart); {
	case age < rateWindow:
		return
	case age < 2*rateWindow:
		a.previous, a.windowStart = a.current, a.windowStart.Add(rateWindow)
	default:
		a.previous, a.windowStart = requestCounts{}, now
	}
	a.current = requestCounts{}
}

// add counts a request in the current window.
func (a *teamActivity) add(now time.Time, rejected bool) {
	a.advance(now)
	a.last = now
	if rejected {
		a.current.rejected++
	} else {
		a.current.admitted++
	}
}

// TeamRate holds a team's recent rates at this VM, in requests per second.
type TeamRate struct {
	// Admitted is the rate of requests that were or may have been executed.
	Admitted float64
	// Rejected is the rate of requests that were not executed, for any reason.
	Rejected float64
}

// rate returns the rates over the current and the previous window, or over the time
// since the team's first request if that is shorter.
func (a *teamActivity) rate(now time.Time) TeamRate {
	a.advance(now)
	span := min(rateWindow+now.Sub(a.windowStart), now.Sub(a.first))
	seconds := max(span, minRateSpan).Seconds()
	return TeamRate{
		Admitted: float64(a.previous.admitted+a.current.admitted) / seconds,
		Rejected: float64(a.previous.rejected+a.current.rejected) / seconds,
	}
}

// recordRequest counts a request of a team as admitted or rejected.
func (m *Metrics) recordRequest(now time.Time, team contract.TeamID, rejected bool) {
	create := func() *teamActivity { return &teamActivity{first: now, windowStart: now} }
	m.teams.Do(team, create, func(a *teamActivity) { a.add(now, rejected) })
}

// ActiveTeams returns the rates of the teams that sent a request to this VM in the
// last minute.
func (m *Metrics) ActiveTeams(now time.Time) map[contract.TeamID]TeamRate {
	rates := make(map[contract.TeamID]TeamRate)
	m.teams.Range(func(team contract.TeamID, a *teamActivity) bool {
		if now.Sub(a.last) <= activePeriod {
			rates[team] = a.rate(now)
		}
		return true
	})
	return rates
}
