package upstream

import (
	"strconv"
	"time"

	"almondstile/contract"
	"almondstile/header"
	"almondstile/request"

	"github.com/valyala/fasthttp"
)

// nativeProtocol is almondstile's own protocol with backend servers. It carries
// the request's ID, the remaining time in milliseconds and the team in header
// fields.
type nativeProtocol struct{}

// Encode implements Protocol. The remaining time is sent as at least 1 ms.
func (nativeProtocol) Encode(dst *fasthttp.Request, server *contract.Server, req *request.Request, timeLeft time.Duration) {
	EncodeCommon(dst, server, req)
	dst.Header.Set(header.RequestID, req.ID)
	dst.Header.Set(header.DeadlineMillis, strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10))
	if req.Team != "" {
		dst.Header.Set(header.Team, string(req.Team))
	}
}

// EncodeCommon writes the caller's part of a request to dst: method, target, header
// fields and body. If the caller's fields have no Host, it sets the server's
// address. The body is not copied.
func EncodeCommon(dst *fasthttp.Request, server *contract.Server, req *request.Request) {
	dst.Header.SetNoDefaultContentType(true)
	dst.Header.SetMethod(req.Method)
	dst.SetRequestURI(req.Target)
	for _, f := range req.Header {
		dst.Header.Add(f.Name, f.Value)
	}
	if len(dst.Header.Host()) == 0 {
		dst.Header.SetHost(server.Address)
	}
	if whole, ok := req.Body.Whole(); ok {
		dst.SetBodyRaw(whole)
	} else {
		dst.SetBodyStream(req.Body.NewReader(), req.Body.Len())
	}
}

// ResponseID implements Protocol.
func (nativeProtocol) ResponseID(h *fasthttp.ResponseHeader) string {
	return string(h.Peek(header.RequestID))
}

// Check implements Protocol. It returns ErrResponseMismatch if the response names
// another request's ID. Such a response says nothing about this request, and it
// shows that responses and requests on the connection no longer match.
func (nativeProtocol) Check(req *request.Request, resp *fasthttp.Response) error {
	if echo := resp.Header.Peek(header.RequestID); len(echo) > 0 && string(echo) != req.ID {
		return ErrResponseMismatch
	}
	return nil
}

// Decode implements Protocol. The result holds copies of the response's data,
// because fasthttp reuses the buffers of resp.
func (nativeProtocol) Decode(resp *fasthttp.Response) Response {
	reportedNotRun := resp.StatusCode() == fasthttp.StatusServiceUnavailable &&
		string(resp.Header.Peek(header.NotRun)) == "true"
	return Response{Result: DecodeCommon(resp, reportedNotRun), Instance: string(resp.Header.Peek(header.ServerInstance))}
}

// DecodeCommon returns the result of a complete response. reportedNotRun says
// whether the server stated that it did not execute the request; the result is then
// a rejection with the reason request.ReasonShed. The result holds copies of the
// response's fields, and its body, which resp loses.
func DecodeCommon(resp *fasthttp.Response, reportedNotRun bool) request.Result {
	outcome := request.Classify(request.ResponseComplete, reportedNotRun)
	if outcome == request.NotRun {
		return request.Rejected(request.ReasonShed)
	}
	return request.Result{
		Outcome: outcome,
		Status:  resp.StatusCode(),
		Header:  header.Sanitize(fields(&resp.Header)),
		Body:    trim(resp.SwapBody(nil)),
	}
}

// maxSpareBytes is how much larger than a body its buffer may be. The buffer of a chunked
// body doubles as it grows, and is kept until a slow caller has read the body.
const maxSpareBytes = 64 << 10

// trim returns the body in a buffer that is not much larger.
func trim(body []byte) []byte {
	if cap(body)-len(body) <= maxSpareBytes {
		return body
	}
	return append(make([]byte, 0, len(body)), body...)
}

// fields returns copies of all header fields of a response.
func fields(h *fasthttp.ResponseHeader) []request.HeaderField {
	var out []request.HeaderField
	for name, value := range h.All() {
		out = append(out, request.HeaderField{Name: string(name), Value: string(value)})
	}
	return out
}
