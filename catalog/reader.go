package catalog

import (
	"context"
	"math/rand/v2"
	"time"

	"almondstile/logging"
	"almondstile/wait"

	"github.com/cockroachdb/errors"
)

// ErrHistoryLost says that the store no longer has the changes after a version,
// so the whole table has to be read.
var ErrHistoryLost = errors.New("catalog: the store's history does not reach back to the version")

// Store is what a Reader needs from the platform's store.
type Store interface {
	// Read returns a whole table.
	Read(ctx context.Context, t Table) (Changes, error)
	// Follow waits for changes after a version, at most for wait. Without any
	// it returns no rows and a newer time.
	WaitForChanges(ctx context.Context, t Table, after uint64, wait time.Duration) (Changes, error)
}

// Duty tells how urgently this VM has to ask the store itself.
type ReadPolicy interface {
	// ReadAfterAge is the age of a table's copy from which this VM reads it. The
	// VM that reads for its zone gets 0.
	ReadAfterAge() time.Duration
}

const (
	// followWait is how long the store may hold a call without changes. It
	// bounds the age of a copy on a quiet day.
	followWait = 1200 * time.Millisecond
	// gatherPause follows changes, which often come several at a time. It is
	// short against the two seconds in which a change has to be in force.
	gatherPause = 100 * time.Millisecond
	// callSlack is what a call may take beyond its wait before its connection
	// counts as silent.
	callSlack = 700 * time.Millisecond
	// idlePause is how long a VM without the duty waits before it looks again.
	idlePause = 250 * time.Millisecond
	// failurePause grows to maxFailurePause while calls fail.
	failurePause    = 250 * time.Millisecond
	maxFailurePause = 1500 * time.Millisecond
)

// Reader keeps a table's copy current while it is this VM's duty.
type Reader struct {
	Catalog    *Catalog
	Store      Store
	ReadPolicy ReadPolicy
	Log        logging.Logger
}

// Run follows a table until the context ends.
func (r *Reader) Run(ctx context.Context, t Table) {
	failures := 0
	started := time.Now()
	for ctx.Err() == nil {
		// Before the first copy, the time since the start counts as its age.
		if min(r.Catalog.Age(t), time.Since(started)) < r.ReadPolicy.ReadAfterAge() {
			wait.For(ctx, idlePause)
			continue
		}
		err := r.step(ctx, t)
		if err == nil {
			if failures > 0 {
				r.Log.WithField("table", t.String()).WithField("failures", failures).Info("The store is back.")
			}
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		failures++
		if failures == 1 {
			r.Log.WithField("table", t.String()).WithError(err).
				WithField("age_ms", r.Catalog.Age(t).Milliseconds()).Warn("The store does not answer.")
		}
		wait.For(ctx, pauseAfter(failures))
	}
}

// pauseAfter spreads the calls of many VMs that fail at the same moment.
func pauseAfter(failures int) time.Duration {
	pause := min(failurePause<<min(failures-1, 4), maxFailurePause)
	return pause/2 + rand.N(pause)
}

// step makes one call: the whole table if there is no copy or its version is no
// longer in the history, else what changed.
func (r *Reader) step(ctx context.Context, t Table) error {
	version, _ := r.Catalog.VersionAsOf(t)
	if version > 0 {
		changes, err := r.follow(ctx, t, version)
		if err == nil {
			r.Catalog.Apply(t, changes)
			if len(changes.Rows) > 0 {
				wait.For(ctx, gatherPause)
			}
			return nil
		}
		if !errors.Is(err, ErrHistoryLost) {
			return err
		}
		r.Log.WithField("table", t.String()).WithField("version", version).Warn("The store's history is gone; reading the whole table.")
	}
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	changes, err := r.Store.Read(ctx, t)
	if err != nil {
		return err
	}
	r.Catalog.Apply(t, changes)
	return nil
}

func (r *Reader) follow(ctx context.Context, t Table, version uint64) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, followWait+callSlack)
	defer cancel()
	return r.Store.WaitForChanges(ctx, t, version, followWait)
}
