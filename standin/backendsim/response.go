package backendsim

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// response is what a server sends.
type response struct {
	status    int
	requestID string
	instance  string
	notRun    bool
	closing   bool
	body      []byte
}

// Answer returns the body that a healthy server sends for an operation, so
// that a caller can tell a wrong or partial response from its own.
func Answer(operationID string, size int) []byte {
	sum := sha256.Sum256([]byte(operationID))
	text := operationID + " " + hex.EncodeToString(sum[:]) + "\n"
	return []byte(strings.Repeat(text, size/len(text)+1))
}

// head returns the status line and headers without the framing header.
func (r response) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", r.status, http.StatusText(r.status))
	b.WriteString("Content-Type: text/plain\r\n")
	fmt.Fprintf(&b, "%s: %s\r\n", HeaderInstance, r.instance)
	if r.requestID != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", HeaderRequestID, r.requestID)
	}
	if r.notRun {
		fmt.Fprintf(&b, "%s: true\r\n", HeaderNotRun)
	}
	if r.closing {
		b.WriteString("Connection: close\r\n")
	}
	return b.String()
}

// writeTo sends the whole response.
func (r response) writeTo(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", r.head(), len(r.body), r.body)
	return err
}

// writeTruncated sends a response that ends too early.
func (r response) writeTruncated(w io.Writer, chunked bool) error {
	half := r.body[:len(r.body)/2]
	if chunked {
		_, err := fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", r.head(), len(half), half)
		return err
	}
	_, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", r.head(), len(r.body), half)
	return err
}
