package httpconn

import (
	"bytes"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
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
	// ViolationLineFolding is a line that begins with a blank or a tab: the continuation
	// of the line before it, or white space in front of the first field (RFC 9112,
	// sections 2.2 and 5.2).
	ViolationLineFolding Violation = "line_folding"
	// ViolationFieldName is a line without a colon, or with a field name that is no token.
	// A blank between name and colon counts as a part of the name (RFC 9112, section 5.1).
	ViolationFieldName Violation = "field_name"
	// ViolationFieldValue is a field value with a control character other than a tab (RFC
	// 9110, section 5.5).
	ViolationFieldValue Violation = "field_value"
	// ViolationFraming is a head that says in two ways where the body ends, or that
	// announces a body where HTTP allows none (RFC 9112, section 6).
	ViolationFraming Violation = "framing"
	// ViolationCodec is an error that only the HTTP library finds.
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

// ViolationOf returns the check that a response failed because of which Pool.Do returned
// err, or "" if that is not the reason.
func ViolationOf(err error) Violation {
	var failed *violationError
	if errors.As(err, &failed) {
		return failed.violation
	}
	return ""
}

// headScanner checks the head of a response, or its trailer. The HTTP library accepts more than HTTP
// allows and interprets it in its own way, so that what it returns does not show any
// more what the server sent.
type headScanner struct {
	// checked is the number of bytes from the start of the head that were checked.
	checked int
	framing framing
	// interim says that the status is one of an interim response (1xx).
	interim bool
	// trailer says that the lines are those of a trailer, which has no status line.
	trailer bool
}

// framing holds what the lines of a head say of the end of the body.
type framing struct {
	// http10 says that the version is HTTP/1.0, which has no transfer codings.
	http10 bool
	// noBody says that responses with this status have no body.
	noBody bool
	// length says that there is a Content-Length, and nonzero that it is not "0".
	length, nonzero bool
	// coded says that there is a Transfer-Encoding.
	coded bool
}

// addField adds what a field of the head says.
func (f *framing) addField(name, value []byte) {
	switch {
	case bytes.EqualFold(name, contentLength):
		f.length = true
		f.nonzero = string(bytes.Trim(value, " \t")) != "0"
	case bytes.EqualFold(name, transferEncoding):
		f.coded = true
	}
}

// check returns an error if the fields contradict each other, the version or the status.
// The HTTP library checks the values of the fields.
func (f *framing) check() error {
	switch {
	case f.coded && f.length:
		return newViolation(ViolationFraming, "both Transfer-Encoding and Content-Length")
	case f.coded && f.http10:
		return newViolation(ViolationFraming, "a Transfer-Encoding in HTTP/1.0")
	case f.noBody && (f.coded || f.nonzero):
		return newViolation(ViolationFraming, "a body for a status that has none")
	}
	return nil
}

// scan checks the complete lines of b that it has not checked before. b holds what was
// received from the start of the head on. complete says that b contains the whole head;
// its size is then s.checked.
func (s *headScanner) scan(b []byte) (complete bool, err error) {
	for {
		size := bytes.IndexByte(b[s.checked:], '\n') + 1
		if size == 0 {
			return false, nil
		}
		line, ok := bytes.CutSuffix(b[s.checked:s.checked+size], crlf)
		if !ok {
			return false, newViolation(ViolationLineBreak, "%.*q", maxQuotedBytes, line)
		}
		isStatusLine := s.checked == 0 && !s.trailer
		s.checked += size
		switch {
		case isStatusLine:
			err = s.checkStatusLine(line)
		case len(line) == 0:
			return true, s.framing.check()
		default:
			err = s.checkFieldLine(line)
		}
		if err != nil {
			return false, err
		}
	}
}

// Parts of the lines of a head.
var (
	crlf             = []byte("\r\n")
	blank            = []byte(" ")
	colon            = []byte(":")
	contentLength    = []byte(fasthttp.HeaderContentLength)
	transferEncoding = []byte(fasthttp.HeaderTransferEncoding)
)

// statusCodeBytes is the length of a status code.
const statusCodeBytes = 3

// checkStatusLine checks the first line of a head. The blank between the status code and
// an empty reason phrase may be missing.
func (s *headScanner) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, blank)
	if string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" {
		return newViolation(ViolationVersion, "the response starts with %.*q", maxQuotedBytes, line)
	}
	code, reason, _ := bytes.Cut(rest, blank)
	if !isStatusCode(code) || !httpguts.ValidHeaderFieldValue(string(reason)) {
		return newViolation(ViolationStatusLine, "%.*q", maxQuotedBytes, line)
	}
	switch {
	case code[0] < '1' || code[0] > '5':
		return newViolation(ViolationStatusCode, "status %s", code)
	case string(code) == "101":
		return newViolation(ViolationProtocolSwitch, "status %s", code)
	}
	s.framing.http10 = string(version) == "HTTP/1.0"
	s.interim = code[0] == '1'
	s.framing.noBody = s.interim || string(code) == "204"
	return nil
}

// isStatusCode reports whether b consists of three digits.
func isStatusCode(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) == statusCodeBytes
}

// checkFieldLine checks a line of a head after the first one.
func (s *headScanner) checkFieldLine(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		return newViolation(ViolationLineFolding, "%.*q", maxQuotedBytes, line)
	}
	name, value, found := bytes.Cut(line, colon)
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return newViolation(ViolationFieldName, "%.*q", maxQuotedBytes, line)
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return newViolation(ViolationFieldValue, "field %s", name)
	}
	s.framing.addField(name, value)
	return nil
}
