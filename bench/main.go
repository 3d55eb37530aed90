package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitBrokenPromise = 1 // a promise was broken
	exitFailed        = 2 // the run itself failed, so it has no result
)

// runOptions holds the arguments of the run command.
type runOptions struct {
	Seed       uint64 `long:"seed" default:"1" description:"seed of the load, the faults and the servers"`
	VMs        int    `long:"vms" default:"48" description:"number of entry VMs"`
	Out        string `long:"out" default:"bench-out" description:"directory for the binary, settings and logs"`
	JSON       bool   `long:"json" description:"print one JSON object for each promise and measure"`
	Deployment string `long:"deployment" default:"deployments/cairnlight.toml" description:"deployment file"`
	Binary     string `no-flag:"true"`
	Runs       int    `long:"runs" default:"1" description:"number of runs, each with the next seed"`
	Args       struct {
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`
}

// binary returns the path of the binary under test: Binary if a test has set it,
// otherwise the path in the output directory.
func (o runOptions) binary() string {
	if o.Binary != "" {
		return o.Binary
	}
	return filepath.Join(o.Out, "almondstile")
}

// listCommand prints the names and descriptions of all experiments.
type listCommand struct{}

func (listCommand) Execute([]string) error {
	for _, e := range experiments() {
		fmt.Printf("%-18s %s\n", e.Name, e.About)
	}
	return nil
}

// runCommand runs one experiment, once for each seed.
type runCommand struct{ runOptions }

var errBrokenPromise = errors.New("a promise broke")

func (c *runCommand) Execute([]string) error {
	e, ok := findExperiment(c.Args.Name)
	if !ok {
		return errors.Newf("no experiment is called %q; see `bench list`", c.Args.Name)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := build(ctx, c.runOptions); err != nil {
		return err
	}
	rep := &report{out: os.Stdout, json: c.JSON}
	for n := range c.Runs {
		o := c.runOptions
		o.Seed += uint64(n)
		if err := execute(ctx, e, o, rep); err != nil {
			return errors.Wrapf(err, "%s with seed %d", e.Name, o.Seed)
		}
	}
	if c.Runs > 1 {
		rep.printMedians(e.Name, c.runOptions)
	}
	if len(rep.brokenPromises) > 0 {
		return errBrokenPromise
	}
	return nil
}

// build compiles the binary under test. Each run of the command does so, because
// a binary from an earlier run may be out of date.
func build(ctx context.Context, o runOptions) error {
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return err
	}
	command := exec.CommandContext(ctx, "go", "build", "-o", o.binary(), "./cmd/almondstile")
	command.Stdout, command.Stderr = os.Stderr, os.Stderr
	return errors.Wrap(command.Run(), "building almondstile")
}

func main() {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	_, err1 := parser.AddCommand("list", "list the experiments", "", &listCommand{})
	_, err2 := parser.AddCommand("run", "run an experiment", "", &runCommand{})
	err := errors.CombineErrors(err1, err2)
	if err == nil {
		_, err = parser.Parse()
	}
	switch {
	case err == nil:
	case errors.Is(err, errBrokenPromise):
		os.Exit(exitBrokenPromise)
	default:
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(exitFailed)
	}
}
