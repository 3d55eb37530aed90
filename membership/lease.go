package membership

import "time"

// Lease is the right of a VM to act, granted by a write to the store. The zero
// value has expired.
type Lease struct {
	// Sent is when the last renewal that took effect was sent. Counting from
	// the response would let the VM act after its watchers gave it up.
	RenewalSentAt time.Time
	// Term is how long the lease lasts.
	Term time.Duration
}

// Renew extends the lease by a write that took effect. An older write, whose
// outcome became known late, does not shorten it.
func (l *Lease) Renew(sent time.Time) {
	if sent.After(l.RenewalSentAt) {
		l.RenewalSentAt = sent
	}
}

// Valid reports whether the lease holds at now.
func (l Lease) Valid(now time.Time) bool {
	return !l.RenewalSentAt.IsZero() && now.Before(l.RenewalSentAt.Add(l.Term))
}
