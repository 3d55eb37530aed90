package membership

import "time"

// Lease is the right of a VM to act for a limited time, granted by a write to the
// store. The zero value is an expired lease.
type Lease struct {
	// RenewalSentAt is when the last successful renewal was sent. The lease does
	// not count from the response, because other VMs could then consider it
	// expired while this VM still acts.
	RenewalSentAt time.Time
	// Term is the duration of the lease.
	Term time.Duration
}

// Renew extends the lease after a successful write that was sent at sentAt. A
// write that was sent before the last renewal has no effect.
func (l *Lease) Renew(sentAt time.Time) {
	if sentAt.After(l.RenewalSentAt) {
		l.RenewalSentAt = sentAt
	}
}

// Valid reports whether the lease has not expired at now.
func (l Lease) Valid(now time.Time) bool {
	return !l.RenewalSentAt.IsZero() && now.Before(l.RenewalSentAt.Add(l.Term))
}
