// Package claim keeps a non-idempotent request that carries an Idempotency-Key
// from running twice when its caller sends it again.
//
// Before the first dispatch, the entry VM writes the row claim/<team>/<hash of
// the key> to the platform's table, on condition that there is none. Afterwards
// the row holds the response, or that the outcome is unknown. A row is never
// deleted to release it: it is marked as released, so that its version keeps
// growing and a delayed write cannot hit a later claim with the same version.
//
// States of a row and what a later request with the same key gets:
//
//	open      in progress, then outcome unknown once the deadline has passed
//	unknown   outcome unknown
//	done      the recorded response
//	released  may claim the row: the request certainly did not run
//
// Whenever the table leaves it open whether this VM holds the claim, the
// request is rejected as not run, which is true because nothing was dispatched.
package claim
