package outlier

import (
	"slices"
	"sync/atomic"
	"time"

	"almondstile/contract"
	"almondstile/request"
	"almondstile/shard"
)

const (
	// QuarantineTime is how long a request that crashed servers is rejected.
	QuarantineTime = 10 * time.Minute
	// quarantineCrashes is the number of crashes that condemn a request: one
	// may be the server's own fault.
	quarantineCrashes = 2
	// maxCrashesPerRequest bounds a record; more crashes change nothing.
	maxCrashesPerRequest = 8
)

// Quarantine remembers the requests that servers crashed on. It is safe for
// concurrent use.
type Quarantine struct {
	// Observer counts the entries, if set.
	Observer Observer

	suspects shard.Map[request.Fingerprint, *suspectRequest]
	// size lets the common case, no crash at all, skip hashing each request.
	size atomic.Int64
}

type suspectRequest struct {
	crashes []knownCrash
}

type knownCrash struct {
	crash Crash
	at    time.Time
}

// Add records a crash and reports whether it is new.
func (q *Quarantine) Add(now time.Time, c Crash) (added bool) {
	at := now.Add(-duration(c.AgeMillis))
	if now.Sub(at) >= QuarantineTime {
		return false
	}
	q.suspects.Update(c.Fingerprint, func(s *suspectRequest, exists bool) (*suspectRequest, bool) {
		if !exists {
			s = &suspectRequest{}
			q.size.Add(1)
		}
		added = s.add(knownCrash{c, at})
		if added && len(s.crashes) == quarantineCrashes && q.Observer != nil {
			q.Observer.QuarantineEntered()
		}
		return s, true
	})
	return added
}

func (s *suspectRequest) add(k knownCrash) bool {
	known := slices.ContainsFunc(s.crashes, func(o knownCrash) bool { return o.crash.RequestID == k.crash.RequestID })
	if known || len(s.crashes) >= maxCrashesPerRequest {
		return false
	}
	s.crashes = append(s.crashes, k)
	return true
}

// last returns the time of the newest crash.
func (s *suspectRequest) last() time.Time {
	var last time.Time
	for _, k := range s.crashes {
		if k.at.After(last) {
			last = k.at
		}
	}
	return last
}

// Rejects reports whether a request must be rejected as not run because two
// servers crashed on its like.
func (q *Quarantine) Rejects(now time.Time, r *request.Request) bool {
	if q.size.Load() == 0 {
		return false
	}
	rejected := false
	q.suspects.DoExisting(request.FingerprintOf(r), func(s *suspectRequest) {
		rejected = len(s.crashes) >= quarantineCrashes && now.Sub(s.last()) < QuarantineTime
	})
	return rejected
}

// Crashes returns the crashes on a service's requests that still count, and
// drops all that no longer do.
func (q *Quarantine) Crashes(now time.Time, service contract.ServiceID) []Crash {
	if q.size.Load() == 0 {
		return nil
	}
	var all []Crash
	q.suspects.Range(func(_ request.Fingerprint, s *suspectRequest) bool {
		if now.Sub(s.last()) >= QuarantineTime {
			q.size.Add(-1)
			return false
		}
		for _, k := range s.crashes {
			if k.crash.Service == service {
				c := k.crash
				c.AgeMillis = millis(now.Sub(k.at))
				all = append(all, c)
			}
		}
		return true
	})
	return all
}
