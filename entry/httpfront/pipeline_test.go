package httpfront

import (
	"bufio"
	"context"
	"io"
	"testing"
	"time"

	"almondstile/entry"
	"almondstile/request"

	"github.com/valyala/fasthttp"
)

// Guards against an answer that is ready but held back until the request behind it, on the
// same connection, has been served as well.
func TestAnswerDoesNotWaitForThePipelinedRequest(t *testing.T) {
	received := make(chan struct{})
	s := startStoppableServer(t, func(_ context.Context, in entry.IncomingRequest) (string, request.Result) {
		if in.Path == "/second" {
			<-received // the second request ends only after the first answer has arrived
		}
		return "id", request.Result{Outcome: request.Answered, Status: 200, Body: []byte(in.Path)}
	})
	nc := s.connect()
	_, _ = io.WriteString(nc, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	_ = nc.SetReadDeadline(time.Now().Add(testLimit))
	reader := bufio.NewReader(nc)
	var resp fasthttp.Response
	err := resp.Read(reader)
	close(received)
	if err != nil || string(resp.Body()) != "/first" {
		t.Fatalf("got %q, %v before the second request ended", resp.Body(), err)
	}
	if err := resp.Read(reader); err != nil || string(resp.Body()) != "/second" {
		t.Errorf("the second request got %q, %v", resp.Body(), err)
	}
}
