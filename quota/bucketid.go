package quota

import (
	"strconv"
	"strings"

	"almondstile/contract"
	"almondstile/vm"
)

// BucketID names one bucket of a team. A large team has several buckets with
// different home VMs, which share its rate and burst, so that the loss of a home
// takes a part of the rate away and not all of it until the next home may act.
type BucketID string

// separator cannot occur in a team's ID.
const separator = "/"

// bucketOf returns the nth bucket of a team.
func bucketOf(team contract.TeamID, n int) BucketID {
	if n == 0 {
		return BucketID(team)
	}
	return BucketID(string(team) + separator + strconv.Itoa(n))
}

// split reverses bucketOf.
func (id BucketID) split() (team contract.TeamID, n int, ok bool) {
	name, number, found := strings.Cut(string(id), separator)
	if !found {
		return contract.TeamID(name), 0, true
	}
	n, err := strconv.Atoi(number)
	return contract.TeamID(name), n, err == nil && n > 0
}

// Buckets returns the team's buckets.
func BucketIDs(team *contract.Team) []BucketID {
	ids := make([]BucketID, max(1, team.HomeCount))
	for n := range ids {
		ids[n] = bucketOf(team.ID, n)
	}
	return ids
}

// termsOf returns the bucket's share of its team's rate and burst. The shares of
// a team's buckets add up to exactly its rate and burst.
func termsOf(index *contract.Index, id BucketID) (RateLimit, bool) {
	name, n, ok := id.split()
	team := index.Team(name)
	if !ok || team == nil || n >= max(1, team.HomeCount) {
		return RateLimit{}, false
	}
	count := max(1, team.HomeCount)
	burst := team.Burst / count
	if n < team.Burst%count {
		burst++
	}
	return RateLimit{RatePerSecond: team.RatePerSecond / float64(count), Burst: burst}, true
}

// Role returns the role of being the bucket's home.
func HomeRole(id BucketID) vm.Role {
	return vm.Role{Kind: vm.TeamHome, Name: string(id)}
}
