package history

import (
	"testing"

	_ "almondstile/standin/seeded" // fixes the seed of the property test

	"pgregory.net/rapid"
)

func position() *rapid.Generator[Position] {
	return rapid.Custom(func(t *rapid.T) Position {
		small := rapid.Uint64Range(0, 3)
		return Position{Era: Era{Stated: small.Draw(t, "stated"), Found: small.Draw(t, "found")}, Version: small.Draw(t, "version")}
	})
}

// Guards against an order of positions that depends on the way in which they are compared,
// with which two VMs would each take the other one's copy for older.
func TestPositionsHaveOneOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := position().Draw(t, "a"), position().Draw(t, "b"), position().Draw(t, "c")
		if a.Before(b) && b.Before(a) {
			t.Fatalf("%v and %v are before each other", a, b)
		}
		if a != b && !a.Before(b) && !b.Before(a) {
			t.Fatalf("%v and %v differ and neither is before the other", a, b)
		}
		if a.Before(b) && b.Before(c) && !a.Before(c) {
			t.Fatalf("%v is before %v, that before %v, but not the first before the last", a, b, c)
		}
	})
}

// Guards against versions of different eras being compared.
func TestEraGoesBeforeVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := position().Draw(t, "p")
		version := rapid.Uint64().Draw(t, "version")
		for _, later := range []Era{p.Era.Next(), {Stated: p.Era.Stated + 1}} {
			if !p.Before(Position{Era: later, Version: version}) {
				t.Fatalf("%v is not before version %d of the era %v", p, version, later)
			}
		}
	})
}
