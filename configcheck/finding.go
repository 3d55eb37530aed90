package configcheck

import (
	"fmt"

	"almondstile/contract"
)

// Severity says whether a configuration may be sent in spite of a finding.
type Severity string

// The severities.
const (
	// Error marks what the platform refuses or what leaves requests unserved.
	Error Severity = "error"
	// Warning marks what is allowed but hardly meant.
	Warning Severity = "warning"
)

// Finding is one thing that is wrong with a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Path names the entry or field, for instance `routes["r-1"].timeout`.
	Path string `json:"path"`
	// Message says what is wrong and what would be right.
	Message string `json:"message"`
}

func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Severity, f.Path, f.Message)
}

// Report is the result of a check.
type Report struct {
	// Version is the version of the checked configuration.
	Version  uint64    `json:"version"`
	Findings []Finding `json:"findings"`
	// InForce is the version that the configuration was compared with, and Changes what
	// differs from it. Without a configuration in force both are nil.
	InForce *uint64          `json:"in_force,omitempty"`
	Changes *contract.Effect `json:"changes,omitempty"`
	// LimitsBefore and LimitsAfter are the limits of callers, if they differ.
	LimitsBefore *contract.CallerLimits `json:"limits_before,omitempty"`
	LimitsAfter  *contract.CallerLimits `json:"limits_after,omitempty"`
}

// Errors returns the number of findings that are errors.
func (r *Report) Errors() (n int) {
	for _, f := range r.Findings {
		if f.Severity == Error {
			n++
		}
	}
	return n
}

// findings collects what a check finds.
type findings []Finding

func (l *findings) error(path, format string, args ...any) { l.add(Error, path, format, args...) }
func (l *findings) warn(path, format string, args ...any)  { l.add(Warning, path, format, args...) }

func (l *findings) add(s Severity, path, format string, args ...any) {
	*l = append(*l, Finding{Severity: s, Path: path, Message: fmt.Sprintf(format, args...)})
}

// entry returns the path of an entry of a list.
func entry(list, id string) string { return fmt.Sprintf("%s[%q]", list, id) }
