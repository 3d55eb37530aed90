package daemon

import (
	"testing"

	"almondstile/store"
)

// Guards against a VM that misses the announcement of its removal. Also guards
// against a restarted VM that shuts down at once: the VM list lags and can still
// show the earlier process with the same ID as leaving.
func TestVMLeavesOnlyAfterItWasListedAsLive(t *testing.T) {
	live := []store.ListedVM{{ID: "other", Leaving: true}, {ID: "vm1"}}
	leaving := []store.ListedVM{{ID: "other"}, {ID: "vm1", Leaving: true}}
	for name, c := range map[string]struct {
		lists [][]store.ListedVM
		want  bool
	}{
		"announced":                           {[][]store.ListedVM{live, leaving}, true},
		"leaving entry of an earlier process": {[][]store.ListedVM{leaving, leaving}, false},
		"leaving entry of an earlier process, then announced": {[][]store.ListedVM{leaving, live, leaving}, true},
		"not listed": {[][]store.ListedVM{nil, {{ID: "other", Leaving: true}}}, false},
	} {
		var a departureDetector
		got := false
		for _, list := range c.lists {
			got = a.observe(list, "vm1")
		}
		if got != c.want {
			t.Errorf("%s: the VM leaves: %v, want %v", name, got, c.want)
		}
	}
}
