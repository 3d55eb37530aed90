package store

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Failure is what a client library knows about a call that failed.
type Failure struct {
	// Status is the HTTP status of a complete response, or 0.
	Status int
	// Code is the service's own error code in that response, or "".
	Code string
}

// throttleCodes are refusals that services send with a 5xx status although
// they state that the call was not done.
var throttleCodes = map[string]bool{"SlowDown": true, "ThrottlingException": true}

// unknownCode is what the AWS library reports for a response whose body names
// no code; it may come from a middlebox and states nothing about the call.
const unknownCode = "UnknownError"

// ClassifyWrite derives the error of a failed write. Only a refusal that the
// service states, or a connection that was never made, counts as not done.
func ClassifyWrite(err error, f Failure) error {
	stated := f.Code != "" && f.Code != unknownCode
	if f.Status/100 == 4 && f.Status != http.StatusRequestTimeout && stated {
		return errors.Mark(errors.Wrapf(err, "refused with %s", f.Code), ErrNotDone)
	}
	if throttleCodes[f.Code] || neverConnected(err) {
		return errors.Mark(err, ErrNotDone)
	}
	return errors.Mark(err, ErrUnknownOutcome)
}

// ClassifyRead derives the error of a failed read, which never has an effect.
func ClassifyRead(err error) error { return errors.Mark(err, ErrNotDone) }

func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
