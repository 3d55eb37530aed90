package contract

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
