package httpconn

import (
	"bufio"
	"bytes"
	"slices"
	"strconv"
	"strings"
	"testing"

	_ "almondstile/standin/seeded"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// testResponses returns all malformed and sound responses of the tests, sorted.
func testResponses() []string {
	var all []string
	for _, responses := range malformedResponses {
		for _, raw := range responses {
			all = append(all, raw)
		}
	}
	for _, raw := range soundResponses {
		all = append(all, raw)
	}
	slices.Sort(all)
	return all
}

// scanInPieces returns what a scanner says of b if it arrives in pieces of the given size.
func scanInPieces(b []byte, size int) (s headScanner, complete bool, violation Violation) {
	for end := min(size, len(b)); ; end = min(end+size, len(b)) {
		complete, err := s.scan(b[:end])
		if complete || err != nil || end == len(b) {
			return s, complete, ViolationOf(err)
		}
	}
}

// checkScan checks that the result for b does not depend on how b arrives, and that the
// HTTP library reads a head that passes the checks as the lines say: it ends where the
// checks saw its end, has the status of the first line, and has no field that is not there.
func checkScan(t interface{ Fatalf(string, ...any) }, b []byte) {
	whole, complete, violation := scanInPieces(b, len(b)+1)
	for _, size := range []int{1, 2, 7} {
		pieces, c, v := scanInPieces(b, size)
		if c != complete || v != violation || complete && pieces != whole {
			t.Fatalf("%q: got %v, %q at once and %v, %q in pieces of %d bytes", b, complete, violation, c, v, size)
		}
	}
	if !complete {
		return
	}
	r := bufio.NewReaderSize(bytes.NewReader(b), max(len(b), 16))
	var h fasthttp.ResponseHeader
	if h.Read(r) != nil {
		return // the library rejects it
	}
	head := b[:whole.checked]
	if rest := len(b) - whole.checked; r.Buffered() != rest {
		t.Fatalf("%q: the library leaves %d bytes behind the head, want %d", b, r.Buffered(), rest)
	}
	if status := string(head[len("HTTP/1.1 "):][:statusCodeBytes]); strconv.Itoa(h.StatusCode()) != status {
		t.Fatalf("%q: the library reads status %d", b, h.StatusCode())
	}
	for name := range h.All() {
		addedByLibrary := string(name) == "Content-Type" || string(name) == "Content-Length" || string(name) == "Connection"
		if !addedByLibrary && !strings.Contains(strings.ToLower(string(head)), "\r\n"+strings.ToLower(string(name))+":") {
			t.Fatalf("%q: the library returns a field %q", b, name)
		}
	}
}

// Guards against a head of which the checks and the HTTP library have different views, so
// that a part of it is taken for body.
func TestChecksAndLibraryAgree(t *testing.T) {
	responses := testResponses()
	rapid.Check(t, func(t *rapid.T) {
		b := []byte(rapid.SampledFrom(responses).Draw(t, "response"))
		for range rapid.IntRange(0, 3).Draw(t, "changes") {
			at := rapid.IntRange(0, len(b)).Draw(t, "at")
			inserted := rapid.SampledFrom([]string{"", " ", "\t", "\r", "\n", "\r\n", ":", ",", "\x00", "\x7f", "\x80", "0", "a"}).Draw(t, "inserted")
			end := min(at+rapid.IntRange(0, 2).Draw(t, "removed"), len(b))
			b = slices.Concat(b[:at], []byte(inserted), b[end:])
		}
		checkScan(t, b)
	})
}

func FuzzHead(f *testing.F) {
	for _, raw := range testResponses() {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, b []byte) { checkScan(t, b) })
}
