package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"almondstile/cli"
	"almondstile/daemon"
	"almondstile/logging"
	"almondstile/settings"
)

type serve struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"TOML settings of this VM"`
}

func serveCommand() cli.Command {
	return cli.Command{
		Name:  "serve",
		Short: "run the daemon of one entry VM",
		Long: "Runs the daemon of one entry VM until SIGTERM or SIGINT, then shuts down gracefully: " +
			"the VM reports that it is not ready, running requests finish, its roles go to other VMs. " +
			"Logs go to standard error as JSON lines.",
		Runner: &serve{},
	}
}

// Execute implements flags.Commander.
func (s *serve) Execute([]string) error {
	loaded, faults := settings.Load(s.Settings)
	if len(faults) > 0 {
		return settingsError(faults)
	}
	log, err := logging.New(os.Stderr, loaded.Log.Level)
	if err != nil {
		return err
	}
	d, err := daemon.New(loaded, daemon.Connect(&loaded.Platform), log)
	if err != nil {
		return err
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	return d.Run(stop)
}

func settingsError(faults []settings.Fault) error {
	return &cli.ExitError{Code: cli.ExitUsage, Err: &settings.FaultsError{Faults: faults}}
}
