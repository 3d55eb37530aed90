package telemetry

import (
	"math"
	"testing"
	"time"
)

// Guards against rates of teams that stay at 0 or that include requests of earlier
// windows. Also guards against teams that are listed as active long after their last
// request.
func TestActiveTeams(t *testing.T) {
	m, start := New(), time.Unix(1000, 0)
	for i := range 300 { // 10 requests/s for 30 s, one in five rejected
		m.recordRequest(start.Add(time.Duration(i)*100*time.Millisecond), "walkers", i%5 == 0)
	}
	now := start.Add(30 * time.Second)
	rate := m.ActiveTeams(now)["walkers"]
	if math.Abs(rate.Admitted-8) > 0.5 || math.Abs(rate.Rejected-2) > 0.5 {
		t.Errorf("rates %+v, want 8 admitted and 2 rejected", rate)
	}
	m.recordRequest(now, "late", false)
	if rate := m.ActiveTeams(now)["late"]; rate.Admitted != 1 {
		t.Errorf("one request gives the rates %+v, want 1 admitted", rate)
	}
	if rate := m.ActiveTeams(now.Add(2 * rateWindow))["walkers"]; rate != (TeamRate{}) {
		t.Errorf("rates two windows after the last request: %+v, want 0", rate)
	}
	if active := m.ActiveTeams(now.Add(activePeriod + time.Second)); len(active) != 0 {
		t.Errorf("idle teams are listed as active: %v", active)
	}
}
