package gossip

import (
	"time"

	"almondstile/tally"
)

const (
	// recordsLinkShare is the part of the VM's link that records may take. Counts are running
	// totals, so records that wait are replaced by newer ones and nothing is lost. The
	// rest of the link is for what cannot wait: requests, announcements of new rows and pulls.
	recordsLinkShare = 0.7
	// sendBurstTime is the time for which a sendPace collects bytes that were not sent.
	sendBurstTime = 250 * time.Millisecond
	// typicalRecordBytes is the size of a record in a datagram that is assumed before it is
	// encoded.
	typicalRecordBytes = 32
)

// sendPace bounds the bytes of records that a VM sends by the bandwidth of its link. A VM with a
// slow link that has to relay for its zone would otherwise fill it for seconds. Only the
// goroutine that sends uses it.
type sendPace struct {
	bytesPerSecond float64 // 0 stands for no limit
	bytes          float64 // that may be sent; below 0 after a send that was larger
	at             time.Time
}

// newSendPace returns the pace of a VM whose link carries linkBytesPerSecond, 0 if that is not
// known.
func newSendPace(linkBytesPerSecond float64) sendPace {
	return sendPace{bytesPerSecond: recordsLinkShare * linkBytesPerSecond}
}

// allowedRecords returns how many records may be sent now to so many receivers.
func (p *sendPace) allowedRecords(now time.Time, receivers int) int {
	if p.bytesPerSecond <= 0 {
		return tally.NoLimit
	}
	most := p.bytesPerSecond * sendBurstTime.Seconds()
	if p.at.IsZero() {
		p.bytes = most
	} else {
		p.bytes = min(most, p.bytes+p.bytesPerSecond*max(now.Sub(p.at), 0).Seconds())
	}
	p.at = now
	return int(max(p.bytes, 0) / float64(typicalRecordBytes*max(receivers, 1)))
}

// sent takes the bytes of records that were sent out of what is allowed.
func (p *sendPace) sent(bytes int) { p.bytes -= float64(bytes) }
