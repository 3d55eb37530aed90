package httpconn

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Violation names the check of RFC 9110 or RFC 9112 that a response fails. The names are
// used in log lines and metrics.
type Violation string

// The checks of a response's head.
const (
	// ViolationStatusLine is a first line that is no status line, or a reason phrase with
	// control characters (RFC 9112, section 4).
	ViolationStatusLine Violation = "status_line"
	// ViolationVersion is a version other than HTTP/1.1 and HTTP/1.0. A request asks for
	// HTTP/1.1.
	ViolationVersion Violation = "version"
	// ViolationStatusCode is a status code outside 100 to 599 (RFC 9110, section 15).
	ViolationStatusCode Violation = "status_code"
	// ViolationProtocolSwitch is a response with status 101. No request asks to change the
	// protocol of its connection (RFC 9110, section 15.2.2).
	ViolationProtocolSwitch Violation = "protocol_switch"
	// ViolationLineBreak is a line that ends with a line feed alone. A reader may take it
	// for the end of a line or for a part of one, so the end of the head is in doubt (RFC
	// 9112, section 2.2).
	ViolationLineBreak Violation = "line_break"
	// ViolationLineFolding is a line that begins with a space or a tab: the continuation
	// of the line before it, or white space in front of the first field (RFC 9112,
	// sections 2.2 and 5.2).
	ViolationLineFolding Violation = "line_folding"
	// ViolationFieldName is a line without a colon, or with a field name that is no token.
	// A space between name and colon counts as a part of the name (RFC 9112, section 5.1).
	ViolationFieldName Violation = "field_name"
	// ViolationFieldValue is a field value with a control character other than a tab (RFC
	// 9110, section 5.5).
	ViolationFieldValue Violation = "field_value"
	// ViolationFraming is a head that says in two ways where the body ends, or that
	// announces a body where HTTP allows none (RFC 9112, section 6), or a trailer that says
	// where the body ends.
	ViolationFraming Violation = "framing"
	// ViolationCodec is an error that only the HTTP library finds: a length that is no
	// number or is there twice, or a coding other than chunked.
	ViolationCodec Violation = "codec"
)

// maxQuotedBytes is how much of a line an error quotes.
const maxQuotedBytes = 64

// violationError is the error of a response that fails a check.
type violationError struct {
	violation Violation
	detail    string
}

// Error implements error.
func (e *violationError) Error() string {
	return fmt.Sprintf("httpconn: the response fails the check %s: %s", e.violation, e.detail)
}

// newViolation returns an error of a response that fails a check.
func newViolation(violation Violation, format string, args ...any) error {
	return &violationError{violation, fmt.Sprintf(format, args...)}
}

// ViolationOf returns the check that failed if err is the error of a response that fails
// a check, and "" otherwise.
func ViolationOf(err error) Violation {
	var failed *violationError
	if errors.As(err, &failed) {
		return failed.violation
	}
	return ""
}
