package vm

import (
	"fmt"
	"slices"
	"testing"

	_ "almondstile/standin/seeded" // fixes the seed of rapid
	"almondstile/zone"

	"pgregory.net/rapid"
)

// newTestList returns a member list of n VMs, spread evenly over three zones.
func newTestList(n int) MemberList {
	l := MemberList{Version: uint64(n)}
	for i := range n {
		l.VMs = append(l.VMs, VM{ID: ID(fmt.Sprintf("vm-%d", i)), Zone: zone.ID(fmt.Sprintf("z%d", i%3))})
	}
	return l
}

// Guards against VMs that compute different holders of a role because their lists
// are in different order, and against a Holder that is not the first of Rank.
// Removing a VM must not change the order of the others.
func TestRankIgnoresListOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := newTestList(rapid.IntRange(1, 30).Draw(t, "size"))
		role := Role{Kind: ServerOwner, Name: rapid.String().Draw(t, "name"), Zone: rapid.SampledFrom([]zone.ID{"", "z0", "z2", "none"}).Draw(t, "zone")}
		rank := list.Rank(role)
		shuffled := MemberList{Version: list.Version, VMs: rapid.Permutation(list.VMs).Draw(t, "order")}
		holder, ok := shuffled.Holder(role)
		if !ok || holder != rank[0] || !slices.Equal(rank, shuffled.Rank(role)) {
			t.Fatalf("the shuffled list gives holder %v or another order, want rank %v", holder, rank)
		}
		removed := rapid.IntRange(0, len(rank)-1).Draw(t, "removed")
		rest := MemberList{VMs: slices.DeleteFunc(slices.Clone(list.VMs), func(v VM) bool { return v == rank[removed] })}
		if !slices.Equal(rest.Rank(role), slices.Delete(slices.Clone(rank), removed, removed+1)) {
			t.Fatal("removing a VM changed the order of the others")
		}
	})
}

// Guards against a server whose owner is in another zone although the server's
// zone has VMs: each request to it would cross zones more often than needed.
func TestOwnerIsInServerZone(t *testing.T) {
	list := newTestList(48)
	for i := range 100 {
		role := Role{Kind: ServerOwner, Name: fmt.Sprint(i), Zone: "z1"}
		if holder, _ := list.Holder(role); holder.Zone != "z1" {
			t.Fatalf("the owner of server %d is in zone %s, want z1", i, holder.Zone)
		}
	}
}

// Guards against a cached holder that is still returned after the member list or
// the role's zone has changed.
func TestHoldersMatchCurrentList(t *testing.T) {
	var h Holders
	for _, n := range []int{48, 3, 48, 1} {
		for _, z := range []zone.ID{"z0", "z1"} {
			list, role := newTestList(n), Role{Kind: ServerOwner, Name: "s", Zone: z}
			want, _ := list.Holder(role)
			for range 2 {
				if got, ok := h.Find(list, role); !ok || got != want {
					t.Fatalf("%d VMs: got %v, want %v", n, got, want)
				}
			}
		}
	}
}

func BenchmarkHolder420(b *testing.B) {
	list, role := newTestList(420), Role{Kind: ServerOwner, Name: "shelfview-1", Zone: "z1"}
	for b.Loop() {
		list.Holder(role)
	}
}

func BenchmarkHolders420(b *testing.B) {
	var h Holders
	list, role := newTestList(420), Role{Kind: ServerOwner, Name: "shelfview-1", Zone: "z1"}
	for b.Loop() {
		h.Find(list, role)
	}
}
