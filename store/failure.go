package store

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Failure holds what a client library reports about the response to a failed call.
type Failure struct {
	// Status is the HTTP status, or 0 if no complete response was received.
	Status int
	// Code is the service's error code in the response body, or "" if there is none.
	Code string
}

// throttleCodes holds error codes that services send with a 5xx status although the
// call was certainly not done.
var throttleCodes = map[string]bool{"SlowDown": true, "ThrottlingException": true}

// missingCode is the code that the AWS library reports if the response body contains
// none. Such a response may come from a proxy between the VM and the service, so it
// does not show whether the call was done.
const missingCode = "UnknownError"

// ClassifyWrite marks the error of a failed write with ErrNotDone or
// ErrUnknownOutcome. A write counts as not done only in three cases: the service
// refused it with a 4xx status other than 408 and an error code, the error code is in
// throttleCodes, or no connection could be made.
func ClassifyWrite(err error, failure Failure) error {
	hasServiceCode := failure.Code != "" && failure.Code != missingCode
	if failure.Status/100 == 4 && failure.Status != http.StatusRequestTimeout && hasServiceCode {
		return errors.Mark(errors.Wrapf(err, "the service refused the write with code %s", failure.Code), ErrNotDone)
	}
	if throttleCodes[failure.Code] || dialFailed(err) {
		return errors.Mark(err, ErrNotDone)
	}
	return errors.Mark(err, ErrUnknownOutcome)
}

// ClassifyRead marks the error of a failed read with ErrNotDone, because a read
// never has an effect.
func ClassifyRead(err error) error { return errors.Mark(err, ErrNotDone) }

// dialFailed reports whether the connection to the service could not be made, so
// that no byte of the request was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
