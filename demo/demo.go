package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"almondstile/logging"

	"github.com/cockroachdb/errors"
)

// ErrChecksFailed is returned by Run if at least one check failed.
var ErrChecksFailed = errors.New("demo: some checks failed")

// startTimeout is the time limit for the start of the fleet. In this time the VMs
// get their sessions, write the member list and activate the configuration.
const startTimeout = 60 * time.Second

// checksTimeout is the time limit for all checks together.
const checksTimeout = 90 * time.Second

// Run starts the fleet and prints its addresses and an example request. If check is
// true, it runs the checks, prints their results and returns; the error is then
// ErrChecksFailed if a check failed. Otherwise it serves until ctx ends.
func Run(ctx context.Context, out io.Writer, log *logging.Log, check bool) error {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	_, _ = fmt.Fprintln(out, "Starting three VMs, twelve backend servers and the platform on loopback.")
	f, err := startFleet(startCtx, log)
	if err != nil {
		return err
	}
	defer f.close()
	f.printAddresses(out)
	if !check {
		<-ctx.Done()
		return nil
	}
	checkCtx, cancelCheck := context.WithTimeout(ctx, checksTimeout)
	defer cancelCheck()
	if failed := runChecks(checkCtx, f, out); failed > 0 {
		return errors.Wrapf(ErrChecksFailed, "%d failed", failed)
	}
	return nil
}

// printAddresses prints the addresses of all VMs, the operator token and a curl
// command that gets a response.
func (f *fleet) printAddresses(out io.Writer) {
	for _, d := range f.daemons {
		_, _ = fmt.Fprintf(out, "%s in %s: callers http://%s, operators http://%s\n",
			d.Self().ID, d.Self().Zone, d.CallersAddress(), d.OperatorAddress())
	}
	_, _ = fmt.Fprintf(out, "operator token: %s\n\nTry:\n  curl -i -H 'Authorization: Bearer counter-key.%s' http://%s/stock/hut-7\n\n",
		f.operatorToken, f.counterSecret, f.daemons[0].CallersAddress())
}
