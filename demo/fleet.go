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

// The demo's teams, routes and keys.
const (
	counterTeam  contract.TeamID    = "counter"
	bookingTeam  contract.TeamID    = "booking"
	stockService contract.ServiceID = "shelfview"
	loanService  contract.ServiceID = "loandesk"

	serversPerService = 6
	slots             = 3
	medianMicros      = 3000
	answerBytes       = 512
)

var zones = []zone.ID{"scot-central-a", "scot-central-b", "scot-central-c"}

// fleet is the running demo.
type fleet struct {
	platform *platformsim.Platform
	backends *backendsim.Host
	daemons  []*daemon.Daemon
	stop     context.CancelFunc
	running  conc.WaitGroup

	operatorToken string
	counterKey    string
	bookingKey    string
}

// start runs the stand-ins and the VMs and confirms the configuration.
func start(ctx context.Context, log *logging.Log) (_ *fleet, err error) {
	f := &fleet{
		platform:      platformsim.New(),
		backends:      backendsim.NewHost(),
		operatorToken: randomHex(),
		counterKey:    randomHex(),
		bookingKey:    randomHex(),
	}
	runCtx, stop := context.WithCancel(context.Background())
	f.stop = stop
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
	if err := f.apply(ctx, intent); err != nil {
		return nil, err
	}
	if err := f.awaitReady(ctx); err != nil {
		return nil, err
	}
	return f, f.awaitBuckets(ctx)
}

// close ends the VMs gracefully, then the stand-ins.
func (f *fleet) close() {
	f.stop()
	f.running.Wait()
	f.backends.Close()
}

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
		f.running.Go(func() { _ = d.Run(ctx) })
	}
	return nil
}

// startBackends starts the backend servers and returns the configuration that
// describes them.
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
				ID: id, Seed: uint64(n*serversPerService + i + 1), Slots: slots, ColdSlots: 1, StartWarm: true,
				MedianMicros: medianMicros, Sigma: 0.3, AnswerBytes: answerBytes, Secrets: []string{f.counterKey, f.bookingKey},
			})
			if err != nil {
				return intent, errors.Wrapf(err, "starting the backend server %s", id)
			}
			intent.Changes = append(intent.Changes, contract.SetServer{Service: service, Server: contract.Server{
				ID: id, Zone: zones[i%len(zones)], Address: server.Address(),
				Slots: slots, ColdSlots: 1, MaxConnections: 330,
			}})
		}
	}
	f.addTeams(&intent)
	return intent, nil
}

func (f *fleet) addTeams(intent *contract.Intent) {
	both := []contract.TeamID{counterTeam, bookingTeam}
	intent.Changes = append(intent.Changes,
		contract.SetTeam{Team: contract.Team{ID: counterTeam, RatePerSecond: 200, Burst: 200, Weight: 2}},
		contract.SetTeam{Team: contract.Team{ID: bookingTeam, RatePerSecond: 2, Burst: 3, Weight: 1}},
		contract.IssueKey{ID: "counter-key", Team: counterTeam, SecretHash: contract.HashSecret(f.counterKey)},
		contract.IssueKey{ID: "booking-key", Team: bookingTeam, SecretHash: contract.HashSecret(f.bookingKey)},
		contract.SetRoute{Route: contract.Route{ID: "stock", PathPrefix: "/stock", Service: stockService, Teams: both,
			IdempotentMethods: []string{"GET", "HEAD"}, TimeoutMillis: 2000}},
		contract.SetRoute{Route: contract.Route{ID: "loans", PathPrefix: "/loans", Service: loanService,
			Teams: []contract.TeamID{counterTeam}, IdempotentMethods: []string{"GET"}, TimeoutMillis: 5000}},
		contract.SetRoute{Route: contract.Route{ID: "opening-hours", PathPrefix: "/opening-hours", Service: stockService,
			OpenToAll: true, IdempotentMethods: []string{"GET"}, TimeoutMillis: 2000}},
	)
}

// apply plans and confirms an intent, as an operator would.
func (f *fleet) apply(ctx context.Context, intent contract.Intent) error {
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
	return f.await(ctx, "the configuration is in force", func() bool {
		for _, d := range f.daemons {
			if d.ConfigurationVersion() < outcome.Version {
				return false
			}
		}
		return true
	})
}

func (f *fleet) awaitReady(ctx context.Context) error {
	return f.await(ctx, "all VMs are ready", func() bool {
		for _, d := range f.daemons {
			if ready, _ := d.Ready(time.Now()); !ready || d.MemberCount() < len(f.daemons) {
				return false
			}
		}
		return true
	})
}

// awaitBuckets waits until each team's home lends tokens: a new home first lets
// the loans of a former one expire.
func (f *fleet) awaitBuckets(ctx context.Context) error {
	return f.await(ctx, "each team's requests are admitted", func() bool {
		for _, credential := range []string{f.counter(), f.booking()} {
			if f.send(0, get("/stock/hut-7", credential)).status != fasthttp.StatusOK {
				return false
			}
		}
		return true
	})
}

const pollInterval = 50 * time.Millisecond

// await polls until the condition holds or the context ends.
func (f *fleet) await(ctx context.Context, what string, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "waiting until %s", what)
		case <-ticker.C:
		}
	}
	return nil
}

func randomHex() string {
	b := make([]byte, link.MinSecretBytes)
	_, _ = rand.Read(b) // never fails; see crypto/rand
	return hex.EncodeToString(b)
}
