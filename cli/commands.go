package cli

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"os"
	"strings"

	"almondstile/configstore"
	"almondstile/contract"
	"almondstile/operator"
	"almondstile/settings"
	"almondstile/zone"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// secretBytes is the length of a generated key's secret. Its hash needs no salt
// and no slow function, because a secret of 256 random bits cannot be guessed.
const secretBytes = 32

func operatorCommands(g *globalOptions) []Command {
	return []Command{
		{Name: "plan", Short: "Make a plan from an intent", Runner: &planCommand{global: g},
			Long: "Reads an intent in TOML (or JSON, if the file's name ends in .json) and shows the effect that it would have. Nothing changes until the plan is confirmed."},
		{Name: "confirm", Short: "Confirm a plan", Runner: &confirmCommand{global: g},
			Long: "Makes a plan take effect, if no other plan was accepted since it was made. It may be repeated."},
		{Name: "status", Short: "Show the state of the fleet", Runner: &statusCommand{global: g},
			Long: "Shows the VMs with the version in force, services with their servers, and active teams, as one VM sees them."},
		{Name: "key", Short: "Issue and withdraw keys", Long: "Issues and withdraws teams' keys.", Commands: []Command{
			{Name: "issue", Short: "Issue a key to a team", Runner: &keyIssueCommand{global: g},
				Long: "Generates a secret, sends only its hash, and shows the credential once. The credential works when the plan is in force."},
			{Name: "withdraw", Short: "Withdraw a key", Runner: &keyWithdrawCommand{singleAction{global: g}},
				Long: "Makes a key invalid for good, also on open connections."},
		}},
		{Name: "zone", Short: "Take zones out and return them", Long: "Takes availability zones out and returns them.", Commands: []Command{
			{Name: "out", Short: "Take a zone out", Runner: &zoneCommand{singleAction{global: g}, true},
				Long: "Servers in the zone get no new work; running work finishes."},
			{Name: "in", Short: "Return a zone", Runner: &zoneCommand{singleAction{global: g}, false},
				Long: "Servers in the zone get new work again, starting cold."},
		}},
		{Name: "server", Short: "Let backend servers leave and return", Long: "Lets backend servers leave and return.", Commands: []Command{
			{Name: "leave", Short: "Let a backend server leave", Runner: &serverCommand{singleAction{global: g}, true},
				Long: "The server gets no new work; running work finishes."},
			{Name: "return", Short: "Return a backend server", Runner: &serverCommand{singleAction{global: g}, false},
				Long: "The server gets new work again, starting cold."},
		}},
		vmCommands(g),
		{Name: "check", Short: "Check a VM's settings", Runner: &checkCommand{global: g},
			Long: "Reads a settings file and lists everything wrong with it. It needs no VM."},
	}
}

// confirming is the option of all commands that make a plan.
type confirming struct {
	Yes bool `short:"y" long:"yes" description:"confirm the plan at once"`
}

type planCommand struct {
	confirming
	File   string `short:"f" long:"file" required:"true" description:"file with the intent, or - for standard input"`
	global *globalOptions
}

// Execute makes the plan.
func (c *planCommand) Execute([]string) error {
	var body []byte
	var err error
	if c.File == "-" {
		body, err = io.ReadAll(c.global.stdin)
	} else {
		body, err = os.ReadFile(c.File)
	}
	if err != nil {
		return usageError("--file: %v", err)
	}
	contentType := "application/toml"
	if strings.HasSuffix(c.File, ".json") {
		contentType = "application/json"
	}
	plan, err := c.global.plan(contentType, body)
	if err != nil {
		return err
	}
	return c.finish(c.global, planOutput{Plan: plan})
}

// finish prints the plan and, with --yes, confirms it. The plan is printed
// first, so that its ID and a new credential are not lost with the outcome.
func (c *confirming) finish(g *globalOptions, out planOutput) error {
	if !c.Yes {
		return g.print(out)
	}
	if g.JSON {
		return confirmAsJSON(g, out)
	}
	out.confirming = true
	if err := g.print(out); err != nil {
		return err
	}
	outcome, err := g.confirm(out.Plan.ID)
	if err != nil {
		return err
	}
	return g.print(outcome)
}

// confirmAsJSON prints the plan, its credential and the outcome or error of the
// confirm as one JSON value.
func confirmAsJSON(g *globalOptions, out planOutput) error {
	outcome, err := g.confirm(out.Plan.ID)
	if err == nil {
		out.Outcome = &outcome
		return g.printJSON(out)
	}
	detail := errorOutput(err).Error
	out.Error = &detail
	if printErr := g.printJSON(out); printErr != nil {
		return printErr
	}
	return errors.Mark(err, errPrinted)
}

type confirmCommand struct {
	Arguments struct {
		ID string `positional-arg-name:"PLAN" description:"ID of the plan"`
	} `positional-args:"true" required:"true"`
	global *globalOptions
}

// Execute confirms the plan.
func (c *confirmCommand) Execute([]string) error {
	outcome, err := c.global.confirm(c.Arguments.ID)
	if err != nil {
		return err
	}
	return c.global.print(outcome)
}

type statusCommand struct{ global *globalOptions }

// Execute prints the status.
func (c *statusCommand) Execute([]string) error {
	status, err := c.global.status()
	if err != nil {
		return err
	}
	return c.global.print(status)
}

type keyIssueCommand struct {
	confirming
	Team   string `short:"t" long:"team" required:"true" description:"ID of the team"`
	ID     string `long:"id" description:"ID of the key; generated if missing"`
	global *globalOptions
}

// Execute issues the key.
func (c *keyIssueCommand) Execute([]string) error {
	if c.ID == "" {
		id, err := uuid.NewRandom()
		if err != nil {
			return err
		}
		c.ID = id.String()
	}
	var random [secretBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return err
	}
	secret := hex.EncodeToString(random[:])
	plan, err := c.global.planIntent(contract.NewIntent(contract.IssueKey{
		ID: contract.KeyID(c.ID), Team: contract.TeamID(c.Team), SecretHash: contract.HashSecret(secret)}))
	if err != nil {
		return err
	}
	return c.finish(c.global, planOutput{Plan: plan, Credential: c.ID + "." + secret})
}

// singleAction is a command that changes one named thing.
type singleAction struct {
	confirming
	Arguments struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"true" required:"true"`
	global *globalOptions
}

func (c *singleAction) run(change contract.Change) error {
	plan, err := c.global.planIntent(contract.NewIntent(change))
	if err != nil {
		return err
	}
	return c.finish(c.global, planOutput{Plan: plan})
}

type keyWithdrawCommand struct{ singleAction }

// Execute withdraws the key.
func (c *keyWithdrawCommand) Execute([]string) error {
	return c.run(contract.WithdrawKey{ID: contract.KeyID(c.Arguments.ID)})
}

type zoneCommand struct {
	singleAction
	out bool
}

// Execute takes the zone out or returns it.
func (c *zoneCommand) Execute([]string) error {
	return c.run(contract.SetZoneOut{ID: zone.ID(c.Arguments.ID), Out: c.out})
}

type serverCommand struct {
	singleAction
	leaving bool
}

// Execute lets the server leave or return.
func (c *serverCommand) Execute([]string) error {
	return c.run(contract.SetServerLeaving{ID: contract.ServerID(c.Arguments.ID), Leaving: c.leaving})
}

type checkCommand struct {
	Settings string `short:"s" long:"settings" required:"true" description:"the settings file"`
	global   *globalOptions
}

// Execute checks the settings.
func (c *checkCommand) Execute([]string) error {
	_, faults := settings.Load(c.Settings)
	return c.global.printFaults(c.Settings, faults)
}

// planOutput is what a command that makes a plan prints.
type planOutput struct {
	Plan configstore.StoredPlan `json:"plan"`
	// Credential is shown once and stored nowhere.
	Credential string                `json:"credential,omitempty"`
	Outcome    *configstore.Outcome  `json:"outcome,omitempty"`
	Error      *operator.ErrorDetail `json:"error,omitempty"`

	// confirming says that the confirm follows in the same call.
	confirming bool
}
