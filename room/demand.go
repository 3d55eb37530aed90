package room

import (
	"math"
	"time"

	"almondstile/contract"
	"almondstile/shard"
	"almondstile/tally"
)

const (
	// demandDecayTime is the time constant of the exponential decay of a team's requests.
	demandDecayTime = time.Second
	// burstTolerance is the multiple of the other teams' use of their entitlements up to
	// which a team is within its share. Teams vary as much without a burst.
	burstTolerance = 1.25
	// minDemand is the decayed number of requests below which a team is not in a burst.
	minDemand = 5
	// burstsLifetime is the time for which the bursts that were found last are used.
	burstsLifetime = 250 * time.Millisecond
)

// Demand measures the requests of each team over all VMs, and says which part of them is
// beyond the team's share while there is too little room for all. A team in a burst uses
// more of its entitlement than the others do. It keeps its weighted share of the room, and
// what the others leave. The zero value is ready to use. It is safe for concurrent use.
type Demand struct {
	teams shard.Map[tally.Subject, *teamDemand]
	// latest holds the bursts that were found last, under one key.
	latest shard.Map[latestKey, *bursts]
}

// teamDemand is a team's decayed number of requests at the time updatedAt.
type teamDemand struct {
	updatedAt   time.Time
	requests    float64
	entitlement float64 // 0 until the configuration states it
}

type latestKey string

// bursts holds the teams in a burst and the requests of all teams.
type bursts struct {
	foundAt      time.Time
	teams        map[tally.Subject]use
	inBurst, all use
}

// use is a number of recent requests and an entitlement to them.
type use struct{ requests, entitlement float64 }

func (u *use) add(o use) {
	u.requests += o.requests
	u.entitlement += o.entitlement
}

// TeamSubject returns the subject of a team's counters.
func TeamSubject(team contract.TeamID) tally.Subject {
	return tally.SubjectOf(tally.Team, string(team))
}

// Record adds n requests of a team that some VM admitted now.
func (d *Demand) Record(now time.Time, team tally.Subject, n uint64) {
	d.teams.Do(team, func() *teamDemand { return &teamDemand{updatedAt: now} }, func(t *teamDemand) {
		t.decay(now)
		t.requests += float64(n)
	})
}

// SetEntitlements sets what each team is entitled to: its rate limit times its weight. A
// team without a rate limit has the mean one of the others.
func (d *Demand) SetEntitlements(now time.Time, teams []contract.Team) {
	limited, rates := 0, 0.0
	for i := range teams {
		if teams[i].RatePerSecond > 0 {
			limited++
			rates += float64(teams[i].RatePerSecond)
		}
	}
	mean := 1.0
	if limited > 0 {
		mean = rates / float64(limited)
	}
	// Teams that are gone have no entitlement.
	d.teams.Range(func(_ tally.Subject, t *teamDemand) bool {
		t.entitlement = 0
		return true
	})
	for i := range teams {
		rate := float64(teams[i].RatePerSecond)
		if rate <= 0 {
			rate = mean
		}
		entitlement := rate * float64(max(teams[i].Weight, 1))
		d.teams.Do(TeamSubject(teams[i].ID), func() *teamDemand { return &teamDemand{updatedAt: now} }, func(t *teamDemand) { t.entitlement = entitlement })
	}
}

// Cut returns the share of the team's requests to turn away because of its burst, and what
// is left of the shortage for the other requests.
func (d *Demand) Cut(now time.Time, team tally.Subject, shortage float64) (ofTeam, left float64) {
	d.latest.Do("", func() *bursts { return &bursts{} }, func(b *bursts) {
		if age := now.Sub(b.foundAt); age < 0 || age >= burstsLifetime {
			*b = d.findBursts(now)
		}
		ofTeam, left = b.cut(team, shortage)
	})
	return ofTeam, left
}

// cut returns the result of Demand.Cut.
func (b *bursts) cut(team tally.Subject, shortage float64) (ofTeam, left float64) {
	ofAll := 0.0
	for id, u := range b.teams {
		excess := u.requests - b.keep(u, shortage)
		ofAll += excess / b.all.requests
		if id == team {
			ofTeam = excess / u.requests
		}
	}
	return ofTeam, max(shortage-ofAll, 0) / (1 - ofAll)
}

// keep returns the requests that a team in a burst keeps: its weighted share of the room, or
// its part of what the teams without a burst leave, if that is more.
func (b *bursts) keep(u use, shortage float64) float64 {
	room := (1 - shortage) * b.all.requests
	share := room * u.entitlement / b.all.entitlement
	unused := (room - b.all.requests + b.inBurst.requests) * u.entitlement / b.inBurst.entitlement
	return min(max(share, unused), u.requests)
}

// findBursts compares the teams' use of their entitlements.
func (d *Demand) findBursts(now time.Time) bursts {
	found := bursts{foundAt: now, teams: make(map[tally.Subject]use)}
	active := make(map[tally.Subject]use)
	d.teams.Range(func(team tally.Subject, t *teamDemand) bool {
		t.decay(now)
		if t.entitlement > 0 && t.requests >= 1 {
			active[team] = use{t.requests, t.entitlement}
			found.all.add(active[team])
		}
		return t.entitlement > 0 || t.requests >= 1
	})
	for team, u := range active {
		others := use{found.all.requests - u.requests, found.all.entitlement - u.entitlement}
		if others.entitlement > 0 && u.requests >= minDemand && u.requests/u.entitlement > burstTolerance*others.requests/others.entitlement {
			found.teams[team] = u
			found.inBurst.add(u)
		}
	}
	return found
}

// sweep deletes teams without an entitlement that make no requests any more.
func (d *Demand) sweep(now time.Time) {
	d.teams.Range(func(_ tally.Subject, t *teamDemand) bool {
		t.decay(now)
		return t.entitlement > 0 || t.requests >= 1
	})
}

// decay lets the requests decay until now.
func (t *teamDemand) decay(now time.Time) {
	if elapsed := now.Sub(t.updatedAt); elapsed > 0 {
		t.requests *= math.Exp(-elapsed.Seconds() / demandDecayTime.Seconds())
		t.updatedAt = now
	}
}
