package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes of all commands.
const (
	ExitOK             = 0
	ExitFailed         = 1
	ExitUsage          = 2
	ExitOutcomeUnknown = 3
)

const exitCodesHelp = "Exit codes: 0 done; 1 failed or refused; 2 wrong usage or settings; " +
	"3 outcome unknown: ask again, a repeated confirm never applies a plan twice."

// Command is one command of the command line.
type Command struct {
	Name string
	// Short stands in the list of commands, Long in the command's own help.
	Short, Long string
	// Runner holds the command's options as go-flags fields. It may be nil for
	// a command that only groups others.
	Runner flags.Commander
	// Commands are the commands below this one, as in "key issue".
	Commands []Command
}

// ExitError is an error with an exit code of its own. Other errors exit with
// ExitFailed.
type ExitError struct {
	Code int
	Err  error
}

func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// errPrinted marks an error that the JSON output already contains.
var errPrinted = errors.New("printed")

func usageError(format string, args ...any) error {
	return &ExitError{ExitUsage, errors.Newf(format, args...)}
}

// Run parses the arguments (without the program's name), runs one command and
// returns the exit code. Extra commands stand beside the operators' commands.
func Run(args []string, extra ...Command) int {
	return run(os.Stdin, os.Stdout, os.Stderr, args, extra)
}

func run(stdin io.Reader, stdout, stderr io.Writer, args []string, extra []Command) int {
	global := &globalOptions{stdin: stdin, stdout: stdout}
	parser := flags.NewNamedParser("almondstile", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = exitCodesHelp
	if _, err := parser.AddGroup("Common options", "", global); err != nil {
		return report(stdout, stderr, global, err)
	}
	for _, c := range append(operatorCommands(global), extra...) {
		if err := c.addTo(parser.Command); err != nil {
			return report(stdout, stderr, global, err)
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
	return report(stdout, stderr, global, err)
}

func (c Command) addTo(parent *flags.Command) error {
	var data any = &struct{}{}
	if c.Runner != nil {
		data = c.Runner
	}
	added, err := parent.AddCommand(c.Name, c.Short, c.Long+"\n\n"+exitCodesHelp, data)
	if err != nil {
		return errors.Wrapf(err, "command %s", c.Name)
	}
	for _, below := range c.Commands {
		if err := below.addTo(added); err != nil {
			return err
		}
	}
	return nil
}

// report prints an error and returns the exit code.
func report(stdout, stderr io.Writer, global *globalOptions, err error) int {
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
		_ = global.printJSON(errorOutput(err))
	}
	_, _ = fmt.Fprintf(stderr, "almondstile: %s\n", describe(err))
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailed
}
