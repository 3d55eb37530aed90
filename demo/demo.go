package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"almondstile/logging"

	"github.com/cockroachdb/errors"
)

// ErrChecksFailed says that a request got something else than it should.
var ErrChecksFailed = errors.New("demo: some checks failed")

// startLimit bounds the start: sessions, the member list, the configuration.
const startLimit = 60 * time.Second

// checkLimit bounds all checks together.
const checkLimit = 90 * time.Second

// Run starts the demo and prints how to call it. With check it sends its own
// requests, prints what each got and returns; otherwise it serves until the
// context ends.
func Run(ctx context.Context, out io.Writer, log *logging.Log, check bool) error {
	startCtx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	_, _ = fmt.Fprintln(out, "Starting three VMs, twelve backend servers and the platform on loopback.")
	f, err := start(startCtx, log)
	if err != nil {
		return err
	}
	defer f.close()
	f.describe(out)
	if !check {
		<-ctx.Done()
		return nil
	}
	checkCtx, cancelCheck := context.WithTimeout(ctx, checkLimit)
	defer cancelCheck()
	if failed := runChecks(checkCtx, f, out); failed > 0 {
		return errors.Wrapf(ErrChecksFailed, "%d failed", failed)
	}
	return nil
}

func (f *fleet) describe(out io.Writer) {
	for _, d := range f.daemons {
		_, _ = fmt.Fprintf(out, "%s in %s: callers http://%s, operators http://%s\n",
			d.Self().ID, d.Self().Zone, d.CallersAddress(), d.OperatorAddress())
	}
	_, _ = fmt.Fprintf(out, "operator token: %s\n\nTry:\n  curl -i -H 'Authorization: Bearer counter-key.%s' http://%s/stock/hut-7\n\n",
		f.operatorToken, f.counterKey, f.daemons[0].CallersAddress())
}
