package daemon

import (
	"testing"

	"almondstile/store"
)

// Guards against a VM that misses its removal, and against a restarted VM that
// shuts down because the lagging list still shows the process before it.
func TestLeavingIsBelievedOnlyAfterLive(t *testing.T) {
	live := []store.ListedVM{{ID: "other", Leaving: true}, {ID: "vm1"}}
	leaving := []store.ListedVM{{ID: "other"}, {ID: "vm1", Leaving: true}}
	for name, c := range map[string]struct {
		lists [][]store.ListedVM
		want  bool
	}{
		"announced":               {[][]store.ListedVM{live, leaving}, true},
		"left over from before":   {[][]store.ListedVM{leaving, leaving}, false},
		"left over, then removed": {[][]store.ListedVM{leaving, live, leaving}, true},
		"not listed":              {[][]store.ListedVM{nil, {{ID: "other", Leaving: true}}}, false},
	} {
		var a announcement
		got := false
		for _, list := range c.lists {
			got = a.observe(list, "vm1")
		}
		if got != c.want {
			t.Errorf("%s: leaves: %v, want %v", name, got, c.want)
		}
	}
}
