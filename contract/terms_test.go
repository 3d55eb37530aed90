package contract

import (
	"slices"
	"testing"
)

// Guards against services whose routes have one rank that count as having several, because
// the teams differ, and against ranks of teams that are left out where the routes differ.
func TestTermsHaveRanksWhereRoutesDiffer(t *testing.T) {
	urgent := Rank(1)
	config := &Configuration{
		Services: []Service{{ID: "one"}, {ID: "two"}},
		Teams:    []Team{{ID: "unranked"}, {ID: "urgent", Rank: &urgent}},
		Routes: []Route{
			{ID: "a", Host: "h", PathPrefix: "/a", Service: "one", AnyTeam: true, Rank: 3},
			{ID: "b", Host: "h", PathPrefix: "/b", Service: "two", AnyTeam: true, Rank: 3},
			{ID: "c", Host: "h", PathPrefix: "/c", Service: "two", OpenToAll: true, Rank: 5},
		},
	}
	index := NewIndex(config)
	if ranks := index.Terms("one").Ranks; len(ranks) != 0 {
		t.Errorf("a service whose routes have one rank has the ranks %v", ranks)
	}
	if ranks := index.Terms("two").Ranks; !slices.Equal(ranks, []Rank{1, 3, 5}) {
		t.Errorf("a service whose routes have two ranks has the ranks %v, want 1, 3 and 5", ranks)
	}
}
