package forward

import (
	"bytes"
	"context"
	"io"
	"time"

	"almondstile/httpconn"
	"almondstile/link"
	"almondstile/memory"
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

// CloseIdle closes idle connections whose idle timeout has passed. If all is
// true, it closes every idle connection.
func (s *sender) CloseIdle(all bool) { s.pool.CloseIdle(all) }

// post sends a sealed message, of a head and a body, to a VM, decodes the sealed reply into
// reply and returns the reply's body. It records the success or failure in links.
func (s *sender) post(ctx context.Context, to vm.VM, path string, head []byte, message *memory.Body, reply any) (body []byte, progress request.Progress, err error) {
	httpReq, httpResp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpReq)
	defer fasthttp.ReleaseResponse(httpResp)
	httpReq.Header.SetMethod(fasthttp.MethodPost)
	httpReq.SetRequestURI(path)
	httpReq.Header.SetHost(to.ForwardAddress)
	httpReq.SetBodyStream(io.MultiReader(bytes.NewReader(head), message.NewReader()), len(head)+message.Len())
	progress, err = s.pool.Do(ctx, to.ForwardAddress, httpconn.Call{
		Request: httpReq, Response: httpResp,
		Verify: func(resp *fasthttp.Response) error {
			body, err = s.decode(head[:macBytes], resp, reply)
			return err
		},
	})
	if err != nil {
		s.recordFailure(ctx, to.ID, err)
		return nil, progress, err
	}
	s.links.RecordReply(to.ID, time.Now())
	return body, progress, nil
}

// decode opens the sealed reply to the request with the given MAC. resp loses its body.
func (s *sender) decode(requestMAC []byte, resp *fasthttp.Response, reply any) ([]byte, error) {
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Wrapf(ErrInvalidMessage, "HTTP status %d", resp.StatusCode())
	}
	return open(s.secret, requestMAC, resp.SwapBody(nil), reply)
}

// recordFailure counts a failure of the link to the peer, unless the request was
// canceled or the peer sent an invalid reply. A missed deadline counts, because
// it is the only sign of a partition in one direction.
func (s *sender) recordFailure(ctx context.Context, peer vm.ID, err error) {
	if errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, ErrInvalidMessage) {
		return
	}
	s.links.RecordFailure(peer, time.Now())
}
