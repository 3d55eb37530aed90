package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"almondstile/cli"
	"almondstile/demo"
	"almondstile/logging"
)

// demoOptions are the options of the command "demo".
type demoOptions struct {
	Check    bool   `long:"check" description:"send requests, print what each got, exit 0 only if all were right"`
	LogLevel string `long:"log-level" default:"error" description:"lowest level of the VMs' log lines"`
}

func demoCommand() cli.Command {
	return cli.Command{
		Name:  "demo",
		Short: "run a small fleet with stand-ins on loopback",
		Long: "Runs three VMs, stand-ins of the platform and twelve stand-in backend servers in one process " +
			"on loopback, and prints a curl command that works.",
		Runner: &demoOptions{},
	}
}

// Execute runs the demo until it gets SIGTERM or SIGINT. With --check it returns
// after the checks, with an error if one failed.
func (o *demoOptions) Execute([]string) error {
	log, err := logging.New(os.Stderr, o.LogLevel)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	return demo.Run(ctx, os.Stdout, log, o.Check)
}
