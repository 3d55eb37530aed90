package operator

import (
	"testing"

	"almondstile/backend"
)

// Guards against showing a server as serving although one of its facts says
// otherwise, and against showing another state without a reason. Also checks
// which states count as healthy.
func TestServerStateAndReason(t *testing.T) {
	serving := ServerFacts{AcceptsNewRequests: true, HasOwner: true, Reported: true, State: backend.ServerState{Warm: true}}
	for want, change := range map[ServerState]func(*ServerFacts){
		ServerServing:     func(*ServerFacts) {},
		ServerLowWeight:   func(f *ServerFacts) { f.State.LowWeight = true },
		ServerCold:        func(f *ServerFacts) { f.State.Warm = false },
		ServerProbing:     func(f *ServerFacts) { f.State.Probing, f.State.Warm = true, false },
		ServerEjected:     func(f *ServerFacts) { f.State.Ejected = true },
		ServerLeaving:     func(f *ServerFacts) { f.Leaving, f.AcceptsNewRequests = true, false },
		ServerZoneOut:     func(f *ServerFacts) { f.AcceptsNewRequests = false },
		ServerUnreachable: func(f *ServerFacts) { f.OwnerFailed = true },
		ServerUnknown:     func(f *ServerFacts) { f.Reported = false },
	} {
		f := serving
		change(&f)
		if state, why := f.Classify(); state != want || (why == "") != (want == ServerServing) {
			t.Errorf("%+v: got state %s with reason %q, want %s", f, state, why, want)
		}
		healthy := want == ServerServing || want == ServerLowWeight || want == ServerUnreachable
		if f.Healthy() != healthy {
			t.Errorf("%s: healthy is %v, want %v", want, f.Healthy(), healthy)
		}
	}
}
