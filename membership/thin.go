// Package membership is a first, thin version: every VM that wrote its session
// row is a member, and no lease ever ends. The full version replaces it.
package membership

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"almondstile/link"
	"almondstile/logging"
	"almondstile/platform"
	"almondstile/vm"
)

const HeartbeatMethod = "link.heartbeat"

type Options struct{}
type Fleet struct {
	self  vm.VM
	table platform.Table
	mu    sync.Mutex
	list  vm.MemberList
	since time.Time
	subs  []chan vm.MemberList
}

func NewFleet(self vm.VM, table platform.Table, caller link.Caller, log logging.Logger, o Options) *Fleet {
	return &Fleet{self: self, table: table}
}
func (f *Fleet) Run(ctx context.Context) {
	b, _ := json.Marshal(f.self)
	_ = f.table.Transact(ctx, []platform.Write{{Key: "session/" + string(f.self.ID), Value: b}})
	t := time.NewTicker(200 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		items, err := f.table.Query(ctx, "session/")
		if err != nil {
			continue
		}
		l := vm.MemberList{Version: uint64(len(items))}
		for _, i := range items {
			var v vm.VM
			_ = json.Unmarshal(i.Value, &v)
			l.VMs = append(l.VMs, v)
		}
		f.mu.Lock()
		if l.Version != f.list.Version {
			f.list, f.since = l, time.Now()
			for _, s := range f.subs {
				select {
				case s <- l:
				default:
				}
			}
		}
		f.mu.Unlock()
	}
}
func (f *Fleet) List() vm.MemberList { f.mu.Lock(); defer f.mu.Unlock(); return f.list }
func (f *Fleet) Self() vm.VM         { return f.self }
func (f *Fleet) MayAct(now time.Time, r vm.Role) (time.Time, bool) {
	h, ok := f.List().Holder(r)
	return f.since, ok && h.ID == f.self.ID
}
func (f *Fleet) Ready(time.Time) (bool, string) { return len(f.List().VMs) > 0, "x" }
func (f *Fleet) Subscribe() (<-chan vm.MemberList, func()) {
	c := make(chan vm.MemberList, 1)
	f.mu.Lock()
	f.subs = append(f.subs, c)
	f.mu.Unlock()
	return c, func() {}
}
func (f *Fleet) SetConfigVersion(uint64)         {}
func (f *Fleet) Leave(context.Context) error     { return nil }
func (f *Fleet) Handler() link.Handler {
	return link.Handle(func(context.Context, vm.ID, struct{}) (struct{}, error) { return struct{}{}, nil })
}
