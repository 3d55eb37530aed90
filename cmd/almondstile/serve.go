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

type serve struct {
	Settings string `long:"settings" value-name:"FILE" description:"TOML settings of this VM; needed but on a prepared platform, which names its own file"`
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
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	return d.Run(stop)
}

// logLinesPerSecond bounds the log of one VM. At 73,000 requests a second on 420
// nodes it holds a line for each of the 175 requests that a node serves.
const logLinesPerSecond = 200

// serveOnPlatform runs the daemon with the settings that the platform wrote.
func serveOnPlatform(path string) error {
	loaded, err := platform.LoadSettings(path)
	if err != nil {
		return &cli.ExitError{Code: cli.ExitUsage, Err: err}
	}
	out := logging.NewBounded(os.Stdout, logLinesPerSecond)
	defer out.Close()
	log, err := logging.New(out, "info")
	if err != nil {
		return err
	}
	v, err := hosted.New(loaded, hosted.Platform{
		Store: platform.NewStore(loaded.StoreAddress), Decoder: platform.Decoder{},
		CallerProtocol: platform.Callers{}, ServerProtocol: platform.Servers{},
	}, log)
	if err != nil {
		return err
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { reloadOnHangup(stop, hangup, path, v, log.Part("settings")) })
	return v.Run(stop)
}

// reloadOnHangup reads the settings file anew at each SIGHUP.
func reloadOnHangup(stop context.Context, hangup <-chan os.Signal, path string, v *hosted.Process, log logging.Logger) {
	for {
		select {
		case <-stop.Done():
			return
		case <-hangup:
		}
		loaded, err := platform.LoadSettings(path)
		if err != nil {
			log.WithError(err).Error("The settings are not reloaded; the old ones stay in force.")
			continue
		}
		v.Reload(loaded)
	}
}

func settingsError(faults []settings.Fault) error {
	return &cli.ExitError{Code: cli.ExitUsage, Err: &settings.FaultsError{Faults: faults}}
}
