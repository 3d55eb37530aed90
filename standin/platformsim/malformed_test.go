package platformsim_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"almondstile/standin/rawserver"
	"almondstile/store"
	"almondstile/store/s3"
	"almondstile/store/vmlist"

	"github.com/cockroachdb/errors"
)

// startRawService starts a service that responds to each request with a head and a body
// and closes the connection, so that a body without a length ends.
// The head has no line break at its end.
func startRawService(t *testing.T, head, body string) (url string) {
	t.Helper()
	server, err := rawserver.StartClosing(rawserver.Always(fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return "http://" + server.Address()
}

// malformedHeads are heads that HTTP does not allow.
var malformedHeads = map[string]string{
	"status 000":            "HTTP/1.1 000 OK",
	"status 999":            "HTTP/1.1 999 OK",
	"HTTP/2.0":              "HTTP/2.0 200 OK",
	"space in a name":       "HTTP/1.1 200 OK\r\nX-No te: a",
	"control in a name":     "HTTP/1.1 200 OK\r\nX-No\x01te: a",
	"space before a colon":  "HTTP/1.1 200 OK\r\nX-Note : a",
	"folded line":           "HTTP/1.1 200 OK\r\nX-Note: a\r\n b",
	"LF in front of a name": "HTTP/1.1 200 OK\r\n\nX-Note: a",
}

// Guards against a malformed response of the platform's services that acknowledges a
// write, states that a write was not done, or counts as the value read.
func TestMalformedResponsesOfServices(t *testing.T) {
	for name, head := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			if err := tableAt(startRawService(t, head, "{}")).Transact(ctx, []store.Write{put("a", absent)}); !errors.Is(err, store.ErrUnknownOutcome) {
				t.Errorf("transaction: got error %v, want ErrUnknownOutcome", err)
			}
			if _, err := tableAt(startRawService(t, head, "{}")).Get(ctx, "a"); !errors.Is(err, store.ErrNotDone) {
				t.Errorf("read of a row: got error %v, want ErrNotDone", err)
			}
			objects := s3.New(s3.Options{Endpoint: startRawService(t, head, ""), Region: "local", Bucket: "b", AccessKey: clientID, SecretKey: "s"})
			if err := objects.Put(ctx, "a", []byte("v")); !errors.Is(err, store.ErrUnknownOutcome) {
				t.Errorf("write of an object: got error %v, want ErrUnknownOutcome", err)
			}
			if got, err := objects.Get(ctx, "a"); !errors.Is(err, store.ErrNotDone) {
				t.Errorf("read of an object: got %q, error %v, want ErrNotDone", got, err)
			}
			if got, err := vmlist.New(vmlist.Options{URL: startRawService(t, head, "[]")}).List(ctx); !errors.Is(err, store.ErrNotDone) {
				t.Errorf("VM list: got %v, error %v, want ErrNotDone", got, err)
			}
		})
	}
}
