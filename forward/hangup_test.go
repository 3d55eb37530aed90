package forward

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"almondstile/request"
)

// Guards against a forwarded request that is run to its end although its sender has closed
// the connection: the close was not seen behind further bytes.
func TestSendersCloseIsSeenBehindFurtherBytes(t *testing.T) {
	running, canceled := make(chan struct{}), make(chan struct{})
	owner := startVM(t, "vm2", &staticMembers{}, runnerFunc(func(ctx context.Context, _ *request.Request) request.Result {
		close(running) // a second request would panic here
		<-ctx.Done()
		close(canceled)
		return request.UnknownResult(request.ReasonCanceled)
	}))
	post := func() string {
		req := newTestRequest()
		message, err := seal(testSecret, nil, newRequestEnvelope("vm1", owner.ID, req, time.Now(), false), req.Body.Bytes())
		if err != nil {
			t.Fatal(err)
		}
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: vm2\r\nContent-Length: %d\r\n\r\n%s", forwardPath, len(message), message)
	}
	nc, err := net.Dial("tcp", owner.ForwardAddress)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = nc.Write([]byte(post()))
	<-running
	_, _ = nc.Write([]byte(post()))
	_ = nc.Close()
	select {
	case <-canceled:
	case <-time.After(5 * time.Second): // half of the request's deadline
		t.Error("the request was not canceled")
	}
}
