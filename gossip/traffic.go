package gossip

import (
	"sync/atomic"

	"almondstile/tally"
)

// Cause is why a VM sends bytes to other VMs, in metrics and log lines.
type Cause string

// The causes.
const (
	// CauseHeartbeat is a datagram without records.
	CauseHeartbeat Cause = "heartbeat"
	// CauseRecords is a datagram with records of changed counts.
	CauseRecords Cause = "records"
	// CauseResent is a datagram of which most records are sent again after a gap.
	CauseResent Cause = "resent"
	// CauseCopies is the response to a pull of table copies.
	CauseCopies Cause = "copies"
)

// Observer receives what a node sends, for metrics.
type Observer interface {
	// GossipSent counts bytes that were sent to other VMs.
	GossipSent(cause string, bytes int)
	// GossipPull counts a pull from another VM and whether it succeeded.
	GossipPull(succeeded bool)
}

// traffic sums the bytes that this VM has sent to other VMs since its start, by their cause.
// It is safe for concurrent use.
type traffic struct {
	observer Observer // may be nil
	records  atomic.Int64
	resent   atomic.Int64
	copies   atomic.Int64
}

// sent counts bytes that were sent.
func (t *traffic) sent(cause Cause, bytes int) {
	switch cause {
	case CauseRecords:
		t.records.Add(int64(bytes))
	case CauseResent:
		t.resent.Add(int64(bytes))
	case CauseCopies:
		t.copies.Add(int64(bytes))
	}
	if t.observer != nil {
		t.observer.GossipSent(string(cause), bytes)
	}
}

// pulled counts a pull from another VM.
func (t *traffic) pulled(succeeded bool) {
	if t.observer != nil {
		t.observer.GossipPull(succeeded)
	}
}

// trafficTotals holds the sums of traffic at one time.
type trafficTotals struct{ records, resent, copies int64 }

func (t *traffic) totals() trafficTotals {
	return trafficTotals{t.records.Load(), t.resent.Load(), t.copies.Load()}
}

// since returns the bytes that were sent after an earlier time.
func (t trafficTotals) since(earlier trafficTotals) trafficTotals {
	return trafficTotals{t.records - earlier.records, t.resent - earlier.resent, t.copies - earlier.copies}
}

// causeOf returns the cause of a datagram with these records.
func causeOf(records []tally.Record) Cause {
	if len(records) == 0 {
		return CauseHeartbeat
	}
	resent := 0
	for i := range records {
		if records[i].Resent {
			resent++
		}
	}
	if 2*resent > len(records) {
		return CauseResent
	}
	return CauseRecords
}
