package cli

import (
	"io"
	"os"

	"almondstile/configcheck"
	"almondstile/contract"
	"almondstile/platform"
	"almondstile/settings"

	"github.com/cockroachdb/errors"
)

// checkCommand are the options of the command "check".
type checkCommand struct {
	Settings      string `short:"s" long:"settings" value-name:"FILE" description:"the settings file to check"`
	Configuration string `short:"c" long:"configuration" value-name:"FILE" description:"the configuration document to check"`
	InForce       string `long:"in-force" value-name:"FILE" description:"the configuration in force, to compare with"`
	global        *globalOptions
}

// Execute checks a settings file or a configuration and prints what is wrong with it.
func (c *checkCommand) Execute([]string) error {
	switch {
	case (c.Settings == "") == (c.Configuration == ""):
		return &ExitError{Code: ExitUsage, Err: errors.New("one of the options --settings and --configuration is required")}
	case c.Settings != "" && c.InForce != "":
		return &ExitError{Code: ExitUsage, Err: errors.New("the option --in-force goes with --configuration")}
	case c.Settings != "":
		_, faults := settings.Load(c.Settings)
		return c.global.printFaults(c.Settings, faults)
	default:
		return c.checkConfiguration()
	}
}

// checkConfiguration checks the configuration, compares it with the one in force if there
// is one, and prints the report. It returns an ExitError with ExitFailed if there are
// errors.
func (c *checkCommand) checkConfiguration() error {
	config, lost, err := readConfiguration(c.Configuration)
	if err != nil {
		return err
	}
	var inForce *contract.Configuration
	if c.InForce != "" {
		if inForce, _, err = readConfiguration(c.InForce); err != nil {
			return err
		}
	}
	report := configcheck.Check(config, inForce)
	report.Findings = append(lost, report.Findings...)
	if err := c.global.print(report); err != nil {
		return err
	}
	if n := report.Errors(); n > 0 {
		err := errors.Newf("errors in %s: %d", c.Configuration, n)
		return &ExitError{Code: ExitFailed, Err: errors.Mark(err, errPrinted)}
	}
	return nil
}

// readConfiguration reads a configuration document and what its translation loses.
func readConfiguration(file string) (*contract.Configuration, []configcheck.Finding, error) {
	document, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, &ExitError{Code: ExitUsage, Err: err}
	}
	config, lost, err := platform.ReadConfiguration(document)
	if err != nil {
		return nil, nil, &ExitError{Code: ExitUsage, Err: errors.Wrapf(err, "%s", file)}
	}
	return config, lost, nil
}

// printReport writes the findings on a configuration and what differs from the one in
// force.
func printReport(w io.Writer, r *configcheck.Report) {
	printLine(w, "Version %d: %d errors, %d warnings", r.Version, r.Errors(), len(r.Findings)-r.Errors())
	for _, f := range r.Findings { // all of them, so that operators can correct them in one pass
		printLine(w, "%s", f)
	}
	if r.Changes == nil {
		return
	}
	printLine(w, "Compared with version %d:", *r.InForce)
	printEffect(w, r.Changes)
	if r.LimitsAfter != nil {
		printLine(w, "limits of callers  %+v before, %+v after", *r.LimitsBefore, *r.LimitsAfter)
	}
}
