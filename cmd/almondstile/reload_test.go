package main

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards against a process that has failed and shut down, but never exits, because it waits
// for the goroutine that reloads the settings.
func TestFailedProcessExits(t *testing.T) {
	failure := errors.New("a task panicked too often")
	err := runWithReload(context.Background(),
		func(context.Context) error { return failure },
		func(ctx context.Context) { <-ctx.Done() })
	if !errors.Is(err, failure) {
		t.Errorf("got %v", err)
	}
}
