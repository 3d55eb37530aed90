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
	"almondstile/zone"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// secretBytes is the length in bytes of the secret in a generated key. Such a
// secret has 256 random bits and cannot be guessed, so its stored hash needs
// neither a salt nor a slow hash function.
const secretBytes = 32

// operatorCommands returns the commands for operators. All of them share the
// options in g.
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
			{Name: "withdraw", Short: "Withdraw a key", Runner: &keyWithdrawCommand{singleChangeCommand{global: g}},
				Long: "Makes a key invalid for good, also on open connections."},
		}},
		{Name: "zone", Short: "Take zones out and return them", Long: "Takes availability zones out and returns them.", Commands: []Command{
			{Name: "out", Short: "Take a zone out", Runner: &zoneCommand{singleChangeCommand{global: g}, true},
				Long: "Servers in the zone get no new work; running work finishes."},
			{Name: "in", Short: "Return a zone", Runner: &zoneCommand{singleChangeCommand{global: g}, false},
				Long: "Servers in the zone get new work again, starting cold."},
		}},
		{Name: "server", Short: "Let backend servers leave and return", Long: "Lets backend servers leave and return.", Commands: []Command{
			{Name: "leave", Short: "Let a backend server leave", Runner: &serverCommand{singleChangeCommand{global: g}, true},
				Long: "The server gets no new work; running work finishes."},
			{Name: "return", Short: "Return a backend server", Runner: &serverCommand{singleChangeCommand{global: g}, false},
				Long: "The server gets new work again, starting cold."},
		}},
		vmCommands(g),
		{Name: "check", Short: "Check a VM's settings, or a configuration before it is sent", Runner: &checkCommand{global: g},
			Long: "Reads a settings file, or a configuration document of a prepared platform, and lists everything wrong with it. " +
				"With --in-force it also lists what differs from the configuration in that file. It needs no VM. " +
				"A configuration with errors exits with 1, one with warnings only with 0."},
	}
}

// confirmOption is the --yes option, which all commands that make a plan embed.
type confirmOption struct {
	Yes bool `short:"y" long:"yes" description:"confirm the plan at once"`
}

type planCommand struct {
	confirmOption
	File   string `short:"f" long:"file" required:"true" description:"file with the intent, or - for standard input"`
	global *globalOptions
}

// Execute reads the intent, has the VM make a plan from it, and prints the plan.
// With --yes it also confirms the plan.
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

// finish prints the plan and, with --yes, confirms it and prints the outcome. As
// text, the plan is printed before the confirm is sent, because the operator needs
// the plan's ID and the new credential even if the confirm fails.
func (c *confirmOption) finish(g *globalOptions, out planOutput) error {
	if !c.Yes {
		return g.print(out)
	}
	if g.JSON {
		return confirmAsJSON(g, out)
	}
	out.confirmFollows = true
	if err := g.print(out); err != nil {
		return err
	}
	outcome, err := g.confirm(out.Plan.ID)
	if err != nil {
		return err
	}
	return g.print(outcome)
}

// confirmAsJSON confirms the plan. It then prints one JSON value with the plan, its
// credential, and the outcome or the error of the confirm.
func confirmAsJSON(g *globalOptions, out planOutput) error {
	outcome, err := g.confirm(out.Plan.ID)
	if err == nil {
		out.Outcome = &outcome
		return g.printJSON(out)
	}
	detail := errorBody(err).Error
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

// Execute confirms the plan and prints the outcome.
func (c *confirmCommand) Execute([]string) error {
	outcome, err := c.global.confirm(c.Arguments.ID)
	if err != nil {
		return err
	}
	return c.global.print(outcome)
}

type statusCommand struct{ global *globalOptions }

// Execute fetches the fleet's status from one VM and prints it.
func (c *statusCommand) Execute([]string) error {
	status, err := c.global.status()
	if err != nil {
		return err
	}
	return c.global.print(status)
}

type keyIssueCommand struct {
	confirmOption
	Team   string `short:"t" long:"team" required:"true" description:"ID of the team"`
	ID     string `long:"id" description:"ID of the key; generated if missing"`
	global *globalOptions
}

// Execute generates a secret, makes a plan that issues a key with the secret's
// hash, and prints the plan with the credential. With --yes it also confirms the plan.
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

// singleChangeCommand is the common part of commands that make a plan with one
// change of one object, which is given by its ID.
type singleChangeCommand struct {
	confirmOption
	Arguments struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"true" required:"true"`
	global *globalOptions
}

// planChange makes a plan with this one change and prints it. With --yes it also
// confirms the plan.
func (c *singleChangeCommand) planChange(change contract.Change) error {
	plan, err := c.global.planIntent(contract.NewIntent(change))
	if err != nil {
		return err
	}
	return c.finish(c.global, planOutput{Plan: plan})
}

type keyWithdrawCommand struct{ singleChangeCommand }

// Execute plans the withdrawal of the key.
func (c *keyWithdrawCommand) Execute([]string) error {
	return c.planChange(contract.WithdrawKey{ID: contract.KeyID(c.Arguments.ID)})
}

type zoneCommand struct {
	singleChangeCommand
	takeOut bool
}

// Execute plans to take the zone out or to return it.
func (c *zoneCommand) Execute([]string) error {
	return c.planChange(contract.SetZoneOut{ID: zone.ID(c.Arguments.ID), Out: c.takeOut})
}

type serverCommand struct {
	singleChangeCommand
	leaving bool
}

// Execute plans to let the server leave or return.
func (c *serverCommand) Execute([]string) error {
	return c.planChange(contract.SetServerLeaving{ID: contract.ServerID(c.Arguments.ID), Leaving: c.leaving})
}

// planOutput is the output of a command that makes a plan.
type planOutput struct {
	Plan configstore.StoredPlan `json:"plan"`
	// Credential has the form ID.SECRET. It is printed once and stored nowhere.
	Credential string `json:"credential,omitempty"`
	// Outcome and Error are set only if the same call also confirms the plan.
	Outcome *configstore.Outcome  `json:"outcome,omitempty"`
	Error   *operator.ErrorDetail `json:"error,omitempty"`

	// confirmFollows is set if the same call confirms the plan after printing it.
	// The text output then leaves out the hint to run "almondstile confirm".
	confirmFollows bool
}
