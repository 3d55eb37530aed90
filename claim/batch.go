package claim

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"almondstile/shard"
	"almondstile/store"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
)

const (
	// batchWindow is the time for which a write waits for others to share its
	// transaction. The store takes a few hundred writes a second in total.
	batchWindow = 3 * time.Millisecond
	// maxBatchWrites leaves room for the log row in the transaction.
	maxBatchWrites = store.MaxTransactionWrites - 1
	// maxBatchBytes bounds the size of one transaction.
	maxBatchBytes = 1 << 20
	// writeTimeout bounds one transaction.
	writeTimeout = 2 * time.Second
	// maxSingleWrites bounds the writes in flight after a batch was split.
	maxSingleWrites = 16
	// lanes is the number of batches that fill at the same time. Few lanes make
	// large batches; more than one avoids a lock that all requests share.
	lanes = 4
)

// batcher lets writes of this VM share transactions.
type batcher struct {
	table store.Table
	clock func() time.Time
	// name makes the log rows of this process unique in the fleet.
	name  string
	lanes shard.Map[string, *batch]
	work  conc.WaitGroup
}

// batch is a transaction that is still filling up.
type batch struct {
	writes []pendingWrite
	bytes  int
	full   chan struct{} // closed when the batch must not wait any longer
}

// pendingWrite is one write that waits for its result.
type pendingWrite struct {
	store.Write
	// logged writes are listed in the claim log for the expiry.
	logged bool
	result chan error
}

// write applies one write, usually together with others. If the context ends
// first, the write may still take effect.
func (b *batcher) write(ctx context.Context, w store.Write, logged bool) error {
	p := pendingWrite{Write: w, logged: logged, result: make(chan error, 1)}
	lane := laneOf(w.Key)
	var opened *batch
	single := false
	b.lanes.Update(lane, func(current *batch, exists bool) (*batch, bool) {
		if exists && current.contains(w.Key) {
			// A transaction cannot touch a row twice.
			single = true
			return current, true
		}
		if !exists {
			opened = &batch{full: make(chan struct{})}
			current = opened
		}
		// A full batch leaves the lane; the next write opens a new one.
		return current, !current.add(p)
	})
	switch {
	case single:
		b.work.Go(func() { b.commitOne(p) })
	case opened != nil:
		b.work.Go(func() { b.commitSoon(lane, opened) })
	}
	select {
	case err := <-p.result:
		return err
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), store.ErrUnknownOutcome)
	}
}

func laneOf(key string) string {
	return strconv.Itoa(int(key[len(key)-1]) % lanes)
}

func (b *batch) contains(key string) bool {
	for i := range b.writes {
		if b.writes[i].Key == key {
			return true
		}
	}
	return false
}

// add appends a write and reports whether the batch is full.
func (b *batch) add(p pendingWrite) bool {
	b.writes = append(b.writes, p)
	b.bytes += len(p.Value)
	if len(b.writes) < maxBatchWrites && b.bytes < maxBatchBytes {
		return false
	}
	close(b.full)
	return true
}

// commitSoon waits for the batch to fill up and applies it.
func (b *batcher) commitSoon(lane string, current *batch) {
	timer := time.NewTimer(batchWindow)
	defer timer.Stop()
	select {
	case <-timer.C:
		b.lanes.Update(lane, func(in *batch, exists bool) (*batch, bool) {
			return in, exists && in != current
		})
	case <-current.full:
	}
	b.commit(current.writes)
}

// commit applies the writes as one transaction. If a condition does not hold,
// each write is tried by itself, so that one duplicate fails alone.
func (b *batcher) commit(writes []pendingWrite) {
	err := b.transact(writes)
	if len(writes) > 1 && errors.Is(err, store.ErrConditionFailed) {
		singles := pool.New().WithMaxGoroutines(maxSingleWrites)
		for _, p := range writes {
			singles.Go(func() { b.commitOne(p) })
		}
		singles.Wait()
		return
	}
	for _, p := range writes {
		p.result <- err
	}
}

func (b *batcher) commitOne(p pendingWrite) {
	p.result <- b.transact([]pendingWrite{p})
}

func (b *batcher) transact(pending []pendingWrite) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	writes := make([]store.Write, 0, len(pending)+1)
	var logged []string
	for _, p := range pending {
		writes = append(writes, p.Write)
		if p.logged {
			logged = append(logged, p.Key)
		}
	}
	if len(logged) > 0 {
		writes = append(writes, b.logRow(logged))
	}
	return b.table.Transact(ctx, writes)
}

// logRow lists the claims of a transaction under the minute of their creation,
// so that the expiry need not read all claims to find the old ones.
func (b *batcher) logRow(keys []string) store.Write {
	raw, err := json.Marshal(keys)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding a claim log row"))
	}
	// The first key is unique among the log rows of a moment, together with
	// the time: one row cannot be claimed twice at the same nanosecond.
	now := b.clock()
	name := b.name + "-" + strconv.FormatInt(now.UnixNano(), 36) + "-" + keys[0][len(keyPrefix):]
	return store.Write{Kind: store.Put, Key: logPrefix(now) + name, Value: raw}
}
