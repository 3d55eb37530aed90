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

// saveRecords writes the callers' and the servers' records to the output
// directory, one JSON object a line, so that a finding can be traced.
func saveRecords(o runOptions, experiment string, h *check.History) error {
	name := func(kind string) string {
		return filepath.Join(o.Out, fmt.Sprintf("%s-%d-%s.jsonl", experiment, o.Seed, kind))
	}
	return errors.CombineErrors(
		saveLines(name("calls"), h.Calls),
		saveLines(name("executions"), h.Executions))
}

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

// outcomes describes how often calls ended in each way.
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
