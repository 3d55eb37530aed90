// Package claim prevents a non-idempotent request with an Idempotency-Key header
// from being executed twice when its caller retries it.
//
// Before the first dispatch, the entry VM (the VM that accepted the request)
// writes the row claim/<team>/<hash of the key> to the platform's table. The write
// succeeds only if the row does not exist or was released. When the request has
// finished, its response, or the fact that its outcome is unknown, is written to
// the row.
//
// A claim is released by changing the row's state, not by deleting the row. The
// version of the row thereby keeps growing. After a deletion the versions would
// start again, and a delayed write for the old claim could match the version of a
// later claim.
//
// States of a row, and what a later request with the same key gets:
//
//	open      in progress; after the first request's deadline: outcome unknown
//	unknown   outcome unknown
//	done      the recorded response
//	released  the claim, because the first request was certainly not executed
//
// If the table's replies don't show whether this VM holds the claim, the request
// is rejected as not executed. That is correct because a request is dispatched
// only after it holds its claim.
//
// Each transaction that creates claims also writes a row to the claim log, under
// the minute of the creation. The expiry reads this log minute by minute and
// deletes claims that are older than Retention.
package claim
