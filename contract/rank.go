package contract

import (
	"slices"
	"time"
)

// Rank is the urgency of a request, from 0, the most urgent, upwards.
type Rank int

// RankOf returns the rank of a team's requests on a route: the team's rank if it has
// one, and otherwise the route's. team is nil on a route that is open to all.
func RankOf(team *Team, route *Route) Rank {
	if team != nil && team.Rank != nil {
		return *team.Rank
	}
	return route.Rank
}

// ServiceTerms is what the configuration says about the urgency of a service's requests.
type ServiceTerms struct {
	// Ranks holds the ranks that requests to the service may have, the most urgent first. It is
	// empty if the service's routes do not differ in rank.
	Ranks []Rank
	// routeRanks holds the ranks of the service's routes.
	routeRanks []Rank
	// TargetLatency is the shortest target latency of the routes to the service.
	TargetLatency time.Duration
}

// Terms returns the terms of a service. They have no ranks if no route leads to it.
func (x *Index) Terms(service ServiceID) ServiceTerms {
	terms := x.terms[service]
	if len(terms.routeRanks) < 2 {
		terms.Ranks = nil
	}
	return terms
}

// addTerms adds the route to the terms of its services. teamRanks are the ranks of the
// teams that have one, and anyUnranked is true if a team has none.
func (x *Index) addTerms(r *Route, teamRanks []Rank, anyUnranked bool) {
	ranks, target := x.ranksOn(r, teamRanks, anyUnranked), r.TargetLatency()
	for _, service := range r.services() {
		terms, known := x.terms[service]
		for _, rank := range ranks {
			if i, found := slices.BinarySearch(terms.Ranks, rank); !found {
				terms.Ranks = slices.Insert(terms.Ranks, i, rank)
			}
		}
		if !slices.Contains(terms.routeRanks, r.Rank) {
			terms.routeRanks = append(terms.routeRanks, r.Rank)
		}
		if !known || target < terms.TargetLatency {
			terms.TargetLatency = target
		}
		x.terms[service] = terms
	}
}

// ranksOn returns the ranks that requests on the route may have.
func (x *Index) ranksOn(r *Route, teamRanks []Rank, anyUnranked bool) []Rank {
	switch {
	case r.OpenToAll:
		return []Rank{r.Rank}
	case r.AnyTeam && (anyUnranked || len(teamRanks) == 0):
		return append([]Rank{r.Rank}, teamRanks...)
	case r.AnyTeam:
		return teamRanks
	}
	var ranks []Rank
	for _, id := range r.Teams {
		if rank := RankOf(x.teams[id], r); !slices.Contains(ranks, rank) {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// teamRanks returns the ranks of the teams that have one, and whether a team has none.
func (c *Configuration) teamRanks() (ranks []Rank, anyUnranked bool) {
	for i := range c.Teams {
		rank := c.Teams[i].Rank
		switch {
		case rank == nil:
			anyUnranked = true
		case !slices.Contains(ranks, *rank):
			ranks = append(ranks, *rank)
		}
	}
	return ranks, anyUnranked
}

// services returns the services that get requests of the route.
func (r *Route) services() (services []ServiceID) {
	for _, weighted := range r.Split {
		if weighted.Weight > 0 {
			services = append(services, weighted.Service)
		}
	}
	if len(services) == 0 {
		services = append(services, r.Service)
	}
	return services
}
