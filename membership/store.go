package membership

import (
	"context"
	"encoding/json"
	"strings"

	"almondstile/store"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
)

const (
	// listKey is the key of the member list's row. The version of the list is the
	// version of the row plus the offset in its value.
	listKey = "members"
	// listVersionKey is the key of a row that is written together with the list
	// and so has the same version and offset. VMs poll this row, because the list
	// of 420 VMs has about 100 kB.
	listVersionKey = "members/head"
	sessionPrefix  = "session/"
)

// storeClient carries out the store actions of a Member on the platform's table.
type storeClient struct {
	table store.Table
}

// sessionValue is the stored value of a session row. Its JSON names are short,
// because each watcher reads the rows of all VMs.
type sessionValue struct {
	Nonce string `json:"n"`
	VM    *vm.VM `json:"vm,omitempty"`
}

// rosterValue is the stored value of the member list's row.
type rosterValue struct {
	VMs     []vm.VM      `json:"vms"`
	Changes []ListChange `json:"steps,omitempty"`
	Lineage []string     `json:"lineage,omitempty"`
	// VersionOffset is the list's version less the version of its row. It grows
	// if the table goes back to a row of a lower version, because versions of lists
	// only rise.
	VersionOffset uint64 `json:"offset,omitempty"`
}

// listHeadValue is the stored value of the row under listVersionKey. The row of a
// list that was written by a process without IDs has no value.
type listHeadValue struct {
	ID            string `json:"id"`
	VersionOffset uint64 `json:"offset,omitempty"`
}

// run carries out an action on the store. self is the VM whose own session row
// ReadSession reads.
func (s storeClient) run(ctx context.Context, self vm.ID, a Action) Result {
	switch a.Kind {
	case ReadListVersion:
		return s.readListVersion(ctx)
	case ReadRoster:
		roster, err := s.readRoster(ctx)
		return Result{Err: err, Roster: roster}
	case ReadSession:
		item, err := s.get(ctx, sessionPrefix+string(self))
		if err != nil || item.Version == 0 {
			return Result{Err: err}
		}
		row, err := decodeSession(item)
		return Result{Err: err, Session: row}
	case ReadSessions:
		rows, err := s.readSessions(ctx)
		return Result{Err: err, Sessions: rows}
	case WriteSession:
		return Result{Err: s.writeSession(ctx, a.Session)}
	case UpdateRoster:
		return Result{Err: s.updateRoster(ctx, a.Update)}
	default:
		return Result{Err: errors.Newf("action kind %d is not a call to the store", a.Kind)}
	}
}

// get reads a row. If the row does not exist, it returns an item of version 0 and
// no error.
func (s storeClient) get(ctx context.Context, key string) (store.Item, error) {
	item, err := s.table.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.Item{}, nil
	}
	return item, err
}

// readListVersion reads the version and the ID of the list.
func (s storeClient) readListVersion(ctx context.Context) Result {
	item, err := s.get(ctx, listVersionKey)
	if err != nil || len(item.Value) == 0 {
		return Result{Err: err, Version: item.Version}
	}
	var value listHeadValue
	if err := json.Unmarshal(item.Value, &value); err != nil {
		return Result{Err: errors.Wrap(err, "decoding the version of the member list")}
	}
	return Result{Version: item.Version + value.VersionOffset, ListID: value.ID}
}

// readRoster reads the member list with its recorded changes. If there is none, it
// returns a roster of version 0.
func (s storeClient) readRoster(ctx context.Context) (Roster, error) {
	item, err := s.get(ctx, listKey)
	if err != nil || item.Version == 0 {
		return Roster{}, err
	}
	var value rosterValue
	if err := json.Unmarshal(item.Value, &value); err != nil {
		return Roster{}, errors.Wrap(err, "decoding the member list")
	}
	return Roster{
		List:    vm.MemberList{Version: item.Version + value.VersionOffset, VMs: value.VMs},
		Changes: value.Changes, Lineage: value.Lineage, RowVersion: item.Version,
	}, nil
}

// readSessions reads the session rows of all VMs.
func (s storeClient) readSessions(ctx context.Context) ([]SessionRow, error) {
	items, err := s.table.Query(ctx, sessionPrefix)
	if err != nil {
		return nil, err
	}
	rows := make([]SessionRow, len(items))
	for i, item := range items {
		if rows[i], err = decodeSession(item); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// decodeSession returns the session row that is stored in the item.
func decodeSession(item store.Item) (SessionRow, error) {
	id := vm.ID(strings.TrimPrefix(item.Key, sessionPrefix))
	var value sessionValue
	if err := json.Unmarshal(item.Value, &value); err != nil {
		return SessionRow{}, errors.Wrapf(err, "decoding the session of VM %q", id)
	}
	return SessionRow{ID: id, Version: item.Version, Nonce: value.Nonce, VM: value.VM}, nil
}

// writeSession writes the row if the stored version is still row.Version. It
// returns an error of package store, store.ErrNotDone if the row cannot be encoded.
func (s storeClient) writeSession(ctx context.Context, row SessionRow) error {
	value, err := json.Marshal(sessionValue{Nonce: row.Nonce, VM: row.VM})
	if err != nil {
		return errors.Mark(err, store.ErrNotDone)
	}
	return s.table.Transact(ctx, []store.Write{{
		Kind: store.Put, Key: sessionPrefix + string(row.ID), Value: value, Condition: versionIs(row.Version),
	}})
}

// updateRoster carries out the update in one transaction, on the condition that
// the roster and the deleted sessions are unchanged. A session of version 0 has no
// row; the transaction then checks that there is still none.
func (s storeClient) updateRoster(ctx context.Context, update RosterUpdate) error {
	var writes []store.Write
	if update.Next.List.Version != update.Base.List.Version {
		listWrites, err := rosterWrites(update.Base, update.Next)
		if err != nil {
			return errors.Mark(err, store.ErrNotDone)
		}
		writes = append(writes, listWrites...)
	}
	for _, row := range update.DeletedSessions {
		write := store.Write{Kind: store.Delete, Key: sessionPrefix + string(row.ID), Condition: versionIs(row.Version)}
		if row.Version == 0 {
			write.Kind = store.Check
		}
		writes = append(writes, write)
	}
	return s.table.Transact(ctx, writes)
}

// rosterWrites returns the writes that replace the roster base with next.
func rosterWrites(base, next Roster) ([]store.Write, error) {
	offset := next.List.Version - (base.RowVersion + 1) // the write raises the row's version by 1
	list, err := json.Marshal(rosterValue{
		VMs: next.List.VMs, Changes: next.Changes, Lineage: next.Lineage, VersionOffset: offset,
	})
	if err != nil {
		return nil, err
	}
	head, err := json.Marshal(listHeadValue{ID: next.id(), VersionOffset: offset})
	unchanged := versionIs(base.RowVersion)
	return []store.Write{
		{Kind: store.Put, Key: listKey, Value: list, Condition: unchanged},
		{Kind: store.Put, Key: listVersionKey, Value: head, Condition: unchanged},
	}, err
}

// versionIs returns the condition that the row has the given version. Version 0
// means that the row must not exist.
func versionIs(version uint64) store.Condition {
	if version == 0 {
		return store.Condition{Kind: store.Absent}
	}
	return store.Condition{Kind: store.VersionIs, Version: version}
}
