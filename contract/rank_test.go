package contract

import "testing"

// Guards against a team's rank that is lost beside its route's, and against rank 0, the
// most urgent, that is taken for no rank.
func TestRankOfTheTeamGoesFirst(t *testing.T) {
	mostUrgent, least := Rank(0), Rank(7)
	route := &Route{Rank: 3}
	for name, c := range map[string]struct {
		team *Team
		want Rank
	}{
		"open route":          {nil, 3},
		"team without a rank": {&Team{}, 3},
		"most urgent team":    {&Team{Rank: &mostUrgent}, 0},
		"less urgent team":    {&Team{Rank: &least}, 7},
	} {
		if got := RankOf(c.team, route); got != c.want {
			t.Errorf("%s: rank %d, want %d", name, got, c.want)
		}
	}
}
