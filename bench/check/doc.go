// Package check verifies the promises P1 to P13 against the records of an
// experiment. The records are the callers' calls, the executions at the stand-in
// servers, and the operator actions and faults of the experiment with their
// times. The only data that the fleet reports about itself is the configuration
// version of each VM.
//
// A check that has no record to examine fails, because an experiment that lists
// a promise must produce evidence for it.
package check
