package load

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"almondstile/bench/deployment"
	"almondstile/contract"
)

// Kind is the purpose of a call.
type Kind string

// Kinds of calls.
const (
	// Regular calls carry the team's own key and use a route that permits the team.
	Regular Kind = "regular"
	// Open calls carry no key and use a route that is open to all.
	Open Kind = "open"
	// Unauthorized calls must not be executed. They have no key, a wrong secret,
	// or the key of a team that the route does not permit.
	Unauthorized Kind = "intruder"
	// Poison calls crash the server that executes them.
	Poison Kind = "poison"
)

// Arrival is one call of a timetable. At is relative to the start of the run.
type Arrival struct {
	At         time.Duration
	Operation  string
	Kind       Kind
	Team       contract.TeamID // empty if the call carries no valid key
	Key        contract.KeyID
	Credential string `json:"-"` // kept out of the saved records
	Service    contract.ServiceID
	Method     string
	Path       string
	// IdempotencyKey is set on half of the regular POST calls. Their callers retry
	// if there was no response or the outcome is unknown.
	IdempotencyKey string
	// Pick is a random number from which the balancer selects the VM.
	Pick uint64
}

// Idempotent reports whether the call may be executed more than once according to
// the routes of package deployment.
func (a Arrival) Idempotent() bool { return a.Method == "GET" }

// Profile sets the seed and length of a timetable and its differences from the
// typical load of the deployment.
type Profile struct {
	Seed   uint64
	Length time.Duration
	// Scale multiplies the load of all calls except poison calls; 0 means 1.
	Scale float64
	// TeamFactor sets the load of single teams as a multiple of their rate, in place
	// of the deployment's load share. A team with factor 10 sends 10 times its rate.
	TeamFactor map[contract.TeamID]float64
	// PoisonPerSecond is the number of poison calls per second of the first team.
	PoisonPerSecond float64
	// OnlyService restricts the load to one service.
	OnlyService contract.ServiceID
	// GetOnly turns the POST calls of the regular load into GET calls.
	GetOnly bool
}

// Calls per second without a team (open and unauthorized), and the share of POST
// calls in the regular load.
const (
	openPerSecond         = 3.0
	unauthorizedPerSecond = 1.5
	postShare             = 0.4
)

// New returns the timetable of a profile, ordered by time. The arrivals of each
// team are a Poisson process. The same seed gives the same timetable.
func New(d *deployment.Deployment, p Profile) []Arrival {
	if p.Scale == 0 {
		p.Scale = 1
	}
	var all []Arrival
	for i, team := range d.Teams {
		g := newArrivalSource(d, p, uint64(i+1))
		perSecond := team.RatePerSecond * d.LoadShare
		if factor, ok := p.TeamFactor[team.ID]; ok {
			perSecond = team.RatePerSecond * factor
		}
		all = append(all, g.generate(perSecond*p.Scale, func(a *Arrival) { g.fillRegular(a, team.ID) })...)
	}
	open, unauthorized, poison := newArrivalSource(d, p, 1001), newArrivalSource(d, p, 1002), newArrivalSource(d, p, 1003)
	all = append(all, open.generate(openPerSecond*p.Scale, open.fillOpen)...)
	all = append(all, unauthorized.generate(unauthorizedPerSecond*p.Scale, unauthorized.fillUnauthorized)...)
	all = append(all, poison.generate(p.PoisonPerSecond, poison.fillPoison)...)
	slices.SortFunc(all, func(a, b Arrival) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Operation, b.Operation))
	})
	return all
}

// arrivalSource generates the arrivals of one source of calls: a team, or the open,
// unauthorized or poison calls. Each source has its own random number generator.
type arrivalSource struct {
	deployment *deployment.Deployment
	profile    Profile
	id         uint64
	random     *rand.Rand
}

func newArrivalSource(d *deployment.Deployment, p Profile, id uint64) *arrivalSource {
	return &arrivalSource{d, p, id, rand.New(rand.NewPCG(p.Seed, id))}
}

// generate returns the arrivals of a Poisson process with the given rate. setFields
// sets the fields that depend on the kind of call.
func (g *arrivalSource) generate(perSecond float64, setFields func(*Arrival)) []Arrival {
	if perSecond <= 0 {
		return nil
	}
	var out []Arrival
	for at := g.interarrivalTime(perSecond); at < g.profile.Length; at += g.interarrivalTime(perSecond) {
		a := Arrival{At: at, Operation: fmt.Sprintf("op-%d-%d-%d", g.profile.Seed, g.id, len(out)), Pick: g.random.Uint64()}
		setFields(&a)
		out = append(out, a)
	}
	return out
}

// interarrivalTime returns a random, exponentially distributed interval.
func (g *arrivalSource) interarrivalTime(perSecond float64) time.Duration {
	return time.Duration(g.random.ExpFloat64() / perSecond * float64(time.Second))
}

// pickService returns a random service, weighted by LoadWeight, or OnlyService if
// the profile sets it.
func (g *arrivalSource) pickService() deployment.Service {
	total := 0
	for _, s := range g.deployment.Services {
		if s.ID == g.profile.OnlyService {
			return s
		}
		total += s.LoadWeight
	}
	remaining := g.random.IntN(total)
	for _, s := range g.deployment.Services {
		if remaining -= s.LoadWeight; remaining < 0 {
			return s
		}
	}
	return g.deployment.Services[0]
}

// fillRegular turns a into a regular call of the team. Half of the POST calls get an
// IdempotencyKey.
func (g *arrivalSource) fillRegular(a *Arrival, team contract.TeamID) {
	s := g.pickService()
	a.Kind, a.Team, a.Service = Regular, team, s.ID
	a.Key = deployment.KeyID(team, g.random.IntN(deployment.KeysPerTeam))
	a.Credential = deployment.Credential(g.profile.Seed, a.Key)
	a.Method, a.Path = "GET", s.Path()+"/item"
	if g.random.Float64() < postShare && !g.profile.GetOnly {
		a.Method = "POST"
		if g.random.IntN(2) == 0 {
			a.IdempotencyKey = "key-" + a.Operation
		}
	}
}

func (g *arrivalSource) fillOpen(a *Arrival) {
	s := g.pickService()
	a.Kind, a.Service, a.Method, a.Path = Open, s.ID, "GET", s.OpenPath()
}

// fillPoison turns a into a poison call of the first team to the first service.
func (g *arrivalSource) fillPoison(a *Arrival) {
	g.fillRegular(a, g.deployment.Teams[0].ID)
	// The caller retries the same request without an Idempotency-Key.
	a.Kind, a.Method, a.IdempotencyKey, a.Path = Poison, "POST", "", g.deployment.Services[0].Path()+"/poison"
	a.Service = g.deployment.Services[0].ID
}

// fillUnauthorized turns a into an unauthorized call of one of four equally likely kinds.
func (g *arrivalSource) fillUnauthorized(a *Arrival) {
	s := g.pickService()
	other := g.deployment.Teams[1].ID
	a.Kind, a.Service, a.Method, a.Path = Unauthorized, s.ID, "GET", s.Path()+"/item"
	key := deployment.KeyID(other, 0)
	switch g.random.IntN(4) {
	case 0: // no key
	case 1: // a wrong secret
		a.Credential = string(key) + "." + deployment.Secret(g.profile.Seed+1, key)
	case 2: // the second team's valid key on the first team's route
		a.Credential, a.Path = deployment.Credential(g.profile.Seed, key), s.PrivatePath()
	case 3: // no key, but a team name in a header that only the fleet may set (see fillRequest)
		a.Method = "POST"
	}
}
