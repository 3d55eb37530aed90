package quota

import (
	"math"
	"testing"

	"almondstile/contract"
	_ "almondstile/standin/seeded" // fixes the seed of rapid

	"pgregory.net/rapid"
)

// Guards against a split that admits more or less than the team's rate limit.
// The shares of a team's buckets must add up to its rate and burst.
func TestSharesAddUp(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		team := contract.Team{
			ID: "walkers", RatePerSecond: rapid.Float64Range(0.1, 1e6).Draw(t, "rate"),
			Burst: rapid.IntRange(16, 1e6).Draw(t, "burst"), HomeCount: rapid.IntRange(0, 16).Draw(t, "homes"),
		}
		index := contract.NewIndex(&contract.Configuration{Teams: []contract.Team{team}})
		rate, burst := 0.0, 0
		for _, id := range BucketIDs(&team) {
			limit, ok := rateLimitOf(index, id)
			if !ok || limit.Burst < 1 {
				t.Fatalf("bucket %s has rate limit %+v, %v", id, limit, ok)
			}
			rate += limit.RatePerSecond
			burst += limit.Burst
		}
		if burst != team.Burst || math.Abs(rate-team.RatePerSecond) > 1e-9*team.RatePerSecond {
			t.Fatalf("the shares add up to rate %v, burst %d", rate, burst)
		}
		if _, ok := rateLimitOf(index, bucketIDOf(team.ID, max(1, team.HomeCount))); ok {
			t.Fatal("a bucket beyond the home count exists")
		}
	})
}
