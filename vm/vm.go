package vm

import (
	"cmp"
	"slices"

	"almondstile/zone"

	"github.com/cespare/xxhash/v2"
)

// ID names an entry VM. It stays the same over restarts of the process.
type ID string

// VM is one entry VM as the others see it.
type VM struct {
	ID   ID      `json:"id"`
	Zone zone.ID `json:"zone"`
	// Incarnation differs for each start of the process, so that a restarted
	// VM does not inherit the lease of the process before it.
	Incarnation string `json:"incarnation"`
	// ForwardAddress is the IP:port that accepts requests from other VMs.
	ForwardAddress string `json:"forward_address"`
	// ControlAddress is the IP:port that accepts control messages (jsonrpc2).
	ControlAddress string `json:"control_address"`
	// Strength compares the processor and network shares of VMs; duties that
	// take more than the usual go to strong ones. 0 if not known.
	Strength int `json:"strength,omitempty"`
}

// MemberList is the list of VMs that hold roles. Version grows by one with
// each change and never goes back. The list must not be modified once shared.
type MemberList struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// Find returns the VM with the given ID.
func (l MemberList) Find(id ID) (VM, bool) {
	for _, v := range l.VMs {
		if v.ID == id {
			return v, true
		}
	}
	return VM{}, false
}

// RoleKind tells the kinds of roles apart, so that equal names of a team and a
// service do not land on the same VM by necessity.
type RoleKind string

// The kinds of roles that a VM can hold.
const (
	ServerOwner RoleKind = "server"
	TeamHome    RoleKind = "team"
	ServiceHome RoleKind = "service"
	// ClaimSweeper expires old idempotency claims; its name is empty.
	ClaimSweeper RoleKind = "claim-sweeper"
)

// Role is one duty that exactly one VM of a member list holds.
type Role struct {
	Kind RoleKind `json:"kind"`
	// Name is the ID of the backend server, team or service.
	Name string `json:"name"`
	// Zone, if set, prefers VMs of that zone: a request to a server crosses
	// zones at most once when the server's owner is in the server's zone.
	Zone zone.ID `json:"zone,omitempty"`
}

// Rank returns the VMs of the list in the order in which they take the role:
// the first holds it, the next takes over. Every VM computes the same order
// from the same list, and removing a VM moves only the roles that it held.
func (l MemberList) Rank(role Role) []VM {
	type scored struct {
		vm    VM
		score uint64
	}
	ranked := make([]scored, len(l.VMs))
	for i, v := range l.VMs {
		ranked[i] = scored{v, role.score(v.ID)}
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

// Holder returns the VM that holds the role, which is the first of Rank,
// without sorting the whole list.
func (l MemberList) Holder(role Role) (VM, bool) {
	if len(l.VMs) == 0 {
		return VM{}, false
	}
	best := l.VMs[0]
	bestScore := role.score(best.ID)
	for _, v := range l.VMs[1:] {
		score := role.score(v.ID)
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

func (r Role) score(id ID) uint64 {
	var buf [128]byte
	b := append(buf[:0], r.Kind...)
	b = append(b, 0)
	b = append(b, r.Name...)
	b = append(b, 0)
	b = append(b, id...)
	return xxhash.Sum64(b)
}

// compareZone orders VMs of the preferred zone first.
func (r Role) compareZone(a, b VM) int {
	if r.Zone == "" || (a.Zone == r.Zone) == (b.Zone == r.Zone) {
		return 0
	}
	if a.Zone == r.Zone {
		return -1
	}
	return 1
}
