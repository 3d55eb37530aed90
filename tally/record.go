package tally

import (
	"encoding/binary"
	"time"

	"almondstile/vm"

	"github.com/cespare/xxhash/v2"
)

// Kind says what a subject is.
type Kind byte

// The kinds of subjects.
const (
	Server      Kind = 's'
	Team        Kind = 't'
	Service     Kind = 'v'
	Route       Kind = 'r'
	Fingerprint Kind = 'c'
)

// Subject identifies what is counted: a kind and the hash of a name. Hashes keep
// datagrams small; the chance that two of 5,100 servers share one is below 1 in
// 10^12.
type Subject string

// SubjectOf returns the subject of a named thing.
func SubjectOf(kind Kind, name string) Subject {
	var b [9]byte
	b[0] = byte(kind)
	binary.BigEndian.PutUint64(b[1:], xxhash.Sum64String(name))
	return Subject(b[:])
}

// Kind returns the kind of the subject.
func (s Subject) Kind() Kind {
	if s == "" {
		return 0
	}
	return Kind(s[0])
}

// Field is an index into Counts. Its meaning depends on the kind.
type Field int

// The fields of the kinds.
const (
	// Started counts requests sent to a server.
	Started Field = iota
	// Succeeded and Failed count their responses; Refused those that the server
	// did not run.
	Succeeded
	Failed
	Refused
	// RelativeLatencyPercent sums the time that answered requests took, each in percent
	// of what is usual on its route.
	RelativeLatencyPercent
	fieldCount
)

const (
	// Admitted counts a team's requests within its rate, Scarce those that were
	// admitted when few tokens were left, which others must know at once.
	Admitted          Field = 0
	AdmittedNearLimit Field = 1
	// First and Repeat count the sends of a service's requests.
	FirstAttempts Field = 0
	Retries       Field = 1
	// Answered counts a route's good responses, LatencyMillis sums their time.
	GoodResponses Field = 0
	LatencyMillis Field = 1
	// Crashes counts the servers that a request brought down.
	Crashes Field = 0
)

// Counts are running totals or a difference of two.
type Counts [fieldCount]uint32

// minus returns c-o, and whether no field of it is negative.
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

// Origin is one start of one VM.
type Origin string

// OriginOf returns the origin of a VM's process.
func OriginOf(id vm.ID, incarnation string) Origin {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], xxhash.Sum64String(string(id)+"/"+incarnation))
	return Origin(b[:])
}

// Record is one origin's totals of a subject.
type Record struct {
	Origin  Origin
	Subject Subject
	Counts  Counts
	// Uptime is how long the origin's process had run at the last change.
	Uptime time.Duration
	// Missed says that the record is sent again, because its receivers did not
	// hear the sender when the counts changed.
	Missed bool
}
