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
	// QuarantineDuration is the time after a request's last crash during which the
	// request is rejected.
	QuarantineDuration = 10 * time.Minute
	// quarantineThreshold is the number of crashes from which on a request is
	// rejected. The cause of a single crash may be the server itself.
	quarantineThreshold = 2
	// maxCrashesPerRequest limits the crashes that are recorded for one request.
	// Further crashes would not change a decision.
	maxCrashesPerRequest = 8
)

// Quarantine records the requests during which servers crashed, and rejects those
// that caused crashes. It is safe for concurrent use.
type Quarantine struct {
	// Observer counts the quarantined requests. It may be nil.
	Observer Observer

	// suspects holds the recorded crashes of each request fingerprint.
	suspects shard.Map[request.Fingerprint, *suspectRequest]
	// serviceCrashes holds each service's crashes of serviceCrashTime, whichever
	// requests were in flight.
	serviceCrashes shard.Map[contract.ServiceID, []serverCrash]
	// suspectCount is the number of entries in suspects. While it is 0, which is
	// the common case, no request needs to be hashed.
	suspectCount atomic.Int64
}

// suspectRequest holds the recorded crashes of requests with one fingerprint.
type suspectRequest struct {
	crashes []recordedCrash
}

// serverCrash is one crash of a server. Several requests may have been in flight.
type serverCrash struct {
	server contract.ServerID
	at     time.Time
}

const (
	// sameCrashTime is the time within which requests that were lost on one server
	// count as lost in the same crash.
	sameCrashTime = 500 * time.Millisecond
	// relatedCrashTime is the time within which crashes of several servers count as
	// related.
	relatedCrashTime = 2 * time.Second
	// minUnrelatedCrashes is the number of unrelated crashes from which on a crash is
	// not attributed to the request. Unrelated crashes happen at about the same time
	// on servers where the request was not in flight: the servers restart together,
	// or they crash while cold under the load that is left.
	minUnrelatedCrashes = 2
	// serviceCrashTime is how long crashes of a service's servers are kept: as long as
	// the crashes of a request count that they may explain.
	serviceCrashTime = QuarantineDuration + relatedCrashTime
	// maxServiceCrashes bounds the crashes that are kept for one service.
	maxServiceCrashes = 1024
)

// recordedCrash is a crash with its time by this VM's clock.
type recordedCrash struct {
	crash Crash
	at    time.Time
}

// AddCrash records a crash and reports whether it is new. It ignores crashes older
// than QuarantineDuration.
func (q *Quarantine) AddCrash(now time.Time, c Crash) (added bool) {
	at := now.Add(-duration(c.AgeMillis))
	if now.Sub(at) >= QuarantineDuration {
		return false
	}
	q.recordServiceCrash(now, c, at)
	q.suspects.Update(c.Fingerprint, func(s *suspectRequest, exists bool) (*suspectRequest, bool) {
		if !exists {
			s = &suspectRequest{}
			q.suspectCount.Add(1)
		}
		added = s.add(recordedCrash{c, at})
		if added && len(s.crashes) == quarantineThreshold && q.Observer != nil {
			q.Observer.RequestQuarantined()
		}
		return s, true
	})
	return added
}

// add records a crash and reports whether it was recorded. A crash with a known request
// ID counts only once.
func (s *suspectRequest) add(k recordedCrash) bool {
	known := slices.ContainsFunc(s.crashes, func(o recordedCrash) bool { return o.crash.RequestID == k.crash.RequestID })
	if known || len(s.crashes) >= maxCrashesPerRequest {
		return false
	}
	s.crashes = append(s.crashes, k)
	return true
}

// lastCrash returns the time of the newest crash.
func (s *suspectRequest) lastCrash() time.Time {
	var last time.Time
	for _, k := range s.crashes {
		if k.at.After(last) {
			last = k.at
		}
	}
	return last
}

// Rejects reports whether a request must be rejected without executing it, because
// requests with the same fingerprint caused at least two crashes.
func (q *Quarantine) Rejects(now time.Time, r *request.Request) bool {
	if q.suspectCount.Load() == 0 {
		return false
	}
	var crashes []recordedCrash
	q.suspects.DoExisting(request.FingerprintOf(r), func(s *suspectRequest) {
		if len(s.crashes) >= quarantineThreshold && now.Sub(s.lastCrash()) < QuarantineDuration {
			crashes = slices.Clone(s.crashes)
		}
	})
	if len(crashes) == 0 {
		return false
	}
	recent, _ := q.serviceCrashes.Load(r.Service)
	return countAttributable(crashes, recent) >= quarantineThreshold
}

// recordServiceCrash appends a crash to the crashes of its service, unless
// the same crash of the server is there already.
func (q *Quarantine) recordServiceCrash(now time.Time, c Crash, at time.Time) {
	q.serviceCrashes.Update(c.Service, func(list []serverCrash, _ bool) ([]serverCrash, bool) {
		// The slice is replaced, not modified, because readers use it without the lock.
		kept := make([]serverCrash, 0, len(list)+1)
		for _, s := range list {
			if s.server == c.Server && timeBetween(s.at, at) <= sameCrashTime {
				return list, true
			}
			if now.Sub(s.at) < serviceCrashTime {
				kept = append(kept, s)
			}
		}
		kept = append(kept, serverCrash{c.Server, at})
		return kept[max(0, len(kept)-maxServiceCrashes):], true
	})
}

// countAttributable counts the crashes that the request may have caused.
func countAttributable(crashes []recordedCrash, recent []serverCrash) int {
	count := 0
	for _, crash := range crashes {
		if countUnrelated(crash, crashes, recent) < minUnrelatedCrashes {
			count++
		}
	}
	return count
}

// countUnrelated counts the service's crashes at about the time of the given crash that
// happened on servers where the request was not in flight.
func countUnrelated(crash recordedCrash, crashes []recordedCrash, recent []serverCrash) int {
	count := 0
	for _, s := range recent {
		ran := slices.ContainsFunc(crashes, func(recorded recordedCrash) bool {
			return recorded.crash.Server == s.server && timeBetween(recorded.at, s.at) <= sameCrashTime
		})
		if !ran && timeBetween(s.at, crash.at) <= relatedCrashTime {
			count++
		}
	}
	return count
}

func timeBetween(a, b time.Time) time.Duration { return a.Sub(b).Abs() }

// Crashes returns the recorded crashes of a service's requests with their ages. It
// also deletes the expired records of all services.
func (q *Quarantine) Crashes(now time.Time, service contract.ServiceID) []Crash {
	if q.suspectCount.Load() == 0 {
		return nil
	}
	var all []Crash
	q.suspects.Range(func(_ request.Fingerprint, s *suspectRequest) bool {
		if now.Sub(s.lastCrash()) >= QuarantineDuration {
			q.suspectCount.Add(-1)
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
