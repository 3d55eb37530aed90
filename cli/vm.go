package cli

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"almondstile/operator"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
)

func vmCommands(g *globalOptions) Command {
	return Command{Name: "vm", Short: "Remove lost VMs from the member list", Long: "Removes lost VMs from the member list.",
		Commands: []Command{{Name: "discard", Short: "Discard VMs that are lost for good", Runner: &vmDiscardCommand{global: g},
			Long: "For the loss of half of the member list or more, when the lost VMs do not return under their IDs. " +
				operator.DiscardAssertion + " Without --yes it only shows what would change."}}}
}

type vmDiscardCommand struct {
	Yes       bool `short:"y" long:"yes" description:"assert that the VMs have ended for good, and discard them"`
	Arguments struct {
		IDs []string `positional-arg-name:"ID" required:"1" description:"ID of a lost VM"`
	} `positional-args:"true" required:"true"`
	global *globalOptions
}

// Execute shows which VMs would be removed from the member list. With --yes it then
// removes them from the version of the list that it has shown.
func (c *vmDiscardCommand) Execute([]string) error {
	request := operator.DiscardRequest{}
	for _, id := range c.Arguments.IDs {
		request.VMs = append(request.VMs, vm.ID(id))
	}
	preview, err := c.global.discard(request)
	if err != nil {
		return err
	}
	if !c.Yes {
		return c.global.print(preview)
	}
	if !c.global.JSON {
		if err := c.global.print(preview); err != nil {
			return err
		}
	}
	request.Confirm, request.Base = true, preview.Base
	result, err := c.global.discard(request)
	if err != nil {
		return err
	}
	return c.global.print(result)
}

// discard sends one request to preview or confirm the removal of VMs. Only a
// confirm can have an unknown outcome, because a preview changes nothing.
func (g *globalOptions) discard(request operator.DiscardRequest) (operator.DiscardReply, error) {
	var reply operator.DiscardReply
	body, err := json.Marshal(request)
	if err != nil {
		return reply, err
	}
	err = g.call(http.MethodPost, "/v1/vms/discard", "application/json", body, &reply)
	var api *apiError
	outcomeUnknown := errors.Is(err, errNoReply) || errors.As(err, &api) &&
		(api.detail.Code == operator.CodeOutcomeUnknown || api.detail.Code == operator.CodeInternal)
	if request.Confirm && outcomeUnknown {
		err = &ExitError{ExitOutcomeUnknown, errors.Wrap(err, "outcome unknown, look at the member list in \"almondstile status\"")}
	}
	return reply, err
}

func printDiscard(w io.Writer, r operator.DiscardReply) {
	if r.Done {
		printLine(w, "Discarded: %s", joinIDs(r.Removed))
		return
	}
	printLine(w, "Member list %d: would lose %s", r.Base, joinIDs(r.Removed))
	printLine(w, "%d VMs remain: %s", len(r.Remaining), joinLimited("", r.Remaining))
	printLine(w, "%s", r.Assertion)
	printLine(w, "Nothing has changed yet. To discard them, repeat the command with --yes.")
}

// joinIDs joins all IDs. Unlike joinLimited it leaves none out, because an operator
// must see each VM that is discarded.
func joinIDs(ids []vm.ID) string {
	text := make([]string, len(ids))
	for i, id := range ids {
		text[i] = string(id)
	}
	return strings.Join(text, ", ")
}
