package demo

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"almondstile/configstore"
	"almondstile/contract"
	"almondstile/daemon"
	"almondstile/link"
	"almondstile/logging"
	"almondstile/settings"
	"almondstile/standin/backendsim"
	"almondstile/standin/platformsim"
	"almondstile/vm"
	"almondstile/zone"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// The demo's teams and services, and the properties of its backend servers.
const (
	counterTeam  contract.TeamID    = "counter"
	bookingTeam  contract.TeamID    = "booking"
	stockService contract.ServiceID = "shelfview"
	loanService  contract.ServiceID = "loandesk"

	serversPerService   = 6
	slotsPerServer      = 3
	medianLatencyMicros = 3000
	responseBytes       = 512
)

var zones = []zone.ID{"scot-central-a", "scot-central-b", "scot-central-c"}

// fleet holds the running VMs (daemons) and stand-ins, and the credentials that the
// demo generated for them.
type fleet struct {
	platform    *platformsim.Platform
	backends    *backendsim.Host
	daemons     []*daemon.Daemon
	stopVMs     context.CancelFunc
	daemonGroup conc.WaitGroup

	operatorToken string
	counterSecret string
	bookingSecret string
}

// startFleet starts the stand-ins and the VMs and activates the configuration. It
// returns when all VMs admit requests, or with an error when ctx ends.
func startFleet(ctx context.Context, log *logging.Log) (_ *fleet, err error) {
	f := &fleet{
		platform:      platformsim.New(),
		backends:      backendsim.NewHost(),
		operatorToken: randomHex(),
		counterSecret: randomHex(),
		bookingSecret: randomHex(),
	}
	runCtx, stop := context.WithCancel(context.Background())
	f.stopVMs = stop
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	intent, err := f.startBackends()
	if err != nil {
		return nil, err
	}
	if err := f.startVMs(runCtx, log); err != nil {
		return nil, err
	}
	if err := f.applyIntent(ctx, intent); err != nil {
		return nil, err
	}
	if err := f.waitUntilReady(ctx); err != nil {
		return nil, err
	}
	return f, f.waitUntilTeamsAdmitted(ctx)
}

// close shuts the VMs down gracefully and then closes the backend servers.
func (f *fleet) close() {
	f.stopVMs()
	f.daemonGroup.Wait()
	f.backends.Close()
}

// startVMs starts one VM in each zone, on free ports of the loopback address.
func (f *fleet) startVMs(ctx context.Context, log *logging.Log) error {
	secret := randomHex()
	for i, z := range zones {
		s := settings.Defaults()
		s.VM = settings.VM{ID: vm.ID(fmt.Sprintf("vm-%d", i+1)), Zone: z}
		const anyPort = "127.0.0.1:0"
		s.Listen = settings.Listen{Callers: anyPort, Forward: anyPort, Control: anyPort, Operator: anyPort}
		s.Security.PeerSecret = settings.Secret(secret)
		token := sha256.Sum256([]byte(f.operatorToken))
		s.Security.Operators = []settings.Operator{{
			Name: "demo", Role: settings.RoleOperator, TokenSHA256: hex.EncodeToString(token[:]),
		}}
		client := f.platform.Client(string(s.VM.ID))
		d, err := daemon.New(&s, daemon.Platform{Table: client, Objects: client.Objects(), VMs: client}, log)
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
		f.daemonGroup.Go(func() { _ = d.Run(ctx) })
	}
	return nil
}

// startBackends starts the backend servers. It returns an intent with the zones,
// services, servers, teams, keys and routes of the demo.
func (f *fleet) startBackends() (contract.Intent, error) {
	intent := contract.NewIntent()
	for _, z := range zones {
		intent.Changes = append(intent.Changes, contract.SetZone{ID: z, Region: "scot-central"})
	}
	for n, service := range []contract.ServiceID{stockService, loanService} {
		intent.Changes = append(intent.Changes, contract.SetService{ID: service, FloorShare: 0.5})
		for i := range serversPerService {
			id := contract.ServerID(fmt.Sprintf("%s-%d", service, i+1))
			server, err := f.backends.Start(backendsim.Config{
				ID: id, Seed: uint64(n*serversPerService + i + 1), Slots: slotsPerServer, ColdSlots: 1, StartWarm: true,
				MedianMicros: medianLatencyMicros, Sigma: 0.3, AnswerBytes: responseBytes, Secrets: []string{f.counterSecret, f.bookingSecret},
			})
			if err != nil {
				return intent, errors.Wrapf(err, "starting the backend server %s", id)
			}
			intent.Changes = append(intent.Changes, contract.SetServer{Service: service, Server: contract.Server{
				ID: id, Zone: zones[i%len(zones)], Address: server.Address(),
				Slots: slotsPerServer, ColdSlots: 1, MaxConnections: 330,
			}})
		}
	}
	f.addTeams(&intent)
	return intent, nil
}

// addTeams appends the teams, their keys and the routes to intent.
func (f *fleet) addTeams(intent *contract.Intent) {
	bothTeams := []contract.TeamID{counterTeam, bookingTeam}
	intent.Changes = append(intent.Changes,
		contract.SetTeam{Team: contract.Team{ID: counterTeam, RatePerSecond: 200, Burst: 200, Weight: 2}},
		contract.SetTeam{Team: contract.Team{ID: bookingTeam, RatePerSecond: 2, Burst: 3, Weight: 1}},
		contract.IssueKey{ID: "counter-key", Team: counterTeam, SecretHash: contract.HashSecret(f.counterSecret)},
		contract.IssueKey{ID: "booking-key", Team: bookingTeam, SecretHash: contract.HashSecret(f.bookingSecret)},
		contract.SetRoute{Route: contract.Route{ID: "stock", PathPrefix: "/stock", Service: stockService, Teams: bothTeams,
			IdempotentMethods: []string{"GET", "HEAD"}, TimeoutMillis: 2000}},
		contract.SetRoute{Route: contract.Route{ID: "loans", PathPrefix: "/loans", Service: loanService,
			Teams: []contract.TeamID{counterTeam}, IdempotentMethods: []string{"GET"}, TimeoutMillis: 5000}},
		contract.SetRoute{Route: contract.Route{ID: "opening-hours", PathPrefix: "/opening-hours", Service: stockService,
			OpenToAll: true, IdempotentMethods: []string{"GET"}, TimeoutMillis: 2000}},
	)
}

// applyIntent makes a plan from an intent and confirms it, as an operator would. It
// returns when the new configuration is in force on all VMs.
func (f *fleet) applyIntent(ctx context.Context, intent contract.Intent) error {
	planner := f.daemons[0].Planner()
	plan, err := planner.Plan(ctx, intent)
	if err != nil {
		return errors.Wrap(err, "planning")
	}
	outcome, err := planner.Confirm(ctx, plan.ID)
	if err != nil {
		return errors.Wrap(err, "confirming")
	}
	if outcome.Kind != configstore.Accepted {
		return errors.Newf("the plan was not accepted: %s", outcome.Kind)
	}
	return f.waitUntil(ctx, "the configuration is in force", func() bool {
		for _, d := range f.daemons {
			if d.ConfigurationVersion() < outcome.Version {
				return false
			}
		}
		return true
	})
}

// waitUntilReady waits until each VM is ready and has all VMs in its member list.
func (f *fleet) waitUntilReady(ctx context.Context) error {
	return f.waitUntil(ctx, "all VMs are ready", func() bool {
		for _, d := range f.daemons {
			if ready, _ := d.Ready(time.Now()); !ready || d.MemberCount() < len(f.daemons) {
				return false
			}
		}
		return true
	})
}

// waitUntilTeamsAdmitted waits until a request of each team is admitted. This takes
// a while because a new home grants tokens only after the loans of the former home
// have expired.
func (f *fleet) waitUntilTeamsAdmitted(ctx context.Context) error {
	return f.waitUntil(ctx, "each team's requests are admitted", func() bool {
		for _, credential := range []string{f.counterCredential(), f.bookingCredential()} {
			if f.send(0, newGet("/stock/hut-7", credential)).status != fasthttp.StatusOK {
				return false
			}
		}
		return true
	})
}

const pollInterval = 50 * time.Millisecond

// waitUntil polls condition every pollInterval until it is true. It returns an error
// if ctx ends first; description completes the text "waiting until ...".
func (f *fleet) waitUntil(ctx context.Context, description string, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "waiting until %s", description)
		case <-ticker.C:
		}
	}
	return nil
}

// randomHex returns a random secret of link.MinSecretBytes bytes in hex.
func randomHex() string {
	b := make([]byte, link.MinSecretBytes)
	_, _ = rand.Read(b) // never fails; see crypto/rand
	return hex.EncodeToString(b)
}
