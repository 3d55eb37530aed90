package tally

import "time"

// Receivers are those who did not hear this VM for a while.
type Receivers string

// The receivers of records that are sent again.
const (
	// Zone is the VMs of this VM's zone, or their relays.
	OwnZone Receivers = "zone"
	// OtherZones is the relays of other zones.
	OtherZones Receivers = "other-zones"
)

// Resend sends what changed since the time once more to receivers that did not
// hear it, with the mark that it was missed. of selects the origins. Servers and
// routes are left out: what was known of them is out of date.
func (l *Ledger) Resend(since time.Time, to Receivers, of func(Origin) bool) {
	changed := since.Sub(l.started)
	var keys []string
	l.entries.Range(func(key string, e *entry) bool {
		if e.changed >= changed && isShared(e.record.Subject) && of(e.record.Origin) {
			if to == OwnZone {
				e.zoneSends, e.urgentZone, e.missedZone = ownSends, true, true
			} else {
				e.remoteSends, e.urgentRemote, e.missedRemote = remoteSends, true, true
			}
			keys = append(keys, key)
		}
		return true
	})
	for _, key := range keys {
		l.pending.Store(key, struct{}{})
	}
	if len(keys) > 0 {
		l.urgent()
	}
}

// isShared reports whether the counts of a subject are held against a limit that
// all VMs share.
func isShared(s Subject) bool {
	return s.Kind() == Team || s.Kind() == Service || s.Kind() == Fingerprint
}
