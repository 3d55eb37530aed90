package membership

import (
	"slices"
	"time"

	"almondstile/vm"
)

// maxHandoverLists bounds the work of MayAct for a VM that joined. If there are
// more older lists, the VM uses no handover and waits until it is proven that
// no VM can act by them.
const maxHandoverLists = 4

// handover lets a VM that joined act in a role before it is proven that all older
// lists are out of use. For each older list, the holder of the role must have
// sent a heartbeat with a list that contains the new VM. A VM never returns to
// an older list, so such a holder does not act in the role any more. The older
// lists are fixed at the join, so that a positive result for a role stays
// positive.
type handover struct {
	// joinVersion is the version of the list in which this VM first found itself.
	// 0 means that no handover is possible.
	joinVersion uint64
	olderLists  []handoverList
	// incarnations holds the incarnations of the older lists' members when this
	// VM joined. A process that started later does not know whether the process
	// before it has stopped, so its heartbeats do not count.
	incarnations map[vm.ID]string
	// confirmedAt holds the time of the first heartbeat in which a VM reported
	// joinVersion or a later version.
	confirmedAt map[vm.ID]time.Time
}

// handoverList is an older list without the members that are proven unable to
// act any more.
type handoverList struct {
	list vm.MemberList
	// replaced holds the members that restarted since. Their previous process may
	// still act, and it cannot be reached by heartbeats.
	replaced map[vm.ID]bool
	// holderUnknown is set if a member that may act is not in the new list. The
	// holder of a role by the older list cannot be computed then.
	holderUnknown bool
}

// newHandover returns the handover state of a VM that first finds itself in the
// roster r. With more than maxHandoverLists older lists, the result allows no
// handover.
func newHandover(r Roster, olderLists []olderList) handover {
	h := handover{
		joinVersion:  r.List.Version,
		incarnations: make(map[vm.ID]string),
		confirmedAt:  make(map[vm.ID]time.Time),
	}
	if len(olderLists) > maxHandoverLists {
		return handover{}
	}
	for _, older := range olderLists {
		old := handoverList{replaced: older.replaced}
		for id := range older.members {
			v, found := r.List.Find(id)
			switch {
			case older.removed[id]:
			case !found:
				old.holderUnknown = true
			default:
				old.list.VMs = append(old.list.VMs, v)
				h.incarnations[id] = v.Incarnation
			}
		}
		h.olderLists = append(h.olderLists, old)
	}
	return h
}

// recordHeartbeat records that the peer reported joinVersion or a later one. Only
// the process that ran when this VM joined counts, and only a list of the lineage:
// a list that the table has lost may have the same version without this VM.
func (h *handover) recordHeartbeat(now time.Time, peer vm.ID, hb Heartbeat, lineage []string) {
	incarnation, ok := h.incarnations[peer]
	if !ok || incarnation != hb.Incarnation || hb.ListVersion < h.joinVersion || !slices.Contains(lineage, hb.ListID) {
		return
	}
	if _, confirmed := h.confirmedAt[peer]; !confirmed {
		h.confirmedAt[peer] = now
	}
}

// excludedSince returns the time from which it is certain that no VM acts in the
// role by an older list. ok is false while that is not certain.
func (h *handover) excludedSince(role vm.Role) (since time.Time, ok bool) {
	if h.joinVersion == 0 {
		return time.Time{}, false
	}
	for _, older := range h.olderLists {
		holder, exists := older.list.Holder(role)
		if older.holderUnknown || exists && older.replaced[holder.ID] {
			return time.Time{}, false
		}
		if !exists {
			continue
		}
		confirmedAt, known := h.confirmedAt[holder.ID]
		if !known {
			return time.Time{}, false
		}
		if confirmedAt.After(since) {
			since = confirmedAt
		}
	}
	return since, true
}
