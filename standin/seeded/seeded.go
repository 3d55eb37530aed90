// Package seeded sets a fixed seed for the property tests that use rapid, so that
// each run of the tests has the same result. Tests import it for its side effect.
// A flag on the command line of a package's tests sets another seed:
// go test ./quota -rapid.seed=2.
package seeded

import (
	"flag"
	"strconv"

	// Registers the flag rapid.seed, which init sets.
	_ "pgregory.net/rapid"
)

// defaultSeed can be any number except 0. With seed 0, rapid chooses a new seed
// for each run.
const defaultSeed = 1

func init() {
	if err := flag.Set("rapid.seed", strconv.Itoa(defaultSeed)); err != nil {
		panic("seeded: set flag rapid.seed: " + err.Error())
	}
}
