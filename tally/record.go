package tally

import (
	"encoding/binary"
	"time"

	"almondstile/vm"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of a subject, the first byte of the Subject.
type Kind byte

// The kinds of subjects.
const (
	Server      Kind = 's'
	Team        Kind = 't'
	Service     Kind = 'v'
	Route       Kind = 'r'
	Fingerprint Kind = 'c'
	// Incarnation is one process of a server, from one start to the next.
	Incarnation Kind = 'i'
	// Cost is a kind of requests, or all requests of a service, of which the cost is learned.
	Cost Kind = 'k'
	// Rollout is one order of a roll-out.
	Rollout Kind = 'o'
	// Sample is the responses of one class during a roll-out, and FailedSample those of
	// servers of the new version that failed. RolloutLoad is what one VM has under way at
	// the servers that are replaced. Package rollout/replica packs what they are about
	// into the other bytes of the subject.
	Sample       Kind = 'm'
	FailedSample Kind = 'f'
	RolloutLoad  Kind = 'l'
)

// Subject identifies what is counted by a kind, 1 byte, and the 8-byte hash of a
// name. Hashes keep datagrams small. The probability that two of 5,100 servers have
// the same hash is below 1 in 10^12.
type Subject string

// subjectBytes is the length of a Subject.
const subjectBytes = 9

// SubjectOf returns the subject of the given kind and name.
func SubjectOf(kind Kind, name string) Subject {
	var b [subjectBytes]byte
	b[0] = byte(kind)
	binary.BigEndian.PutUint64(b[1:], xxhash.Sum64String(name))
	return Subject(b[:])
}

// Kind returns the kind of the subject, or 0 for the empty subject.
func (s Subject) Kind() Kind {
	if s == "" {
		return 0
	}
	return Kind(s[0])
}

// Field is an index into Counts. Its meaning depends on the kind of the subject.
type Field int

// The fields of subjects of kind Server.
const (
	// Started counts the requests that were sent to the server.
	Started Field = iota
	// Succeeded and Failed count their results. Refused counts the requests that
	// the server did not execute.
	Succeeded
	Failed
	Refused
	// RelativeLatencyPercent sums the latencies of requests that got a response,
	// each in percent of the typical latency of its route.
	RelativeLatencyPercent
	// WorkTenths sums the likely costs of the requests that were sent to the server, each
	// in tenths of the mean of its service. It stays 0 while all requests cost alike.
	WorkTenths
	// Canceled counts the requests that their VM canceled at the server.
	Canceled
	fieldCount
)

// The fields of subjects of the other kinds.
const (
	// Admitted counts a team's requests within its rate. AdmittedNearLimit counts
	// those that were admitted with few tokens left, which other VMs must learn of
	// at once.
	Admitted          Field = 0
	AdmittedNearLimit Field = 1
	// FirstAttempts and Retries count the attempts to send a service's requests.
	FirstAttempts Field = 0
	Retries       Field = 1
	// OfferedUrgent, OfferedMiddle and OfferedLeast count the requests for a service, also
	// those that were turned away: of its most urgent rank, its least urgent one, and those
	// between.
	OfferedUrgent Field = 2
	OfferedMiddle Field = 3
	OfferedLeast  Field = 4
	// TurnedAway counts the requests for a service that a VM turned away before it sent them
	// to a server.
	TurnedAway Field = 5
	// Unserved counts the requests that a VM sent to a server and that got no good response.
	Unserved Field = 6
	// GoodResponses counts a route's good responses. LatencyMillis sums their
	// latencies in milliseconds.
	GoodResponses Field = 0
	LatencyMillis Field = 1
	// Crashes counts the servers that crashed on requests with a fingerprint.
	Crashes Field = 0
	// Leaving counts the VMs to which an incarnation stated that it leaves.
	Leaving Field = 0
	// LimitStated counts the responses in which an incarnation stated a limit, and
	// LimitCentiPerSecond sums the limits, in hundredths of a request per second.
	// LimitUnstated counts the responses without a limit while one was known.
	LimitStated         Field = 1
	LimitCentiPerSecond Field = 2
	LimitUnstated       Field = 3
	// CostSamples counts the responses from which a cost was learned. CostMillis sums
	// their latencies in milliseconds, and CostLogCentis the natural logarithms of these,
	// in hundredths.
	CostSamples   Field = 0
	CostMillis    Field = 1
	CostLogCentis Field = 2
	// LimitedSends counts the requests that were sent to an incarnation with a limit.
	LimitedSends Field = 4
	// TargetSends counts the requests that were sent to servers of the new version of a
	// roll-out. RollBacks and Completions count the announcements of its verdicts, and
	// Shifts the VMs that have begun to move all requests.
	TargetSends Field = 0
	RollBacks   Field = 1
	Completions Field = 2
	Shifts      Field = 3
	// Sampled counts the responses of a sample.
	Sampled Field = 0
	// The requests that a VM has under way at the servers that are replaced are LoadUp
	// minus LoadDown, and those of them that may not be repeated UnrepeatableUp minus
	// UnrepeatableDown. LoadReports counts the reports.
	LoadUp           Field = 0
	LoadDown         Field = 1
	UnrepeatableUp   Field = 2
	UnrepeatableDown Field = 3
	LoadReports      Field = 4
)

// Counts holds running totals, or the difference of two, indexed by Field.
type Counts [fieldCount]uint64

// minus returns c-o and true, or zero counts and false if a field would be negative.
func (c Counts) minus(o Counts) (Counts, bool) {
	var out Counts
	for i := range c {
		if c[i] < o[i] {
			return Counts{}, false
		}
		out[i] = c[i] - o[i]
	}
	return out, true
}

// Origin identifies one process of a VM, from one start to the next.
type Origin string

// OriginOf returns the origin of the VM's process with the incarnation.
func OriginOf(id vm.ID, incarnation string) Origin {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], xxhash.Sum64String(string(id)+"/"+incarnation))
	return Origin(b[:])
}

// Record holds one origin's totals of a subject.
type Record struct {
	Origin  Origin
	Subject Subject
	Counts  Counts
	// Uptime is the time for which the origin's process had run at the last change.
	Uptime time.Duration
	// Resent is true if the record is sent again because its receivers did not get
	// the sender's messages when the counts changed.
	Resent bool
}
