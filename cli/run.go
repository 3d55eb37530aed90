package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes of all commands. ExitFailed also covers requests that a VM refused.
// ExitOutcomeUnknown means that a change may or may not have been applied.
const (
	ExitOK             = 0
	ExitFailed         = 1
	ExitUsage          = 2
	ExitOutcomeUnknown = 3
)

const exitCodesHelp = "Exit codes: 0 done; 1 failed or refused; 2 wrong usage or settings; " +
	"3 outcome unknown: ask again, a repeated confirm never applies a plan twice."

// Command describes one command and its subcommands.
type Command struct {
	Name string
	// Short is shown in the list of commands, Long in the command's own help.
	Short, Long string
	// Runner holds the command's options as go-flags fields and executes the
	// command. It is nil for a command that only groups subcommands.
	Runner flags.Commander
	// Commands are the subcommands, such as issue in "key issue".
	Commands []Command
}

// ExitError is an error that sets the exit code. All other errors lead to
// ExitFailed.
type ExitError struct {
	Code int
	Err  error
}

func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *ExitError) Unwrap() error { return e.Err }

// errPrinted marks errors that a command has already printed as JSON, so that
// reportError doesn't print a second JSON value.
var errPrinted = errors.New("already printed as JSON")

// usageError returns an error that leads to ExitUsage.
func usageError(format string, args ...any) error {
	return &ExitError{ExitUsage, errors.Newf(format, args...)}
}

// Run parses args (without the program's name), executes one command and returns
// the exit code. The commands in extra are added to the operators' commands.
func Run(args []string, extra ...Command) int {
	return run(os.Stdin, os.Stdout, os.Stderr, args, extra)
}

func run(stdin io.Reader, stdout, stderr io.Writer, args []string, extra []Command) int {
	global := &globalOptions{stdin: stdin, stdout: stdout}
	parser := flags.NewNamedParser("almondstile", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = exitCodesHelp
	if _, err := parser.AddGroup("Common options", "", global); err != nil {
		return reportError(stdout, stderr, global, err)
	}
	for _, c := range append(operatorCommands(global), extra...) {
		if err := c.addTo(parser.Command); err != nil {
			return reportError(stdout, stderr, global, err)
		}
	}
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		if command == nil {
			return nil
		}
		if len(rest) > 0 {
			return usageError("unexpected argument %q", rest[0])
		}
		return command.Execute(nil)
	}
	_, err := parser.ParseArgs(args)
	return reportError(stdout, stderr, global, err)
}

// addTo registers the command and its subcommands with the parser.
func (c Command) addTo(parent *flags.Command) error {
	var data any = &struct{}{}
	if c.Runner != nil {
		data = c.Runner
	}
	added, err := parent.AddCommand(c.Name, c.Short, c.Long+"\n\n"+exitCodesHelp, data)
	if err != nil {
		return errors.Wrapf(err, "adding command %q", c.Name)
	}
	for _, subcommand := range c.Commands {
		if err := subcommand.addTo(added); err != nil {
			return err
		}
	}
	return nil
}

// reportError prints err, if it is not nil, and returns the matching exit code. Help
// texts arrive as errors too; they go to stdout and lead to ExitOK.
func reportError(stdout, stderr io.Writer, global *globalOptions, err error) int {
	var usage *flags.Error
	var exit *ExitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintf(stderr, "almondstile: %s\n", usage.Message)
		return ExitUsage
	}
	if global.JSON && !errors.Is(err, errPrinted) {
		_ = global.printJSON(errorBody(err))
	}
	_, _ = fmt.Fprintf(stderr, "almondstile: %s\n", describeError(err))
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailed
}
