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

// Kind says what a call is for.
type Kind string

// Kinds of calls.
const (
	// Regular calls carry the team's own key on a route that it may use.
	Regular Kind = "regular"
	// Open calls use a route that is open to all, without a key.
	Open Kind = "open"
	// Intruder calls have no right to run: no key, a wrong secret, or another
	// team's route.
	Unauthorized Kind = "intruder"
	// Poison calls crash the server that runs them.
	Poison Kind = "poison"
)

// Arrival is one call that the timetable intends.
type Arrival struct {
	At         time.Duration
	Operation  string
	Kind       Kind
	Team       contract.TeamID // empty if the call carries no valid key
	Key        contract.KeyID
	Credential string `json:"-"` // not for the saved records
	Service    contract.ServiceID
	Method     string
	Path       string
	// IdempotencyKey is set on half of the POST calls; their callers send them
	// again when the outcome is unknown.
	IdempotencyKey string
	// Pick selects the VM that the balancer sends the call to.
	Pick uint64
}

// Idempotent reports whether the routes of the deployment files allow the call
// to run more than once.
func (a Arrival) Idempotent() bool { return a.Method == "GET" }

// Profile says how a timetable differs from the deployment's usual load.
type Profile struct {
	Seed   uint64
	Length time.Duration
	// Scale multiplies the whole load; 0 means 1.
	Scale float64
	// TeamFactor multiplies the load of single teams, relative to their rates:
	// a team with factor 10 sends 10 times its rate.
	TeamFactor map[contract.TeamID]float64
	// PoisonPerSecond is the rate of poison calls of the first team.
	PoisonPerSecond float64
	// OnlyService restricts the load to one service.
	OnlyService contract.ServiceID
	// GetOnly leaves out non-idempotent calls.
	GetOnly bool
}

// Rates of calls that are not part of any team's regular load.
const (
	openPerSecond     = 3.0
	intruderPerSecond = 1.5
	postShare         = 0.4
)

// New returns the calls of a profile in order of their time. Arrivals of each
// team are a Poisson process, and the same seed gives the same timetable.
func New(d *deployment.Deployment, p Profile) []Arrival {
	if p.Scale == 0 {
		p.Scale = 1
	}
	var all []Arrival
	for i, team := range d.Teams {
		g := newGenerator(d, p, uint64(i+1))
		perSecond := team.RatePerSecond * d.LoadShare
		if factor, ok := p.TeamFactor[team.ID]; ok {
			perSecond = team.RatePerSecond * factor
		}
		all = append(all, g.generate(perSecond*p.Scale, func(a *Arrival) { g.regular(a, team.ID) })...)
	}
	open, intruder, poison := newGenerator(d, p, 1001), newGenerator(d, p, 1002), newGenerator(d, p, 1003)
	all = append(all, open.generate(openPerSecond*p.Scale, open.open)...)
	all = append(all, intruder.generate(intruderPerSecond*p.Scale, intruder.intruder)...)
	all = append(all, poison.generate(p.PoisonPerSecond, poison.poison)...)
	slices.SortFunc(all, func(a, b Arrival) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Operation, b.Operation))
	})
	return all
}

// generator makes the arrivals of one source.
type generator struct {
	deployment *deployment.Deployment
	profile    Profile
	source     uint64
	random     *rand.Rand
}

func newGenerator(d *deployment.Deployment, p Profile, source uint64) *generator {
	return &generator{d, p, source, rand.New(rand.NewPCG(p.Seed, source))}
}

func (g *generator) generate(perSecond float64, fill func(*Arrival)) []Arrival {
	if perSecond <= 0 {
		return nil
	}
	var out []Arrival
	for at := g.gap(perSecond); at < g.profile.Length; at += g.gap(perSecond) {
		a := Arrival{At: at, Operation: fmt.Sprintf("op-%d-%d-%d", g.profile.Seed, g.source, len(out)), Pick: g.random.Uint64()}
		fill(&a)
		out = append(out, a)
	}
	return out
}

func (g *generator) gap(perSecond float64) time.Duration {
	return time.Duration(g.random.ExpFloat64() / perSecond * float64(time.Second))
}

// service draws a service by its weight in the load.
func (g *generator) service() deployment.Service {
	total := 0
	for _, s := range g.deployment.Services {
		if s.ID == g.profile.OnlyService {
			return s
		}
		total += s.LoadWeight
	}
	draw := g.random.IntN(total)
	for _, s := range g.deployment.Services {
		if draw -= s.LoadWeight; draw < 0 {
			return s
		}
	}
	return g.deployment.Services[0]
}

func (g *generator) regular(a *Arrival, team contract.TeamID) {
	s := g.service()
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

func (g *generator) open(a *Arrival) {
	s := g.service()
	a.Kind, a.Service, a.Method, a.Path = Open, s.ID, "GET", s.OpenPath()
}

func (g *generator) poison(a *Arrival) {
	g.regular(a, g.deployment.Teams[0].ID)
	// One and the same request again and again: a caller that retries it.
	a.Kind, a.Method, a.IdempotencyKey, a.Path = Poison, "POST", "", g.deployment.Services[0].Path()+"/poison"
	a.Service = g.deployment.Services[0].ID
}

func (g *generator) intruder(a *Arrival) {
	s := g.service()
	other := g.deployment.Teams[1].ID
	a.Kind, a.Service, a.Method, a.Path = Unauthorized, s.ID, "GET", s.Path()+"/item"
	key := deployment.KeyID(other, 0)
	switch g.random.IntN(4) {
	case 0: // no key
	case 1: // a wrong secret
		a.Credential = string(key) + "." + deployment.Secret(g.profile.Seed+1, key)
	case 2: // a valid key on the first team's route
		a.Credential, a.Path = deployment.Credential(g.profile.Seed, key), s.PrivatePath()
	case 3: // another team's name in a header that only the fleet may set
		a.Method = "POST"
	}
}
