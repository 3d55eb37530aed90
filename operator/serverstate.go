package operator

import "almondstile/backend"

// ServerState says whether a backend server takes new work.
type ServerState string

// The states of a backend server.
const (
	ServerServing     ServerState = "serving"
	ServerLowWeight   ServerState = "low-weight"
	ServerCold        ServerState = "cold"
	ServerProbing     ServerState = "probing"
	ServerEjected     ServerState = "ejected"
	ServerLeaving     ServerState = "leaving"
	ServerZoneOut     ServerState = "zone-out"
	ServerUnreachable ServerState = "unreachable"
	ServerUnknown     ServerState = "unknown"
)

// ServerFacts is what one VM knows of a backend server.
type ServerFacts struct {
	Leaving, AcceptsNewRequests bool
	// HasOwner says that a VM of the member list owns the server, and
	// OwnerFailed that the owner did not answer this VM's last call.
	HasOwner, OwnerFailed bool
	// Reported says that State came from the service's home.
	Reported bool
	State    backend.ServerState
}

// Judge returns the server's state and the reason if it is not serving. What
// operators decided comes first, then what makes the report doubtful.
func (f *ServerFacts) Judge() (state ServerState, why string) {
	switch {
	case f.Leaving:
		return ServerLeaving, "an operator takes it out of service"
	case !f.AcceptsNewRequests:
		return ServerZoneOut, "its availability zone is out"
	case !f.HasOwner:
		return ServerUnreachable, "no VM owns it"
	case f.OwnerFailed:
		return ServerUnreachable, "its owner did not answer this VM's last call"
	case !f.Reported:
		return ServerUnknown, "no report of its service has reached this VM"
	case f.State.Ejected:
		return ServerEjected, "it serves worse than the others of its service"
	case f.State.Probing:
		return ServerProbing, "it returns from an ejection, one request at a time"
	case !f.State.Warm:
		return ServerCold, "it starts cold and gets a limited number of requests"
	case f.State.LowWeight:
		return ServerLowWeight, "it serves badly, but the floor keeps it in service"
	}
	return ServerServing, ""
}

// Healthy reports whether the server's slots count for the floor: it takes new
// work, is warm and not ejected. Servers with low weight count.
func (f *ServerFacts) Healthy() bool {
	s := &f.State
	return f.AcceptsNewRequests && f.Reported && s.Warm && !s.Ejected && !s.Probing
}
