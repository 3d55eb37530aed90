package main

import (
	"context"
	"time"

	"almondstile/bench/check"
	"almondstile/bench/deployment"
	"almondstile/bench/fleet"
	"almondstile/bench/load"
	"almondstile/contract"
	"almondstile/request"
	"almondstile/standin/backendsim"
	"almondstile/standin/platformsim"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// platformExperiments lists the experiments in which the platform fails or
// operators change the configuration.
var platformExperiments = []Experiment{
	{
		Name: "store-away", About: "the store is unavailable for 30 s, six times the lease",
		Length: 60 * time.Second,
		Steps: func(*Run) []Step {
			return []Step{
				setPlatformFaults(12*time.Second, "the store is away", platformsim.Faults{Unavailable: true}),
				setPlatformFaults(42*time.Second, "the store is back", platformsim.Faults{}),
			}
		},
		Findings: storeUnavailableFindings,
	},
	{
		Name: "key-withdrawal", About: "a key of the largest team is withdrawn while its callers are connected",
		Length: 40 * time.Second,
		Steps: func(r *Run) []Step {
			key := deployment.KeyID(r.Deployment.Teams[0].ID, 0)
			return []Step{confirmChanges(12*time.Second, "withdraw "+string(key), contract.WithdrawKey{ID: key})}
		},
		Findings: func(r *Run, h *check.History) []check.Finding {
			worst := check.WorstTeam(h.Tallies(r.After(warmupTime), r.After(r.Experiment.Length)), r.Deployment.Teams[0].ID)
			return []check.Finding{h.P4(), h.P13(),
				check.AtLeast("worst-other-team", "share of in-rate calls", worst.AnsweredShare(), isolationBound, worst.InRate)}
		},
	},
	{
		Name: "zone-out", About: "operators take a zone out and return it; a server leaves",
		Length: 60 * time.Second, Steps: zoneSteps,
		Findings: func(r *Run, h *check.History) []check.Finding {
			leaving, samples1 := r.answeredShare(h, 12*time.Second, 22*time.Second, nil)
			returning, samples2 := r.answeredShare(h, 35*time.Second, 45*time.Second, nil)
			return []check.Finding{h.P7(), h.P11(), h.P13(),
				measure("answered-while-zone-leaves", "share", leaving, samples1),
				measure("answered-while-zone-returns", "share", returning, samples2)}
		},
	},
	{
		Name: "racing-operators", About: "two operators confirm plans on the same version again and again",
		Length: 40 * time.Second, Steps: racingSteps,
		Findings: func(r *Run, h *check.History) []check.Finding {
			return []check.Finding{h.P13(), h.UniqueVersions()}
		},
	},
}

// setPlatformFaults returns a step that sets the platform's faults for all VMs.
func setPlatformFaults(at time.Duration, what string, f platformsim.Faults) Step {
	return step(at, what, func(r *Run) { r.Fleet.Platform.SetFaults(f) })
}

// storeUnavailableFindings measures wrongful rejections, without those that
// section 6 of the design page requires: while the store is unavailable, a
// non-idempotent request with an Idempotency-Key cannot be claimed and must not
// be executed.
func storeUnavailableFindings(r *Run, h *check.History) []check.Finding {
	withoutClaims := *h
	withoutClaims.Calls = nil
	rejectedClaims := 0
	for _, c := range h.Calls {
		if c.IdempotencyKey != "" && c.Reason == request.ReasonStoreUnavailable {
			rejectedClaims++
			continue
		}
		withoutClaims.Calls = append(withoutClaims.Calls, c)
	}
	return []check.Finding{
		r.wrongfulRejections(&withoutClaims, "while-store-away", 12*time.Second, 30*time.Second, wrongfulBound),
		r.wrongfulRejections(&withoutClaims, "after-store-is-back", 42*time.Second, 15*time.Second, wrongfulBound),
		measure("refused-claims", "calls", float64(rejectedClaims), len(h.Calls)),
	}
}

// zoneSteps takes a random zone out, returns it, and then lets a random server of
// the second service leave.
func zoneSteps(r *Run) []Step {
	random := r.random()
	zone := r.Deployment.Zones[random.IntN(len(r.Deployment.Zones))].ID
	servers := r.service(1).Servers
	leaving := servers[random.IntN(len(servers))].ID
	return []Step{
		confirmChanges(12*time.Second, "take "+string(zone)+" out", contract.SetZoneOut{ID: zone, Out: true}),
		confirmChanges(35*time.Second, "return "+string(zone), contract.SetZoneOut{ID: zone, Out: false}),
		confirmChanges(45*time.Second, string(leaving)+" leaves", contract.SetServerLeaving{ID: leaving, Leaving: true}),
	}
}

const racingRounds = 10

// racingSteps lets two operators at different VMs change the bursts of two teams
// at the same time, in racingRounds rounds. An operator whose base version has
// changed plans again.
func racingSteps(r *Run) []Step {
	var steps []Step
	teams, ids := r.Deployment.Teams, r.Fleet.IDs()
	for round := range racingRounds {
		at := 10*time.Second + time.Duration(round)*2*time.Second
		steps = append(steps, Step{at, "two operators confirm", func(ctx context.Context, r *Run) error {
			var wg conc.WaitGroup
			var results [2]raceResult
			for side := range results {
				team := teams[len(teams)-1-side]
				team.Burst += round + 1
				wg.Go(func() { results[side] = r.confirmUntilAccepted(ctx, ids[side*len(ids)/2], team) })
			}
			wg.Wait()
			return r.recordRace(results)
		}})
	}
	return steps
}

// confirmUntilAccepted plans and confirms a change of a team again while its base
// version has changed.
func (r *Run) confirmUntilAccepted(ctx context.Context, id vm.ID, team contract.Team) raceResult {
	for {
		outcome, err := r.Fleet.Operator(id).Change(ctx, contract.NewIntent(contract.SetTeam{Team: team}))
		if !errors.Is(err, fleet.ErrBaseChanged) {
			return raceResult{check.Confirm{Version: outcome.Version, At: time.Now()}, err}
		}
	}
}

// raceResult is the confirmation or the error of one of two racing operators.
type raceResult struct {
	confirm check.Confirm
	err     error
}

// recordRace records the confirmations of both operators in the history.
func (r *Run) recordRace(results [2]raceResult) error {
	for _, result := range results {
		if result.err != nil {
			return result.err
		}
		r.history.Confirms = append(r.history.Confirms, result.confirm)
	}
	return nil
}

// lostAnswersSteps lets all servers fail in several ways after they have executed
// a request. For part of that time, the store loses its responses.
func lostAnswersSteps(*Run) []Step {
	mode := backendsim.Mode{ResetShare: 0.03, LateShare: 0.02, LateMillis: 4000, ResponseMismatchShare: 0.03, TruncatedShare: 0.02, TruncatedChunked: true}
	return []Step{
		setAllModes(12*time.Second, "servers lose and cross responses", mode),
		setPlatformFaults(20*time.Second, "the store loses responses", platformsim.Faults{LoseResponses: true}),
		setPlatformFaults(26*time.Second, "the store is well", platformsim.Faults{}),
		setAllModes(32*time.Second, "servers are well", backendsim.Mode{}),
	}
}

// teamExperiments lists the experiments on the isolation between teams.
var teamExperiments = []Experiment{
	{
		Name: "noisy-team", About: "the second team sends 10 times its rate",
		Length: 40 * time.Second,
		Profile: func(r *Run, p *load.Profile) {
			p.TeamFactor = map[contract.TeamID]float64{r.Deployment.Teams[1].ID: 10}
		},
		Findings: func(r *Run, h *check.History) []check.Finding {
			noisy := r.Deployment.Teams[1].ID
			tallies := h.Tallies(r.After(warmupTime), r.After(r.Experiment.Length))
			worst := check.WorstTeam(tallies, noisy)
			f := check.AtLeast("isolation", "share of in-rate calls of the worst other team", worst.AnsweredShare(), isolationBound, worst.InRate)
			f.Detail = string(worst.Team)
			return []check.Finding{f, r.wrongfulRejections(h, "other-teams", warmupTime, r.Experiment.Length-warmupTime, wrongfulBound, noisy)}
		},
	},
	{
		Name: "small-teams", About: "the large teams use their whole rates; the small ones must not be rejected",
		Length: 60 * time.Second,
		Profile: func(r *Run, p *load.Profile) {
			p.TeamFactor = make(map[contract.TeamID]float64)
			for _, t := range r.Deployment.Teams[:largeTeams] {
				p.TeamFactor[t.ID] = 1
			}
		},
		Findings: func(r *Run, h *check.History) []check.Finding {
			var large []contract.TeamID
			for _, t := range r.Deployment.Teams[:largeTeams] {
				large = append(large, t.ID)
			}
			length := r.Experiment.Length - warmupTime
			return []check.Finding{
				r.wrongfulRejections(h, "small-teams", warmupTime, length, wrongfulBound, large...),
				r.wrongfulRejections(h, "all-teams", warmupTime, length, wrongfulBound),
			}
		},
	},
}

// largeTeams is the number of large teams in both deployment files.
const largeTeams = 3
