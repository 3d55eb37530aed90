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
	// batchWindow is how long a batch waits for further writes before it is
	// committed as one transaction. The store takes a few hundred writes a
	// second in total, so writes must share transactions.
	batchWindow = 3 * time.Millisecond
	// maxBatchWrites is the largest number of claim writes in a transaction.
	// One more write is reserved for the claim log row.
	maxBatchWrites = store.MaxTransactionWrites - 1
	// maxBatchBytes is the total size of the values at which a batch is full.
	maxBatchBytes = 1 << 20
	// writeTimeout is the time limit of one transaction.
	writeTimeout = 2 * time.Second
	// maxSingleWrites is the largest number of concurrent transactions after a
	// failed batch was split into one transaction for each write.
	maxSingleWrites = 16
	// batchGroups is the number of groups into which writes are divided by key.
	// Each group fills one batch at a time. Few groups make large batches; more
	// than one avoids a single lock that all requests contend for.
	batchGroups = 4
)

// batcher combines concurrent writes of this VM into shared transactions.
type batcher struct {
	table store.Table
	clock func() time.Time
	// processName is the VM's ID and incarnation. It keeps the keys of this
	// process's claim log rows apart from those of other processes.
	processName string
	// openBatches holds the batch that each group is filling, keyed by group.
	openBatches shard.Map[string, *batch]
	// background tracks the goroutines that write to the table.
	background conc.WaitGroup
}

// batch collects the writes of a transaction that was not committed yet.
type batch struct {
	writes []pendingWrite
	bytes  int
	full   chan struct{} // closed when the batch is full and must be committed
}

// pendingWrite is a write whose result has not been delivered yet.
type pendingWrite struct {
	store.Write
	// inClaimLog says that the write's key is also listed in the claim log,
	// where the expiry finds it.
	inClaimLog bool
	result     chan error
}

// write applies w, usually in one transaction with other writes, and returns the
// error of that transaction. If the context ends first, write returns an error
// marked with store.ErrUnknownOutcome: the write may still take effect.
func (b *batcher) write(ctx context.Context, w store.Write, inClaimLog bool) error {
	p := pendingWrite{Write: w, inClaimLog: inClaimLog, result: make(chan error, 1)}
	group := groupOf(w.Key)
	var newBatch *batch
	commitAlone := false
	b.openBatches.Update(group, func(current *batch, exists bool) (*batch, bool) {
		if exists && current.contains(w.Key) {
			// The table rejects a transaction that writes a row twice.
			commitAlone = true
			return current, true
		}
		if !exists {
			newBatch = &batch{full: make(chan struct{})}
			current = newBatch
		}
		// A full batch is removed, so that the group's next write opens a new one.
		return current, !current.add(p)
	})
	switch {
	case commitAlone:
		b.background.Go(func() { b.commitOne(p) })
	case newBatch != nil:
		b.background.Go(func() { b.commitWhenFull(group, newBatch) })
	}
	select {
	case err := <-p.result:
		return err
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), store.ErrUnknownOutcome)
	}
}

// groupOf returns the group of a row key, derived from the key's last byte.
func groupOf(key string) string {
	return strconv.Itoa(int(key[len(key)-1]) % batchGroups)
}

// contains reports whether the batch already has a write to the row key.
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

// commitWhenFull commits the batch once it is full or batchWindow has passed.
func (b *batcher) commitWhenFull(group string, current *batch) {
	timer := time.NewTimer(batchWindow)
	defer timer.Stop()
	select {
	case <-timer.C:
		b.openBatches.Update(group, func(filling *batch, exists bool) (*batch, bool) {
			return filling, exists && filling != current
		})
	case <-current.full:
	}
	b.commit(current.writes)
}

// commit applies the writes as one transaction and delivers its result to each
// of them. If the condition of any write does not hold, commit applies each write
// in a transaction of its own, so that a duplicate claim does not make the other
// writes fail.
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

// commitOne applies p in a transaction of its own and delivers the result.
func (b *batcher) commitOne(p pendingWrite) {
	p.result <- b.transact([]pendingWrite{p})
}

// transact applies the writes in one transaction. If some of them belong into
// the claim log, it adds the log row that lists their keys.
func (b *batcher) transact(pending []pendingWrite) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	writes := make([]store.Write, 0, len(pending)+1)
	var loggedKeys []string
	for _, p := range pending {
		writes = append(writes, p.Write)
		if p.inClaimLog {
			loggedKeys = append(loggedKeys, p.Key)
		}
	}
	if len(loggedKeys) > 0 {
		writes = append(writes, b.logRow(loggedKeys))
	}
	return b.table.Transact(ctx, writes)
}

// logRow returns the write of a claim log row, a JSON list of the claim keys of
// one transaction. The row's key starts with the current minute, so that the
// expiry finds old claims without reading all of them.
func (b *batcher) logRow(keys []string) store.Write {
	raw, err := json.Marshal(keys)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding a claim log row"))
	}
	// The time and the first claim key make the row name unique within this
	// process, because a row is not claimed twice in the same nanosecond.
	now := b.clock()
	rowName := b.processName + "-" + strconv.FormatInt(now.UnixNano(), 36) + "-" + keys[0][len(keyPrefix):]
	return store.Write{Kind: store.Put, Key: logPrefix(now) + rowName, Value: raw}
}
