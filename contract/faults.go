package contract

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a configuration or an intent.
type Fault struct {
	// Path names the field, for instance `servers["loan-1"].slots`.
	Path string `json:"path"`
	// Value is the value found there.
	Value string `json:"value"`
	// Allowed says what would be accepted.
	Requirement string `json:"allowed"`
}

func (f Fault) String() string {
	return fmt.Sprintf("%s = %q: %s", f.Path, f.Value, f.Requirement)
}

// ValidationError lists everything wrong with a configuration or an intent.
type ValidationError struct {
	Faults []Fault
}

func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return fmt.Sprintf("%d faults: %s", len(lines), strings.Join(lines, "; "))
}

// faultList collects faults.
type faultList struct {
	faults []Fault
}

// field names a field of a listed item. It is turned into text only for a
// fault: a configuration of 11,000 teams has about 150,000 fields to check.
type field struct {
	kind, id, name string
}

func at(kind, id, name string) field { return field{kind, id, name} }

func (f field) String() string { return fmt.Sprintf("%s[%q].%s", f.kind, f.id, f.name) }

func (l *faultList) add(path field, value any, allowed string) {
	l.faults = append(l.faults, Fault{Path: path.String(), Value: fmt.Sprint(value), Requirement: allowed})
}

// require adds a fault unless ok holds.
func (l *faultList) require(ok bool, path field, value any, allowed string) {
	if !ok {
		l.add(path, value, allowed)
	}
}

func (l *faultList) err() error {
	if len(l.faults) == 0 {
		return nil
	}
	return &ValidationError{Faults: l.faults}
}
