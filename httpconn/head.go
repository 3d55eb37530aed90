package httpconn

import (
	"bytes"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// headScanner checks the head of a response, or its trailer, line by line as it arrives.
// The HTTP library accepts more than HTTP allows and repairs it silently, so that its
// result no longer shows what the server sent.
//
// Where RFC 9110 and RFC 9112 allow a reader to repair a response or to reject it, the
// scanner rejects it: no repair can then pass bytes on that the server did not mean as
// its body.
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

// checkTrailer returns an error if a trailer has fields that are allowed only in a head
// (RFC 9110, section 6.5.1).
func (f *framing) checkTrailer() error {
	if f.coded || f.length {
		return newViolation(ViolationFraming, "a trailer that says where the body ends")
	}
	return nil
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

// scan checks the complete lines of b that it has not checked before. b holds all bytes
// received since the start of the head. If complete is true, b contains the whole head,
// and its size is s.checked.
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
		case len(line) == 0 && s.trailer:
			return true, s.framing.checkTrailer()
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
	space            = []byte(" ")
	colon            = []byte(":")
	contentLength    = []byte(fasthttp.HeaderContentLength)
	transferEncoding = []byte(fasthttp.HeaderTransferEncoding)
)

// statusCodeBytes is the length of a status code.
const statusCodeBytes = 3

// checkStatusLine checks the first line of a head. The space between the status code and
// an empty reason phrase may be missing.
func (s *headScanner) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, space)
	if string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" {
		return newViolation(ViolationVersion, "the response starts with %.*q", maxQuotedBytes, line)
	}
	code, reason, _ := bytes.Cut(rest, space)
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
		return newViolation(ViolationFieldName, "%.*q", maxQuotedBytes, name)
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return newViolation(ViolationFieldValue, "field %s", name)
	}
	s.framing.addField(name, value)
	return nil
}
