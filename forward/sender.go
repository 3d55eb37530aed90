package forward

import (
	"context"
	"time"

	"almondstile/httpconn"
	"almondstile/link"
	"almondstile/request"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// sender sends sealed messages to other VMs.
type sender struct {
	self   vm.ID
	secret link.Secret
	links  *link.Links
	pool   *httpconn.Pool
}

// CloseIdle closes unused connections that are past their time, or all.
func (s *sender) CloseIdle(all bool) { s.pool.CloseIdle(all) }

// post does one exchange with a VM, decodes the sealed reply, and notes what the
// exchange says about the link.
func (s *sender) post(ctx context.Context, to vm.VM, path string, message []byte, reply any) (body []byte, progress request.Progress, err error) {
	httpReq, httpResp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpReq)
	defer fasthttp.ReleaseResponse(httpResp)
	httpReq.Header.SetMethod(fasthttp.MethodPost)
	httpReq.SetRequestURI(path)
	httpReq.Header.SetHost(to.ForwardAddress)
	httpReq.SetBodyRaw(message)
	progress, err = s.pool.Do(ctx, to.ForwardAddress, httpReq, httpResp, func(resp *fasthttp.Response) error {
		body, err = s.decode(message[:macBytes], resp, reply)
		return err
	})
	if err != nil {
		s.noteFailure(ctx, to.ID, err)
		return nil, progress, err
	}
	s.links.Reached(to.ID, time.Now())
	return body, progress, nil
}

func (s *sender) decode(requestMAC []byte, resp *fasthttp.Response, reply any) ([]byte, error) {
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Wrapf(ErrInvalidMessage, "status %d", resp.StatusCode())
	}
	return open(s.secret, requestMAC, append([]byte(nil), resp.Body()...), reply)
}

// noteFailure blames the link unless the caller canceled. A deadline that
// passed is blamed too: a one-way cut shows as silence.
func (s *sender) noteFailure(ctx context.Context, peer vm.ID, err error) {
	if errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, ErrInvalidMessage) {
		return
	}
	s.links.Failed(peer, time.Now())
}
