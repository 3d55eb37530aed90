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
	// listKey is the row of the member list; its version is the list's.
	listKey = "members"
	// headKey is a row that is written with each list and so has its version.
	// VMs poll it because the list of 420 VMs has about 100 kB.
	headKey       = "members/head"
	sessionPrefix = "session/"
)

// storeActions carries out the actions of a Member on the platform's table.
type storeActions struct {
	table store.Table
}

// sessionValue is the value of a session row. Its names are short because every
// watcher reads all rows.
type sessionValue struct {
	Nonce string `json:"n"`
	VM    *vm.VM `json:"vm,omitempty"`
}

// rosterValue is the value of the list's row.
type rosterValue struct {
	VMs     []vm.VM      `json:"vms"`
	Changes []ListChange `json:"steps,omitempty"`
}

// run carries out an action on the store.
func (s storeActions) run(ctx context.Context, self vm.ID, a Action) Result {
	switch a.Kind {
	case ReadListVersion:
		item, err := s.get(ctx, headKey)
		return Result{Err: err, Version: item.Version}
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
		return Result{Err: s.changeRoster(ctx, a.Update)}
	default:
		return Result{Err: errors.Newf("action %d is not on the store", a.Kind)}
	}
}

// get returns an item of version 0 if the row does not exist.
func (s storeActions) get(ctx context.Context, key string) (store.Item, error) {
	item, err := s.table.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.Item{}, nil
	}
	return item, err
}

func (s storeActions) readRoster(ctx context.Context) (Roster, error) {
	item, err := s.get(ctx, listKey)
	if err != nil || item.Version == 0 {
		return Roster{}, err
	}
	var value rosterValue
	if err := json.Unmarshal(item.Value, &value); err != nil {
		return Roster{}, errors.Wrap(err, "decoding the member list")
	}
	return Roster{List: vm.MemberList{Version: item.Version, VMs: value.VMs}, Changes: value.Changes}, nil
}

func (s storeActions) readSessions(ctx context.Context) ([]SessionRow, error) {
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

func decodeSession(item store.Item) (SessionRow, error) {
	id := vm.ID(strings.TrimPrefix(item.Key, sessionPrefix))
	var value sessionValue
	if err := json.Unmarshal(item.Value, &value); err != nil {
		return SessionRow{}, errors.Wrapf(err, "decoding the session of VM %q", id)
	}
	return SessionRow{ID: id, Version: item.Version, Nonce: value.Nonce, VM: value.VM}, nil
}

func (s storeActions) writeSession(ctx context.Context, row SessionRow) error {
	value, err := json.Marshal(sessionValue{Nonce: row.Nonce, VM: row.VM})
	if err != nil {
		return errors.Mark(err, store.ErrNotDone)
	}
	return s.table.Transact(ctx, []store.Write{{
		Kind: store.Put, Key: sessionPrefix + string(row.ID), Value: value, Condition: unchanged(row.Version),
	}})
}

func (s storeActions) changeRoster(ctx context.Context, c RosterUpdate) error {
	var writes []store.Write
	if c.Next.List.Version != c.BaseVersion {
		value, err := json.Marshal(rosterValue{VMs: c.Next.List.VMs, Changes: c.Next.Changes})
		if err != nil {
			return errors.Mark(err, store.ErrNotDone)
		}
		writes = append(writes,
			store.Write{Kind: store.Put, Key: listKey, Value: value, Condition: unchanged(c.BaseVersion)},
			store.Write{Kind: store.Put, Key: headKey, Condition: unchanged(c.BaseVersion)})
	}
	for _, row := range c.DeletedSessions {
		write := store.Write{Kind: store.Delete, Key: sessionPrefix + string(row.ID), Condition: unchanged(row.Version)}
		if row.Version == 0 {
			write.Kind = store.Check
		}
		writes = append(writes, write)
	}
	return s.table.Transact(ctx, writes)
}

// unchanged requires that the row has the version, 0 meaning that it is absent.
func unchanged(version uint64) store.Condition {
	if version == 0 {
		return store.Condition{Kind: store.Absent}
	}
	return store.Condition{Kind: store.VersionIs, Version: version}
}
