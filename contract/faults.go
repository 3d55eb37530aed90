package contract

import (
	"fmt"
	"strings"
)

// Fault is one invalid value in a configuration or an intent.
type Fault struct {
	// Path names the field, for instance `servers["loan-1"].slots`.
	Path string `json:"path"`
	// Value is the invalid value.
	Value string `json:"value"`
	// Requirement describes the values that are accepted.
	Requirement string `json:"allowed"`
}

func (f Fault) String() string {
	return fmt.Sprintf("%s = %q: %s", f.Path, f.Value, f.Requirement)
}

// ValidationError lists all invalid values of a configuration or an intent.
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

// faultList collects the faults found during a validation or an Apply.
type faultList struct {
	faults []Fault
}

// fieldPath identifies one field of an item in one of the configuration's lists,
// for instance servers["loan-1"].slots. Its text is built only if the field is
// invalid, because a configuration of 11,000 teams has about 150,000 fields.
type fieldPath struct {
	kind, id, name string
}

// pathOf returns the path of a field. The kind is the name of the item's list.
func pathOf(kind, id, name string) fieldPath { return fieldPath{kind, id, name} }

func (f fieldPath) String() string { return fmt.Sprintf("%s[%q].%s", f.kind, f.id, f.name) }

// add records that the value of the field violates the requirement.
func (l *faultList) add(path fieldPath, value any, requirement string) {
	l.faults = append(l.faults, Fault{Path: path.String(), Value: fmt.Sprint(value), Requirement: requirement})
}

// require records a fault if ok is false.
func (l *faultList) require(ok bool, path fieldPath, value any, requirement string) {
	if !ok {
		l.add(path, value, requirement)
	}
}

// err returns a *ValidationError with the recorded faults, or nil if there are
// none.
func (l *faultList) err() error {
	if len(l.faults) == 0 {
		return nil
	}
	return &ValidationError{Faults: l.faults}
}
