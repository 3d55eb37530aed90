package daemon

import (
	"testing"

	"almondstile/platform"
)

// Guards against a VM that misses its removal, and against a restarted VM that
// shuts down because the lagging list still shows the process before it.
func TestLeavingIsBelievedOnlyAfterLive(t *testing.T) {
	live := []platform.ListedVM{{ID: "other", Leaving: true}, {ID: "vm1"}}
	leaving := []platform.ListedVM{{ID: "other"}, {ID: "vm1", Leaving: true}}
	for name, c := range map[string]struct {
		lists [][]platform.ListedVM
		want  bool
	}{
		"announced":               {[][]platform.ListedVM{live, leaving}, true},
		"left over from before":   {[][]platform.ListedVM{leaving, leaving}, false},
		"left over, then removed": {[][]platform.ListedVM{leaving, live, leaving}, true},
		"not listed":              {[][]platform.ListedVM{nil, {{ID: "other", Leaving: true}}}, false},
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
