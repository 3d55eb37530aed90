package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"almondstile/bench/check"
	"almondstile/bench/load"

	"github.com/cockroachdb/errors"
)

// saveRecords writes the records of the callers and of the servers to the output
// directory, one JSON object per line, so that the cause of a finding can be
// traced.
func saveRecords(o runOptions, experiment string, h *check.History) error {
	name := func(kind string) string {
		return filepath.Join(o.Out, fmt.Sprintf("%s-%d-%s.jsonl", experiment, o.Seed, kind))
	}
	return errors.CombineErrors(
		saveLines(name("calls"), h.Calls),
		saveLines(name("executions"), h.Executions))
}

// saveLines writes each record as one line of JSON to a new file.
func saveLines[T any](path string, records []T) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "saving records")
	}
	defer file.Close()
	buffered := bufio.NewWriter(file)
	encoder := json.NewEncoder(buffered)
	for _, r := range records {
		if err := encoder.Encode(r); err != nil {
			return errors.Wrap(err, "saving records")
		}
	}
	return errors.Wrap(buffered.Flush(), "saving records")
}

// outcomes returns one line for each distinct outcome with the number of calls
// that had it, most frequent first.
func outcomes(calls []load.Call) []string {
	counts := make(map[string]int)
	for _, c := range calls {
		counts[fmt.Sprintf("%s: status %d %s %s %s", c.Kind, c.Status, c.Outcome, c.Reason, c.Failure)]++
	}
	lines := make([]string, 0, len(counts))
	for what, n := range counts {
		lines = append(lines, fmt.Sprintf("%6d %s", n, what))
	}
	slices.Sort(lines)
	slices.Reverse(lines)
	return lines
}
