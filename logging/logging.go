package logging

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Logger writes the log lines of one part of the daemon.
type Logger = *logrus.Entry

// Log is the root of all loggers of a process.
type Log struct {
	root *logrus.Logger
}

// New returns a log that writes JSON lines to out. The level is one of the level
// names of logrus, for instance "info".
func New(out io.Writer, level string) (*Log, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "invalid log level %q", level)
	}
	root := logrus.New()
	root.SetOutput(out)
	root.SetLevel(parsed)
	root.SetFormatter(&logrus.JSONFormatter{})
	root.AddHook(prefixHook{})
	return &Log{root: root}, nil
}

// Discard returns a log that drops all lines.
func Discard() *Log {
	l, _ := New(io.Discard, "panic")
	return l
}

// partField is the key of the log field that holds the part's name.
const partField = "part"

// Part returns the logger of the part with the given name. Its messages start with
// the name, a colon and a space.
func (l *Log) Part(name string) Logger {
	return l.root.WithField(partField, name)
}

// prefixHook is a logrus hook that puts the part's name in front of the message.
type prefixHook struct{}

// Levels implements logrus.Hook.
func (prefixHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (prefixHook) Fire(e *logrus.Entry) error {
	if part, ok := e.Data[partField].(string); ok {
		e.Message = part + ": " + e.Message
	}
	return nil
}
