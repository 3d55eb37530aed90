package forward

import (
	"context"
	"fmt"
	"testing"

	"almondstile/request"
	"almondstile/standin/rawserver"
	"almondstile/vm"

	"github.com/valyala/fasthttp"
)

// startMalformedReplies starts a VM whose replies are authentic and have a head that HTTP
// does not allow. The head has no line break at its end.
func startMalformedReplies(t *testing.T, head string) vm.VM {
	t.Helper()
	server, err := rawserver.Start(func(req *fasthttp.Request) []byte {
		result := request.Result{Outcome: request.Answered, Status: 200}
		reply, err := seal(testSecret, req.Body()[:macBytes], newResultEnvelope(&result), []byte("body"))
		if err != nil {
			t.Error(err)
		}
		return fmt.Appendf(nil, "%s\r\nContent-Length: %d\r\n\r\n%s", head, len(reply), reply)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return vm.VM{ID: "vm2", ForwardAddress: server.Address()}
}

// Guards against a reply of another VM that counts although HTTP does not allow its head.
func TestMalformedReplyIsNoResult(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":      "HTTP/1.1 000 OK",
		"HTTP/2.0":        "HTTP/2.0 200 OK",
		"space in a name": "HTTP/1.1 200 OK\r\nX-No te: a",
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
