package httpconn

import (
	"strconv"
	"testing"
	"time"
)

// Guards against records of carried requests that expire while a request may still be
// repeated, and against records that grow without bound on a busy connection.
func TestCarriedRequestsAreKeptUntilTheyExpire(t *testing.T) {
	var l carriedRequests
	start := time.Unix(1000, 0)
	l.add(start, "first", start.Add(time.Second), true)
	for i := range 100 {
		l.add(start.Add(time.Second), strconv.Itoa(i), start.Add(2*time.Second), false)
	}
	if found := l.find("first"); found == nil || !found.head {
		t.Errorf("a record that has not expired: got %+v", found)
	}
	l.add(start.Add(3*time.Second), "last", start.Add(4*time.Second), false)
	if l.find("first") != nil || l.find("99") != nil || l.find("last") == nil || len(l.records) != 1 {
		t.Errorf("%d records are left, want only the one that has not expired", len(l.records))
	}
	for i := range maxCarriedRequests {
		if l.full() {
			break
		}
		l.add(start.Add(3*time.Second), strconv.Itoa(i), start.Add(time.Hour), false)
	}
	if !l.full() {
		t.Errorf("%d records do not fill the list", len(l.records))
	}
}
