package operator

import "almondstile/backend"

// ServerState is the state of a backend server as operators see it. Servers that
// accept new requests without any restriction are ServerServing.
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

// ServerFacts is the information that one VM has about a backend server.
type ServerFacts struct {
	// Leaving means that an operator takes the server out of service.
	// AcceptsNewRequests is false for leaving servers and in a zone that is out.
	Leaving, AcceptsNewRequests bool
	// HasOwner means that a VM of the member list owns the server. OwnerFailed
	// means that the owner did not answer this VM's last call.
	HasOwner, OwnerFailed bool
	// Reported means that State was received from the service's home.
	Reported bool
	State    backend.ServerState
}

// Classify returns the server's state and, if it is not ServerServing, the reason.
// Decisions of operators take precedence. Conditions that make the service home's
// report unreliable or missing come second, and the report itself comes last.
func (f *ServerFacts) Classify() (state ServerState, why string) {
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

// Healthy reports whether the server's slots count toward the floor. They count
// if the server accepts new requests, is warm, and is neither ejected nor
// probing. Servers with low weight count.
func (f *ServerFacts) Healthy() bool {
	s := &f.State
	return f.AcceptsNewRequests && f.Reported && s.Warm && !s.Ejected && !s.Probing
}
