package httpconn

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// carriedRetention is how long after its deadline a request stays recorded. A late
	// copy of its response may still arrive then.
	carriedRetention = 2 * time.Second
	// defaultCarriedRetention is how long a request without a deadline stays recorded.
	defaultCarriedRetention = time.Minute
	// maxCarriedRequests bounds the records of one connection, 40 bytes each. A
	// connection with more is not used again.
	maxCarriedRequests = 2048
)

// carriedRequests records which requests a connection has carried. A server may send
// the response to one of them a second time, at any later moment. The ID in a response
// names the request and not the attempt, so such a copy cannot be told from the response
// to another attempt of the same request on the same connection.
type carriedRequests struct {
	records []carriedRequest // oldest first
}

// carriedRequest is one record.
type carriedRequest struct {
	idHash uint64
	until  time.Time
	// head says that the request's method was HEAD, whose responses have no body.
	head bool
}

// add records a request. It drops the oldest records as far as they have expired.
func (l *carriedRequests) add(now time.Time, id string, until time.Time, head bool) {
	expired := 0
	for expired < len(l.records) && now.After(l.records[expired].until) {
		expired++
	}
	l.records = slices.Delete(l.records, 0, expired)
	l.records = append(l.records, carriedRequest{xxhash.Sum64String(id), until, head})
}

// find returns the record of the request with the ID, or nil.
func (l *carriedRequests) find(id string) *carriedRequest {
	hash := xxhash.Sum64String(id)
	for i := range l.records {
		if l.records[i].idHash == hash {
			return &l.records[i]
		}
	}
	return nil
}

// full reports whether no further request can be recorded.
func (l *carriedRequests) full() bool { return len(l.records) >= maxCarriedRequests }
