package membership

import (
	"math/rand/v2"
	"slices"
	"strconv"
)

// maxLineage bounds the size of the list's row. A VM that missed more changes of
// the list joins again.
const maxLineage = 32

// id returns the ID of the list, or "" if it has none.
func (r Roster) id() string {
	if len(r.Lineage) == 0 {
		return ""
	}
	return r.Lineage[0]
}

// isList reports whether the version and the ID are those of the list.
func (r Roster) isList(version uint64, id string) bool {
	return r.List.Version == version && r.id() == id
}

// contradicts reports whether a heartbeat shows that the list has changed, or that
// its VM uses a list of which this one was not made.
func (r Roster) contradicts(hb Heartbeat) bool {
	return hb.ListVersion > r.List.Version || hb.ListID != "" && len(r.Lineage) > 0 && !slices.Contains(r.Lineage, hb.ListID)
}

// follows reports whether the list was made from the earlier list by changes. That
// is assumed if the earlier list has version 0, or if one of them was written by a
// process without IDs.
func (r Roster) follows(earlier Roster) bool {
	unknown := earlier.List.Version == 0 || earlier.id() == "" || r.id() == ""
	return unknown || slices.Contains(r.Lineage, earlier.id())
}

// nextLineage returns the lineage of a list that follows this one.
func (r Roster) nextLineage() []string {
	const base = 36 // digits and letters, so that the ID is short in rows and heartbeats
	id := strconv.FormatUint(uint64(rand.Uint32()), base)
	lineage := append([]string{id}, r.Lineage...)
	return lineage[:min(len(lineage), maxLineage)]
}
