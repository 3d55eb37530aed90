package backendsim

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// response is the content of an HTTP response.
type response struct {
	status          int
	requestID       string
	instance        string
	notExecuted     bool
	closeConnection bool
	body            []byte
}

// Answer returns the response body that a healthy server sends for an operation.
// The body repeats the operation ID and its SHA-256 sum and has at least size
// bytes. A caller compares it with the body it received to detect a truncated
// response or one that belongs to another request.
func Answer(operationID string, size int) []byte {
	sum := sha256.Sum256([]byte(operationID))
	text := operationID + " " + hex.EncodeToString(sum[:]) + "\n"
	return []byte(strings.Repeat(text, size/len(text)+1))
}

// headers returns the status line and the headers, except Content-Length and
// Transfer-Encoding.
func (r response) headers() string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", r.status, http.StatusText(r.status))
	b.WriteString("Content-Type: text/plain\r\n")
	fmt.Fprintf(&b, "%s: %s\r\n", HeaderInstance, r.instance)
	if r.requestID != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", HeaderRequestID, r.requestID)
	}
	if r.notExecuted {
		fmt.Fprintf(&b, "%s: true\r\n", HeaderNotExecuted)
	}
	if r.closeConnection {
		b.WriteString("Connection: close\r\n")
	}
	return b.String()
}

// writeTo writes the complete response.
func (r response) writeTo(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", r.headers(), len(r.body), r.body)
	return err
}

// writeTruncated writes a response with half of its body. With chunked, the
// terminating chunk is missing. Otherwise Content-Length gives the length of the
// whole body.
func (r response) writeTruncated(w io.Writer, chunked bool) error {
	half := r.body[:len(r.body)/2]
	if chunked {
		_, err := fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", r.headers(), len(half), half)
		return err
	}
	_, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", r.headers(), len(r.body), half)
	return err
}
