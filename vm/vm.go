package vm

import (
	"cmp"
	"slices"

	"almondstile/zone"

	"github.com/cespare/xxhash/v2"
)

// ID identifies an entry VM. It does not change when the process restarts.
type ID string

// VM describes one entry VM in the member list.
type VM struct {
	ID   ID      `json:"id"`
	Zone zone.ID `json:"zone"`
	// Incarnation is different for each start of the process, so that a restarted
	// VM does not inherit the lease of its previous process.
	Incarnation string `json:"incarnation"`
	// ForwardAddress is the IP:port that accepts requests forwarded by other VMs.
	ForwardAddress string `json:"forward_address"`
	// ControlAddress is the IP:port that accepts control messages (jsonrpc2).
	ControlAddress string `json:"control_address"`
	// Strength compares the processor and network shares of VMs: more is stronger.
	// Tasks that cost more than average, for instance that of a zone's relay, are
	// given to strong VMs. It is 0 if the shares are not known.
	Strength int `json:"strength,omitempty"`
}

// MemberList is the list of VMs that can hold roles. Version grows with each
// change and never decreases at one VM. A list that other goroutines can read must not
// be modified.
type MemberList struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// Find returns the VM with the given ID and whether the list contains it.
func (l MemberList) Find(id ID) (VM, bool) {
	for _, v := range l.VMs {
		if v.ID == id {
			return v, true
		}
	}
	return VM{}, false
}

// RoleKind is the kind of a role. It is part of the rendezvous hash, so that a
// team and a service with the same name need not be held by the same VM.
type RoleKind string

// The kinds of roles that a VM can hold.
const (
	ServerOwner RoleKind = "server"
	TeamHome    RoleKind = "team"
	ServiceHome RoleKind = "service"
	// ClaimExpiry deletes expired idempotency claims. There is one such role, and
	// its name is empty.
	ClaimExpiry RoleKind = "claim-sweeper"
)

// Role is a responsibility that exactly one VM of a member list holds.
type Role struct {
	Kind RoleKind `json:"kind"`
	// Name is the ID of the backend server, team or service.
	Name string `json:"name"`
	// Zone, if set, is the zone whose VMs are preferred as holders. A request to a
	// backend server crosses zones at most once if the server's owner is in the
	// server's zone.
	Zone zone.ID `json:"zone,omitempty"`
}

// Rank returns the VMs of the list in the order in which they take the role: the
// first VM holds it, and the next one takes over if the first is removed. Every
// VM computes the same order from the same list. Removing a VM from the list
// moves only the roles that it held.
func (l MemberList) Rank(role Role) []VM {
	type scored struct {
		vm    VM
		score uint64
	}
	ranked := make([]scored, len(l.VMs))
	for i, v := range l.VMs {
		ranked[i] = scored{v, role.Score(v.ID)}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		if c := role.compareZone(a.vm, b.vm); c != 0 {
			return c
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm.ID, b.vm.ID))
	})
	out := make([]VM, len(ranked))
	for i := range ranked {
		out[i] = ranked[i].vm
	}
	return out
}

// Holder returns the VM that holds the role, or false if the list is empty. It is
// the first VM of Rank, found without sorting the list.
func (l MemberList) Holder(role Role) (VM, bool) {
	if len(l.VMs) == 0 {
		return VM{}, false
	}
	best := l.VMs[0]
	bestScore := role.Score(best.ID)
	for _, v := range l.VMs[1:] {
		score := role.Score(v.ID)
		order := role.compareZone(v, best)
		if order == 0 {
			order = cmp.Or(cmp.Compare(bestScore, score), cmp.Compare(v.ID, best.ID))
		}
		if order < 0 {
			best, bestScore = v, score
		}
	}
	return best, true
}

// Score returns the rendezvous hash of the role and a VM. The VM with the highest
// score among those of the preferred zone holds the role.
func (r Role) Score(id ID) uint64 {
	var buf [128]byte
	b := append(buf[:0], r.Kind...)
	b = append(b, 0)
	b = append(b, r.Name...)
	b = append(b, 0)
	b = append(b, id...)
	return xxhash.Sum64(b)
}

// compareZone returns a negative number if only a is in the preferred zone, a
// positive number if only b is, and 0 otherwise.
func (r Role) compareZone(a, b VM) int {
	if r.Zone == "" || (a.Zone == r.Zone) == (b.Zone == r.Zone) {
		return 0
	}
	if a.Zone == r.Zone {
		return -1
	}
	return 1
}
