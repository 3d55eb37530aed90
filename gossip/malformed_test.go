package gossip

import (
	"context"
	"fmt"
	"testing"
	"time"

	"almondstile/httpconn"
	"almondstile/standin/rawserver"

	"github.com/cockroachdb/errors"
)

// Guards against a response to a pull that counts although HTTP does not allow its head.
func TestMalformedResponseToAPullIsNotMerged(t *testing.T) {
	body, err := encode(pullResponse{Members: []member{{ID: "vm-new", Address: "127.0.0.1:9", Incarnation: "1"}}})
	if err != nil {
		t.Fatal(err)
	}
	for name, head := range map[string]string{
		"status 000":      "HTTP/1.1 000 OK",
		"HTTP/2.0":        "HTTP/2.0 200 OK",
		"space in a name": "HTTP/1.1 200 OK\r\nX-No te: a",
	} {
		t.Run(name, func(t *testing.T) {
			server, err := rawserver.Start(rawserver.Always(fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)))
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			node, _ := newNonRelay(t, time.Now(), "127.0.0.1:9")
			before := node.deps.Roster.Size()
			if err := node.pull(context.Background(), server.Address(), false); !errors.Is(err, httpconn.ErrMalformed) {
				t.Errorf("got error %v, want ErrMalformed", err)
			}
			if got := node.deps.Roster.Size(); got != before {
				t.Errorf("%d VMs are known, want %d", got, before)
			}
		})
	}
}
