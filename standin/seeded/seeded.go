// Package seeded gives property tests a fixed seed, so that a run of the tests
// has one verdict. Tests import it for its effect. Another seed is set on the
// command line of one package's tests: go test ./quota -rapid.seed=2.
package seeded

import (
	"flag"
	"strconv"

	// Registers the flag that is set below.
	_ "pgregory.net/rapid"
)

// defaultSeed is any number but 0, which stands for a new seed in each run.
const defaultSeed = 1

func init() {
	if err := flag.Set("rapid.seed", strconv.Itoa(defaultSeed)); err != nil {
		panic("seeded: rapid has no flag for its seed: " + err.Error())
	}
}
