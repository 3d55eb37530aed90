package upstream

import (
	"strconv"
	"time"

	"almondstile/contract"
	"almondstile/header"
	"almondstile/request"

	"github.com/valyala/fasthttp"
)

// native is almondstile's own protocol with backend servers.
type native struct{}

func (native) Encode(dst *fasthttp.Request, server *contract.Server, req *request.Request, left time.Duration) {
	EncodeCommon(dst, server, req)
	dst.Header.Set(header.RequestID, req.ID)
	dst.Header.Set(header.DeadlineMillis, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if req.Team != "" {
		dst.Header.Set(header.Team, string(req.Team))
	}
}

// EncodeCommon writes the caller's part of a request: method, target, fields and
// body.
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
	dst.SetBodyRaw(req.Body)
}

// Check rejects the response to another request, which proves nothing about
// this one and means that the connection is out of step.
func (native) Check(req *request.Request, resp *fasthttp.Response) error {
	if echo := resp.Header.Peek(header.RequestID); len(echo) > 0 && string(echo) != req.ID {
		return ErrResponseMismatch
	}
	return nil
}

// Decode copies a whole response out of the codec's buffers.
func (native) Decode(resp *fasthttp.Response) (request.Result, string) {
	instance := string(resp.Header.Peek(header.ServerInstance))
	saidNotRun := resp.StatusCode() == fasthttp.StatusServiceUnavailable &&
		string(resp.Header.Peek(header.NotRun)) == "true"
	return DecodeCommon(resp, saidNotRun), instance
}

// DecodeCommon returns the result of a whole response. saidNotRun says that the
// server stated that it did not run the request.
func DecodeCommon(resp *fasthttp.Response, saidNotRun bool) request.Result {
	outcome := request.Classify(request.ResponseComplete, saidNotRun)
	if outcome == request.NotRun {
		return request.Rejected(request.ReasonShed)
	}
	return request.Result{
		Outcome: outcome,
		Status:  resp.StatusCode(),
		Header:  header.Sanitize(fields(&resp.Header)),
		Body:    append([]byte(nil), resp.Body()...),
	}
}

func fields(h *fasthttp.ResponseHeader) []request.HeaderField {
	var out []request.HeaderField
	for name, value := range h.All() {
		out = append(out, request.HeaderField{Name: string(name), Value: string(value)})
	}
	return out
}
