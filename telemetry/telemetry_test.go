package telemetry

import (
	"math"
	"testing"
	"time"
)

// Guards against rates of teams that stay at 0, that keep requests of long ago,
// or that list teams without recent requests.
func TestActiveTeams(t *testing.T) {
	m, start := New(), time.Unix(1000, 0)
	for i := range 300 { // 10 requests/s for 30 s, one in five rejected
		m.record(start.Add(time.Duration(i)*100*time.Millisecond), "walkers", i%5 == 0)
	}
	now := start.Add(30 * time.Second)
	rate := m.ActiveTeams(now)["walkers"]
	if math.Abs(rate.Admitted-8) > 0.5 || math.Abs(rate.Rejected-2) > 0.5 {
		t.Errorf("rates %+v, want 8 admitted and 2 rejected", rate)
	}
	m.record(now, "late", false)
	if rate := m.ActiveTeams(now)["late"]; rate.Admitted != 1 {
		t.Errorf("one request shows as %+v", rate)
	}
	if rate := m.ActiveTeams(now.Add(2 * rateWindow))["walkers"]; rate != (TeamRate{}) {
		t.Errorf("rates of two windows ago: %+v", rate)
	}
	if active := m.ActiveTeams(now.Add(activeTime + time.Second)); len(active) != 0 {
		t.Errorf("idle teams are active: %v", active)
	}
}
