package gossip

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"almondstile/httpconn"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
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
		"blank in a name": "HTTP/1.1 200 OK\r\nX-No te: a",
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			var wg conc.WaitGroup
			defer wg.Wait()
			wg.Go(func() {
				nc, err := listener.Accept()
				if err != nil {
					return
				}
				defer nc.Close()
				_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
				var req fasthttp.Request
				_ = req.Read(bufio.NewReader(nc))
				_, _ = fmt.Fprintf(nc, "%s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
				_, _ = nc.Read(make([]byte, 1)) // until the node closes the connection
			})
			node, _ := newNonRelay(t, time.Now(), "127.0.0.1:9")
			before := node.deps.Roster.Size()
			if err := node.pull(context.Background(), listener.Addr().String(), false); !errors.Is(err, httpconn.ErrMalformed) {
				t.Errorf("got error %v, want ErrMalformed", err)
			}
			if got := node.deps.Roster.Size(); got != before {
				t.Errorf("%d VMs are known, want %d", got, before)
			}
		})
	}
}
