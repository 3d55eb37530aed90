package quota

import (
	"strconv"
	"strings"

	"almondstile/contract"
	"almondstile/vm"
)

// BucketID names one token bucket of a team. The rate and burst of a large
// team are split over several buckets with different home VMs. The loss of
// one home then blocks only part of the team's rate until the next home may
// act.
type BucketID string

// separator stands between team ID and bucket number. It cannot occur in a
// team ID.
const separator = "/"

// bucketIDOf returns the ID of the team's bucket number n, counted from 0.
func bucketIDOf(team contract.TeamID, n int) BucketID {
	if n == 0 {
		return BucketID(team)
	}
	return BucketID(string(team) + separator + strconv.Itoa(n))
}

// split returns the team and the bucket number of an ID made by bucketIDOf.
// ok is false if the number is invalid.
func (id BucketID) split() (team contract.TeamID, n int, ok bool) {
	name, number, found := strings.Cut(string(id), separator)
	if !found {
		return contract.TeamID(name), 0, true
	}
	n, err := strconv.Atoi(number)
	return contract.TeamID(name), n, err == nil && n > 0
}

// BucketIDs returns the IDs of all buckets of the team, at least one.
func BucketIDs(team *contract.Team) []BucketID {
	ids := make([]BucketID, max(1, team.HomeCount))
	for n := range ids {
		ids[n] = bucketIDOf(team.ID, n)
	}
	return ids
}

// rateLimitOf returns the bucket's share of its team's rate and burst. The
// shares of all buckets of a team add up to exactly its rate and burst. The
// second result is false if the team or the bucket does not exist.
func rateLimitOf(index *contract.Index, id BucketID) (RateLimit, bool) {
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

// HomeRole returns the role that the home VM of the bucket holds.
func HomeRole(id BucketID) vm.Role {
	return vm.Role{Kind: vm.TeamHome, Name: string(id)}
}
