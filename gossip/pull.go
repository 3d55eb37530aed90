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

// answerPull returns what changed after the versions that the asker has.
func (n *Node) answerPull(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != copiesPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	answer := copies{}
	if store, known := n.parts.Catalog.StoreClock.At(boottime.Now()); known {
		answer.StoreMillis = millis(store)
	}
	for _, t := range catalog.Tables {
		after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek(t.String())), 10, 64)
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		answer.Tables = append(answer.Tables, n.parts.Catalog.DeltaSince(t, after))
	}
	for _, v := range n.parts.Roster.Others() {
		answer.Members = append(answer.Members, toMember(v))
	}
	b, err := encode(answer)
	if err != nil {
		n.parts.Log.WithError(err).Error("The answer to a pull cannot be encoded.")
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(b)
}

// pull fetches the newer copies of another VM.
func (n *Node) pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	uri := copiesPath + "?"
	for _, t := range catalog.Tables {
		version, _ := n.parts.Catalog.VersionAsOf(t)
		uri += t.String() + "=" + strconv.FormatUint(version, 10) + "&"
	}
	req.SetRequestURI(uri)
	req.Header.SetHost(address)
	if _, err := n.pool.Do(ctx, address, req, resp, nil); err != nil {
		return errors.Wrapf(err, "pulling copies from %s", address)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Newf("pulling copies from %s: status %d", address, resp.StatusCode())
	}
	var answer copies
	if err := decode(resp.Body(), &answer); err != nil {
		return err
	}
	if answer.StoreMillis > 0 {
		n.parts.Catalog.StoreClock.Observe(boottime.Now(), fromMillis(answer.StoreMillis))
	}
	for _, known := range answer.Members {
		n.parts.Roster.Learn(time.Now(), known.vm())
	}
	for i, d := range answer.Tables {
		if i < len(catalog.Tables) && d.Version > 0 {
			n.parts.Catalog.Merge(catalog.Tables[i], d)
		}
	}
	return nil
}
