package forward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"almondstile/request"
	"almondstile/vm"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// startMalformedReplies starts a VM whose replies are authentic and have a head that HTTP
// does not allow. The head has no line break at its end.
func startMalformedReplies(t *testing.T, head string) vm.VM {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg conc.WaitGroup
	wg.Go(func() {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
		var req fasthttp.Request
		if err := req.Read(bufio.NewReader(nc)); err != nil {
			return
		}
		result := request.Result{Outcome: request.Answered, Status: 200}
		reply, err := seal(testSecret, req.Body()[:macBytes], newResultEnvelope(&result), []byte("body"))
		if err != nil {
			t.Error(err)
		}
		_, _ = fmt.Fprintf(nc, "%s\r\nContent-Length: %d\r\n\r\n%s", head, len(reply), reply)
		_, _ = nc.Read(make([]byte, 1)) // until the client closes the connection
	})
	t.Cleanup(func() { _ = listener.Close(); wg.Wait() })
	return vm.VM{ID: "vm2", ForwardAddress: listener.Addr().String()}
}

// Guards against a reply of another VM that counts although HTTP does not allow its head.
func TestMalformedReplyIsNoResult(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":      "HTTP/1.1 000 OK",
		"HTTP/2.0":        "HTTP/2.0 200 OK",
		"blank in a name": "HTTP/1.1 200 OK\r\nX-No te: a",
	} {
		t.Run(name, func(t *testing.T) {
			owner := startMalformedReplies(t, head)
			client := newTestClient()
			defer client.CloseIdle(true)
			got := client.Forward(context.Background(), owner, nil, newTestRequest())
			if got.Outcome != request.Unknown || got.Reason != request.ReasonLostResponse || len(got.Body) > 0 {
				t.Errorf("got %+v, want an unknown outcome", got)
			}
		})
	}
}
