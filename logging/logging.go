package logging

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Logger writes the lines of one part.
type Logger = *logrus.Entry

// Log is the root of all loggers of a process.
type Log struct {
	root *logrus.Logger
}

// New returns a log that writes JSON lines to out. Level is one of logrus'
// level names, for instance "info".
func New(out io.Writer, level string) (*Log, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "log level %q", level)
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

const partField = "part"

// Part returns the logger of one part. Its lines start with "<part>: ".
func (l *Log) Part(name string) Logger {
	return l.root.WithField(partField, name)
}

// prefixHook puts the part's name in front of the message.
type prefixHook struct{}

func (prefixHook) Levels() []logrus.Level { return logrus.AllLevels }

func (prefixHook) Fire(e *logrus.Entry) error {
	if part, ok := e.Data[partField].(string); ok {
		e.Message = part + ": " + e.Message
	}
	return nil
}
