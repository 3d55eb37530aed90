package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"almondstile/cli"
	"almondstile/daemon"
	"almondstile/hosted"
	"almondstile/logging"
	"almondstile/platform"
	"almondstile/settings"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// serveOptions are the options of the command "serve".
type serveOptions struct {
	Settings string `long:"settings" value-name:"FILE" description:"TOML settings of this VM; needed but on a prepared platform, which names its own file"`
}

func serveCommand() cli.Command {
	return cli.Command{
		Name:  "serve",
		Short: "run the daemon of one entry VM",
		Long: "Runs the daemon of one entry VM until SIGTERM or SIGINT, then shuts down gracefully: " +
			"the VM reports that it is not ready, running requests finish, its roles go to other VMs. " +
			"Logs go to standard error as JSON lines.",
		Runner: &serveOptions{},
	}
}

// Execute runs the daemon until it gets SIGTERM or SIGINT. Without --settings it
// uses the settings file that the platform names in platform.SettingsVariable.
// It returns an ExitError with cli.ExitUsage if the settings are missing or faulty.
func (s *serveOptions) Execute([]string) error {
	if path := os.Getenv(platform.SettingsVariable); s.Settings == "" && path != "" {
		return serveOnPlatform(path)
	}
	if s.Settings == "" {
		return &cli.ExitError{Code: cli.ExitUsage, Err: errors.New("the option --settings is missing")}
	}
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
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	return d.Run(ctx)
}

// maxLogLinesPerSecond limits the log of one VM. When 420 VMs serve 73,000 requests
// per second, each VM serves about 175 per second, so there is room for one line
// per request.
const maxLogLinesPerSecond = 200

// serveOnPlatform runs the daemon on a prepared platform, with the settings file
// that the platform wrote at path. It logs to standard output and reloads the file
// at SIGHUP.
func serveOnPlatform(path string) error {
	// Signals are received from the start on. Their default action would end the process.
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	loaded, err := platform.LoadSettings(path)
	if err != nil {
		return &cli.ExitError{Code: cli.ExitUsage, Err: err}
	}
	logOutput := logging.NewBounded(os.Stdout, maxLogLinesPerSecond)
	defer logOutput.Close()
	log, err := logging.New(logOutput, "info")
	if err != nil {
		return err
	}
	process, err := hosted.New(loaded, hosted.Platform{
		Store: platform.NewStore(loaded.StoreAddress), Decoder: platform.Decoder{},
		CallerProtocol: platform.Callers{}, ServerProtocol: platform.Servers{},
	}, log)
	if err != nil {
		return err
	}
	return runWithReload(ctx, process.Run, func(ctx context.Context) {
		reloadOnHangup(ctx, hangup, path, process, log.Part("settings"))
	})
}

// runWithReload calls run, and reload in the background until run returns. run may return
// before ctx ends, if the process fails.
func runWithReload(ctx context.Context, run func(context.Context) error, reload func(context.Context)) error {
	reloading, stopReloading := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer stopReloading()
	wg.Go(func() { reload(reloading) })
	return run(ctx)
}

// reloadOnHangup reads the settings file again at each SIGHUP and applies it, until
// ctx ends. If the file can't be loaded, the process keeps its settings.
func reloadOnHangup(ctx context.Context, hangup <-chan os.Signal, path string, process *hosted.Process, log logging.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		loaded, err := platform.LoadSettings(path)
		if err != nil {
			log.WithError(err).Error("The settings are not reloaded; the old ones stay in force.")
			continue
		}
		process.Reload(loaded)
	}
}

// settingsError returns an error that lists all faults and leads to cli.ExitUsage.
func settingsError(faults []settings.Fault) error {
	return &cli.ExitError{Code: cli.ExitUsage, Err: &settings.FaultsError{Faults: faults}}
}
