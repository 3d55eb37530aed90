package history

import (
	"cmp"
	"fmt"
)

// Era identifies a part of the store's history in which nothing that it acknowledged was
// lost. The zero value is the first era of a store that states none.
type Era struct {
	// Stated is the number that the store gives the era, 0 if it gives none. It rises each
	// time that the store goes back.
	Stated uint64
	// Found counts how often VMs found that the store had gone back although the number that
	// it stated had not changed.
	Found uint64
}

// Compare returns a negative number if e is earlier than o, a positive number if it is
// later, and 0 if they are the same.
func (e Era) Compare(o Era) int {
	return cmp.Or(cmp.Compare(e.Stated, o.Stated), cmp.Compare(e.Found, o.Found))
}

// Next returns the era that follows because a VM found that the store had gone back.
func (e Era) Next() Era { return Era{Stated: e.Stated, Found: e.Found + 1} }

// String returns the era as STATED.FOUND, for log lines.
func (e Era) String() string { return fmt.Sprintf("%d.%d", e.Stated, e.Found) }

// Position is a point in the store's history. The zero value is before all others.
type Position struct {
	Era Era
	// Version is the store's version, counted within the era.
	Version uint64
}

// Compare returns a negative number if p is before o, a positive number if it is after it,
// and 0 if they are the same. The versions of different eras are not compared.
func (p Position) Compare(o Position) int {
	return cmp.Or(p.Era.Compare(o.Era), cmp.Compare(p.Version, o.Version))
}

// Before reports whether p is before o.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }
