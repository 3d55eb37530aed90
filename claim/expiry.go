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
	// Retention is how long a claim is kept after its creation.
	Retention = 24 * time.Hour
	// passInterval is the time between two passes of the expiry. It exceeds the
	// longest delay of a write on its way to the store. A delayed delete of one
	// pass therefore takes effect before the next pass deletes the row again,
	// and cannot delete a new claim whose row has the same version.
	passInterval = 20 * time.Minute
	// maxMinutesPerPass is the largest number of claim log minutes that a pass
	// handles. After an outage, several passes work off the backlog.
	maxMinutesPerPass = 120
	// rowsPerSecond limits the load of a pass on the store. It counts the rows that
	// a pass visits, also those that it does not delete.
	rowsPerSecond = 100
	// firstPassLookback is how long before the newest expired minute the first
	// pass starts if the store has no cursor yet.
	firstPassLookback = time.Hour

	// cursorKey is the key of the row with the next minute to expire, in Unix
	// seconds as decimal text.
	cursorKey = "claimexpiry/cursor"
)

// ExpiryRole reports whether this VM holds the role of expiring claims. If two VMs
// hold it at the same time, both may run a pass without harm.
type ExpiryRole interface {
	// HeldBySelf reports whether this VM holds the role at the time now.
	HeldBySelf(now time.Time) bool
}

// logPrefix returns the key prefix of the log rows of all claims that were created
// in the minute of at.
func logPrefix(at time.Time) string {
	return "claimlog-" + strconv.FormatInt(at.Unix()/60, 10) + "/"
}

// RunExpiry runs a pass of the expiry every passInterval while this VM holds the
// role, until the context ends. It calls onError with the error of a failed pass.
func (c *Claims) RunExpiry(ctx context.Context, role ExpiryRole, onError func(error)) {
	ticker := time.NewTicker(passInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if !role.HeldBySelf(c.clock()) {
				continue
			}
			if err := c.DeleteExpired(ctx); err != nil && ctx.Err() == nil {
				onError(err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// DeleteExpired runs one pass of the expiry. It starts at the minute where the
// last pass ended and deletes the claims that are older than Retention, one minute
// of the claim log after the other. After each minute it stores the cursor.
func (c *Claims) DeleteExpired(ctx context.Context) error {
	minute, condition, err := c.readCursor(ctx)
	if err != nil {
		return err
	}
	for range maxMinutesPerPass {
		// One minute is the length of the log minute. The other one allows for
		// differences between the clocks of VMs.
		if c.clock().Before(minute.Add(Retention + 2*time.Minute)) {
			return nil
		}
		if err := c.deleteMinute(ctx, minute); err != nil {
			return err
		}
		minute = minute.Add(time.Minute)
		err := c.table.Transact(ctx, []store.Write{{
			Kind: store.Put, Key: cursorKey, Condition: condition,
			Value: strconv.AppendInt(nil, minute.Unix(), 10),
		}})
		if err != nil {
			return errors.Wrap(err, "advancing the expiry cursor")
		}
		condition = store.Condition{Kind: store.VersionIs, Version: condition.Version + 1}
	}
	return nil
}

// readCursor returns the next minute to expire and the condition under which the
// cursor may be advanced: no other VM has written it since.
func (c *Claims) readCursor(ctx context.Context) (time.Time, store.Condition, error) {
	item, err := c.table.Get(ctx, cursorKey)
	if errors.Is(err, store.ErrNotFound) {
		first := c.clock().Add(-Retention - firstPassLookback).Truncate(time.Minute)
		return first, store.Condition{Kind: store.Absent}, nil
	}
	if err != nil {
		return time.Time{}, store.Condition{}, errors.Wrap(err, "reading the expiry cursor")
	}
	seconds, err := strconv.ParseInt(string(item.Value), 10, 64)
	condition := store.Condition{Kind: store.VersionIs, Version: item.Version}
	return time.Unix(seconds, 0), condition, errors.Wrap(err, "decoding the expiry cursor")
}

// deleteMinute deletes the expired claims that the claim log lists for one minute.
// It deletes each log row after the claims that the row lists, and pauses before
// each row to keep to rowsPerSecond.
func (c *Claims) deleteMinute(ctx context.Context, minute time.Time) error {
	logRows, err := c.table.Query(ctx, logPrefix(minute))
	if err != nil {
		return errors.Wrap(err, "querying the claim log")
	}
	for _, logRow := range logRows {
		var keys []string
		if err := json.Unmarshal(logRow.Value, &keys); err != nil {
			return errors.Wrapf(err, "decoding the claim log row %s", logRow.Key)
		}
		for _, key := range keys {
			if err := c.deleteExpiredClaim(ctx, key); err != nil {
				return err
			}
		}
		wait.For(ctx, time.Second/rowsPerSecond)
		if err := c.deleteRow(ctx, logRow.Key, logRow.Version); err != nil {
			return err
		}
	}
	return nil
}

// deleteExpiredClaim deletes the claim row if it is older than Retention. The row
// is younger if it was released and claimed again; a later log row lists it then.
func (c *Claims) deleteExpiredClaim(ctx context.Context, key string) error {
	if !strings.HasPrefix(key, keyPrefix) {
		return nil
	}
	wait.For(ctx, time.Second/rowsPerSecond)
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
	return c.deleteRow(ctx, key, version)
}

// deleteRow deletes the row if it still has the given version.
func (c *Claims) deleteRow(ctx context.Context, key string, version uint64) error {
	err := c.table.Transact(ctx, []store.Write{{
		Kind: store.Delete, Key: key,
		Condition: store.Condition{Kind: store.VersionIs, Version: version},
	}})
	if errors.Is(err, store.ErrConditionFailed) {
		return nil
	}
	return errors.Wrapf(err, "deleting row %s", key)
}
