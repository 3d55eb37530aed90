package membership

import (
	"time"

	"almondstile/vm"
)

// maxHandoverLists bounds the work of MayAct for a VM that joined. With more
// older lists the VM waits until they are certainly out of use.
const maxHandoverLists = 4

// handover lets a VM that joined act in a role before all older lists are out
// of use: as soon as the holders by those lists have answered a heartbeat with
// a list that has the new VM. Lists never go back, so they do not act any more.
// Its lists are fixed at the join, so that the result for a role stays.
type handover struct {
	// version is that of the list in which the VM first saw itself.
	version uint64
	lists   []oldList
	// incarnations are those of the members when this VM joined; a process that
	// started later knows nothing of the one before it.
	incarnations map[vm.ID]string
	// confirmed is when a VM was first heard to use version or a later one.
	confirmed map[vm.ID]time.Time
}

// oldList is an older list without the members that cannot act any more.
type oldList struct {
	list vm.MemberList
	// replaced are members whose process before may still act; it cannot be
	// asked.
	replaced map[vm.ID]bool
	// unknown says that a member that may act is not in the new list, so that
	// the holder of a role cannot be computed.
	unknown bool
}

func newHandover(r Roster, priors []priorList) handover {
	h := handover{
		version:      r.List.Version,
		incarnations: make(map[vm.ID]string),
		confirmed:    make(map[vm.ID]time.Time),
	}
	if len(priors) > maxHandoverLists {
		return handover{}
	}
	for _, prior := range priors {
		old := oldList{replaced: prior.replaced}
		for id := range prior.members {
			v, found := r.List.Find(id)
			switch {
			case prior.removed[id]:
			case !found:
				old.unknown = true
			default:
				old.list.VMs = append(old.list.VMs, v)
				h.incarnations[id] = v.Incarnation
			}
		}
		h.lists = append(h.lists, old)
	}
	return h
}

// heard notes the answer of a peer.
func (h *handover) heard(now time.Time, peer vm.ID, hb Heartbeat) {
	incarnation, ok := h.incarnations[peer]
	if !ok || incarnation != hb.Incarnation || hb.ListVersion < h.version {
		return
	}
	if _, known := h.confirmed[peer]; !known {
		h.confirmed[peer] = now
	}
}

// since returns when it became certain that no VM acts in the role by an older
// list.
func (h *handover) since(role vm.Role) (since time.Time, ok bool) {
	if h.version == 0 {
		return time.Time{}, false
	}
	for _, old := range h.lists {
		holder, any := old.list.Holder(role)
		if old.unknown || any && old.replaced[holder.ID] {
			return time.Time{}, false
		}
		if !any {
			continue
		}
		confirmed, known := h.confirmed[holder.ID]
		if !known {
			return time.Time{}, false
		}
		if confirmed.After(since) {
			since = confirmed
		}
	}
	return since, true
}
