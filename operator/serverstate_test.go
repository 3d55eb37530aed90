package operator

import (
	"testing"

	"almondstile/backend"
)

// Guards against servers that show as serving although something is wrong with
// them, and against a state without its reason.
func TestJudgeServer(t *testing.T) {
	good := ServerFacts{AcceptsNewRequests: true, HasOwner: true, Reported: true, State: backend.ServerState{Warm: true}}
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
		f := good
		change(&f)
		if state, why := f.Judge(); state != want || (why == "") != (want == ServerServing) {
			t.Errorf("%+v is %s, %q, want %s", f, state, why, want)
		}
		healthy := want == ServerServing || want == ServerLowWeight || want == ServerUnreachable
		if f.Healthy() != healthy {
			t.Errorf("%s: healthy is %v, want %v", want, f.Healthy(), healthy)
		}
	}
}
