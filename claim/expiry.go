package claim

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"almondstile/store"
	"almondstile/wait"

	"github.com/cockroachdb/errors"
)

const (
	// Retention is the time for which a claim is kept after its creation.
	Retention = 24 * time.Hour
	// passInterval is the time between two passes of the expiry. It is longer
	// than a write can be delayed on its way to the store, so that a delete
	// that seemed lost cannot meet a new claim with the same version.
	passInterval = 20 * time.Minute
	// maxMinutesPerPass bounds a pass; several passes catch up after an outage.
	maxMinutesPerPass = 120
	// rowsPerSecond bounds the load of a pass on the store.
	rowsPerSecond = 100
	// maxCatchUp is how far back the first pass of a new fleet looks.
	maxCatchUp = time.Hour

	cursorKey = "claimexpiry/cursor"
)

// Turn decides which VM does a pass of the expiry. Two VMs that both think it
// is their turn do no harm.
type ExpiryRole interface {
	HeldBySelf(now time.Time) bool
}

// logPrefix is the prefix of the log rows of the claims of one minute.
func logPrefix(at time.Time) string {
	return "claimlog-" + strconv.FormatInt(at.Unix()/60, 10) + "/"
}

// Run deletes expired claims until the context ends.
func (c *Claims) RunExpiry(ctx context.Context, turn ExpiryRole, failed func(error)) {
	ticker := time.NewTicker(passInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if !turn.HeldBySelf(c.clock()) {
				continue
			}
			if err := c.DeleteExpired(ctx); err != nil && ctx.Err() == nil {
				failed(err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// Expire does one pass: minute by minute from where the last pass ended, it
// deletes the claims that are older than Retention.
func (c *Claims) DeleteExpired(ctx context.Context) error {
	minute, condition, err := c.readCursor(ctx)
	if err != nil {
		return err
	}
	for range maxMinutesPerPass {
		// The extra minute covers clocks that differ between VMs.
		if c.clock().Before(minute.Add(Retention + 2*time.Minute)) {
			return nil
		}
		if err := c.expireMinute(ctx, minute); err != nil {
			return err
		}
		minute = minute.Add(time.Minute)
		err := c.table.Transact(ctx, []store.Write{{
			Kind: store.Put, Key: cursorKey, Condition: condition,
			Value: strconv.AppendInt(nil, minute.Unix(), 10),
		}})
		if err != nil {
			return errors.Wrap(err, "moving the expiry's cursor")
		}
		condition = store.Condition{Kind: store.VersionIs, Version: condition.Version + 1}
	}
	return nil
}

// readCursor returns the next minute to expire and the condition for moving on.
func (c *Claims) readCursor(ctx context.Context) (time.Time, store.Condition, error) {
	item, err := c.table.Get(ctx, cursorKey)
	if errors.Is(err, store.ErrNotFound) {
		first := c.clock().Add(-Retention - maxCatchUp).Truncate(time.Minute)
		return first, store.Condition{Kind: store.Absent}, nil
	}
	if err != nil {
		return time.Time{}, store.Condition{}, errors.Wrap(err, "reading the expiry's cursor")
	}
	seconds, err := strconv.ParseInt(string(item.Value), 10, 64)
	condition := store.Condition{Kind: store.VersionIs, Version: item.Version}
	return time.Unix(seconds, 0), condition, errors.Wrap(err, "decoding the expiry's cursor")
}

// expireMinute deletes the claims listed under one minute, then their log rows.
func (c *Claims) expireMinute(ctx context.Context, minute time.Time) error {
	logs, err := c.table.Query(ctx, logPrefix(minute))
	if err != nil {
		return errors.Wrap(err, "reading the claim log")
	}
	for _, log := range logs {
		var keys []string
		if err := json.Unmarshal(log.Value, &keys); err != nil {
			return errors.Wrapf(err, "decoding the claim log row %s", log.Key)
		}
		for _, key := range keys {
			if err := c.expireRow(ctx, key); err != nil {
				return err
			}
		}
		if err := c.delete(ctx, log.Key, log.Version); err != nil {
			return err
		}
	}
	return nil
}

// expireRow deletes one claim unless it was claimed anew after a release.
func (c *Claims) expireRow(ctx context.Context, key string) error {
	if !strings.HasPrefix(key, keyPrefix) {
		return nil
	}
	found, version, err := c.read(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if c.clock().Sub(time.UnixMilli(found.CreatedMillis)) < Retention {
		return nil
	}
	return c.delete(ctx, key, version)
}

// delete removes a row that is still at the version, at the pace of the expiry.
func (c *Claims) delete(ctx context.Context, key string, version uint64) error {
	wait.For(ctx, time.Second/rowsPerSecond)
	err := c.table.Transact(ctx, []store.Write{{
		Kind: store.Delete, Key: key,
		Condition: store.Condition{Kind: store.VersionIs, Version: version},
	}})
	if errors.Is(err, store.ErrConditionFailed) {
		return nil
	}
	return errors.Wrapf(err, "deleting %s", key)
}
