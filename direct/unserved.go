package direct

import (
	"time"

	"almondstile/catalog"
	"almondstile/contract"
	"almondstile/evidence"
	"almondstile/placement"
	"almondstile/tally"
)

// ReportServices sets the gauges that show what part of each service's requests is not
// served, and how many of its servers are unused.
func (d *Dispatcher) ReportServices(gauge func(name string, value int64)) {
	view, now := d.deps.Source.View(), d.deps.Clock()
	for service := range view.ByService {
		unserved, turnedAway := d.unservedShare(now, service)
		candidates := d.knownServers(now, view, service)
		prefix := "service." + string(service)
		gauge(prefix+".turned_away_permille", permille(turnedAway))
		gauge(prefix+".unserved_permille", permille(unserved))
		gauge(prefix+".servers", int64(len(candidates)))
		gauge(prefix+".unused_servers", int64(placement.CountUnused(candidates)))
	}
}

// permille returns a share (0 to 1) in thousandths.
func permille(share float64) int64 { return int64(1000 * share) }

// unservedShare returns the share (0 to 1) of a service's recent requests that were not served,
// and the share of those that the VMs turned away.
func (d *Dispatcher) unservedShare(now time.Time, service contract.ServiceID) (unserved, turnedAway float64) {
	return d.deps.ReplicatedState.Services.UnservedShare(now, tally.SubjectOf(tally.Service, string(service)))
}

// knownServers returns the statistics of the servers of a service that accept new requests.
func (d *Dispatcher) knownServers(now time.Time, view *catalog.View, service contract.ServiceID) []placement.Candidate {
	var out []placement.Candidate
	for _, r := range view.ByService[service] {
		if !view.AcceptsNewRequests(r) {
			continue
		}
		s := selection{server: r, state: d.deps.ReplicatedState.Servers.State(now, evidence.ServerSubject(r.Server.ID))}
		out = append(out, d.candidate(&s, nil))
	}
	return out
}
