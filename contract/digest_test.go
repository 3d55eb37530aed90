package contract

import (
	"testing"

	"almondstile/zone"
)

// Guards against VMs that take one configuration for two: one has applied all
// changes, and one has started from a snapshot in between. Lists that have become
// empty are the case in which their encodings could differ.
func TestDigestIsTheSameAfterASnapshot(t *testing.T) {
	applied, restarted := &Configuration{}, &Configuration{}
	intents := []Intent{
		NewIntent(SetZone{ID: zone.ID("a"), Region: "r"}),
		NewIntent(SetTeam{Team: Team{ID: "t", Weight: 1, RatePerSecond: 0.1, Burst: 1}}),
		NewIntent(RemoveTeam{ID: "t"}),
		NewIntent(SetZone{ID: zone.ID("b"), Region: "<&>"}),
	}
	for i, intent := range intents {
		var err error
		if applied, err = Apply(applied, intent); err != nil {
			t.Fatal(err)
		}
		if restarted, err = Apply(restarted, intent); err != nil {
			t.Fatal(err)
		}
		snapshot, err := EncodeSnapshot(restarted)
		if err != nil {
			t.Fatal(err)
		}
		if restarted, err = DecodeSnapshot(snapshot); err != nil {
			t.Fatal(err)
		}
		want, errWant := Digest(applied)
		got, errGot := Digest(restarted)
		if got != want || errWant != nil || errGot != nil {
			t.Errorf("after change %d the digests differ: %s and %s (%v, %v)", i, got, want, errGot, errWant)
		}
	}
}
