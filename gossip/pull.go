package gossip

import (
	"context"
	"strconv"
	"time"

	"almondstile/boottime"
	"almondstile/catalog"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// handlePull responds with the rows that changed after the table versions in the
// request, and with the known VMs.
func (n *Node) handlePull(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != copiesPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	response := pullResponse{}
	if storeTime, known := n.deps.Catalog.StoreClock.At(boottime.Now()); known {
		response.StoreMillis = toMillis(storeTime)
	}
	for _, t := range catalog.Tables {
		after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek(t.String())), 10, 64)
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		response.Tables = append(response.Tables, n.deps.Catalog.DeltaSince(t, after))
	}
	for _, v := range n.deps.Roster.Others() {
		response.Members = append(response.Members, toMember(v))
	}
	b, err := encode(response)
	if err != nil {
		n.deps.Log.WithError(err).Error("Cannot encode the response to a pull of table copies.")
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(b)
}

// pull fetches the rows of another VM's table copies that are newer than this VM's,
// and the VMs that it knows, and merges them.
func (n *Node) pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	uri := copiesPath + "?"
	for _, t := range catalog.Tables {
		version, _ := n.deps.Catalog.VersionAsOf(t)
		uri += t.String() + "=" + strconv.FormatUint(version, 10) + "&"
	}
	req.SetRequestURI(uri)
	req.Header.SetHost(address)
	if _, err := n.pool.Do(ctx, address, req, resp, nil); err != nil {
		return errors.Wrapf(err, "pulling table copies from %s", address)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Newf("pulling table copies from %s: HTTP status %d", address, resp.StatusCode())
	}
	var response pullResponse
	if err := decode(resp.Body(), &response); err != nil {
		return err
	}
	if response.StoreMillis > 0 {
		n.deps.Catalog.StoreClock.Observe(boottime.Now(), fromMillis(response.StoreMillis))
	}
	for _, introduced := range response.Members {
		n.deps.Roster.Learn(time.Now(), introduced.vm())
	}
	changed := false
	for i, d := range response.Tables {
		if i < len(catalog.Tables) && d.Version > 0 {
			changed = n.deps.Catalog.Merge(catalog.Tables[i], d) || changed
		}
	}
	if changed {
		select {
		case n.pulled <- struct{}{}:
		default: // the last value has not been received yet
		}
	}
	return nil
}
