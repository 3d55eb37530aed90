package tally

import "time"

// Receivers names a group of VMs that did not receive this VM's messages for a while.
type Receivers string

// The receivers of records that are resent.
const (
	// OwnZone is the VMs of this VM's zone if it is a relay, else the zone's relays.
	OwnZone Receivers = "zone"
	// OtherZones is the relays of the other zones.
	OtherZones Receivers = "other-zones"
)

// Resend schedules the records that changed since the given time for sending again,
// marked as resent, to receivers that did not get them. includes selects the origins.
// Records of servers and routes are left out, because they are out of date by now.
func (l *Ledger) Resend(since time.Time, to Receivers, includes func(Origin) bool) {
	sinceUptime := since.Sub(l.started)
	var keys []entryKey
	l.retainEntries(func(e *entry) bool {
		if e.changedAt >= sinceUptime && hasSharedLimit(e.record.Subject) && includes(e.record.Origin) {
			if to == OwnZone {
				e.zoneSendsLeft, e.urgentZone, e.resentToZone = ownSends, true, true
			} else {
				e.remoteSendsLeft, e.urgentRemote, e.resentToRemote = relayRemoteSends, true, true
			}
			keys = append(keys, keyOf(e.record.Subject, e.record.Origin))
		}
		return true
	})
	for _, key := range keys {
		l.pending.Store(key, struct{}{})
	}
	if len(keys) > 0 {
		l.notifyUrgent()
	}
}

// hasSharedLimit reports whether the counts of a subject are checked against a limit
// that all VMs share, such as the exposure of a roll-out.
func hasSharedLimit(s Subject) bool {
	return s.Kind() == Team || s.Kind() == Service || s.Kind() == Fingerprint || isOfRollout(s)
}
