package gossip

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"almondstile/boottime"
	"almondstile/catalog"
	"almondstile/history"
	"almondstile/httpconn"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// gzipEncoding is the coding of the responses to VMs that accept it. A relay hands out the
	// same rows to each VM of its zone, and a configuration has thousands of alike lines.
	gzipEncoding = "gzip"
	// minCompressedBytes is the least size of a response that is compressed.
	minCompressedBytes = 1 << 10
	// maxCopiesBytes bounds a response after it is decompressed.
	maxCopiesBytes = 64 << 20
)

// Arguments of a pull beside the positions of the copies.
const (
	// attemptsArgument asks for the attempts of the last window.
	attemptsArgument = "attempts"
	// knownVMsArgument holds the number of VMs that the other VM knows. One that knows as
	// many as this one gets no list of them.
	knownVMsArgument = "vms"
)

// handlePullGuarded handles a pull, and responds with an error if that panics.
func (n *Node) handlePullGuarded(ctx *fasthttp.RequestCtx) {
	if n.deps.Guard.Handle("pull", "", func() { n.handlePull(ctx) }) {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}

// handlePull responds with the rows that changed after the table versions in the
// request, with the known VMs if the other VM knows fewer, and, if it asks for them, with the
// attempts of the last window.
func (n *Node) handlePull(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != copiesPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	response := pullResponse{}
	if storeTime, known := n.deps.Catalog.StoreClock.At(boottime.Now()); known {
		response.StoreMillis = toMillis(storeTime)
		response.StoreHops = n.deps.Catalog.StoreClock.Hops(boottime.Now())
	}
	for _, t := range n.deps.Catalog.Tables() {
		if t == catalog.RolloutTable && !ctx.QueryArgs().Has(t.String()) {
			continue // the other VM's settings have no roll-outs, or not yet
		}
		after, err := positionArgument(ctx.QueryArgs(), t)
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		response.Tables = append(response.Tables, n.deltaSince(t, after))
	}
	if known, err := ctx.QueryArgs().GetUint(knownVMsArgument); err != nil || known < n.deps.Roster.Size() {
		for _, v := range n.deps.Roster.Others() {
			response.Members = append(response.Members, toMember(v))
		}
	}
	if ctx.QueryArgs().GetBool(attemptsArgument) {
		response.Attempts = toAttemptWindows(n.deps.Attempts.Windows(time.Now()))
	}
	b, err := encode(response)
	if err != nil {
		n.deps.Log.WithError(err).Error("Cannot encode the response to a pull of table copies.")
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	if ctx.Request.Header.HasAcceptEncoding(gzipEncoding) && len(b) >= minCompressedBytes {
		b = fasthttp.AppendGzipBytesLevel(nil, b, fasthttp.CompressBestSpeed)
		ctx.Response.Header.SetContentEncoding(gzipEncoding)
	}
	n.traffic.sent(CauseCopies, len(b))
	ctx.SetBody(b)
}

// deltaSince returns the rows of a table that changed after a position, or the zero Delta, which
// receivers skip, if none did.
func (n *Node) deltaSince(t catalog.Table, after history.Position) catalog.Delta {
	if position, _ := n.deps.Catalog.PositionAsOf(t); position == after {
		return catalog.Delta{}
	}
	return n.deps.Catalog.DeltaSince(t, after)
}

// Suffixes of the arguments that hold the era of a copy. Without them it is the first era.
const (
	statedEraSuffix = "-stated-era"
	foundEraSuffix  = "-found-era"
)

// positionArguments returns the arguments of a pull that hold the position of a copy.
func positionArguments(t catalog.Table, p history.Position) string {
	arguments := fmt.Sprintf("%s=%d&", t, p.Version)
	if p.Era != (history.Era{}) {
		arguments += fmt.Sprintf("%s%s=%d&%s%s=%d&", t, statedEraSuffix, p.Era.Stated, t, foundEraSuffix, p.Era.Found)
	}
	return arguments
}

// positionArgument returns the position of a copy from the arguments of a pull.
func positionArgument(arguments *fasthttp.Args, t catalog.Table) (p history.Position, err error) {
	for name, value := range map[string]*uint64{
		t.String(): &p.Version, t.String() + statedEraSuffix: &p.Era.Stated, t.String() + foundEraSuffix: &p.Era.Found,
	} {
		if name != t.String() && !arguments.Has(name) {
			continue
		}
		if *value, err = strconv.ParseUint(string(arguments.Peek(name)), 10, 64); err != nil {
			return history.Position{}, errors.Wrapf(err, "the argument %s of a pull", name)
		}
	}
	return p, nil
}

// pull fetches the rows of another VM's table copies that are newer than this VM's, the
// VMs that it knows and, if withAttempts is set, the attempts of the last window, and
// merges them.
func (n *Node) pull(ctx context.Context, address string, withAttempts bool) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	started := boottime.Now()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	uri := copiesPath + "?"
	for _, t := range n.deps.Catalog.Tables() {
		position, _ := n.deps.Catalog.PositionAsOf(t)
		uri += positionArguments(t, position)
	}
	uri += fmt.Sprintf("%s=%d&", knownVMsArgument, n.deps.Roster.Size())
	if withAttempts {
		uri += attemptsArgument + "=true&"
	}
	req.SetRequestURI(uri)
	req.Header.SetHost(address)
	req.Header.Set(fasthttp.HeaderAcceptEncoding, gzipEncoding)
	if _, err := n.pool.Do(ctx, address, httpconn.Call{Request: req, Response: resp}); err != nil {
		return errors.Wrapf(err, "pulling table copies from %s", address)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Newf("pulling table copies from %s: HTTP status %d", address, resp.StatusCode())
	}
	body, err := resp.BodyUncompressedWithLimit(maxCopiesBytes)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "decompressing the table copies of %s", address), ErrMalformed)
	}
	var response pullResponse
	if err := decode(body, &response); err != nil {
		return err
	}
	n.observeClock(started, response)
	for _, introduced := range response.Members {
		n.deps.Roster.Learn(time.Now(), introduced.vm())
	}
	if withAttempts {
		n.deps.Attempts.Adopt(time.Now(), response.Attempts.windows())
	}
	changed, tables := false, n.deps.Catalog.Tables()
	for i, d := range response.Tables[:min(len(response.Tables), len(tables))] {
		if d.Position.Version > 0 {
			changed = n.deps.Catalog.Merge(tables[i], d) || changed
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

// observeClock records the store's time in the response to a pull that started at a local
// time. The time counts from anew if the response begins an era, and not at all if it is of
// another one: the store's clock may have changed in between.
func (n *Node) observeClock(started time.Duration, response pullResponse) {
	if response.StoreMillis <= 0 {
		return
	}
	tables, clock := n.deps.Catalog.Tables(), &n.deps.Catalog.StoreClock
	store, era, begins := fromMillis(response.StoreMillis), history.Era{}, false
	for i, d := range response.Tables[:min(len(response.Tables), len(tables))] {
		if d.Position.Version > 0 {
			begins = begins || n.deps.Catalog.BeginsEra(tables[i], d)
			era = later(era, d.Position.Era)
		}
	}
	clockEra, known := clock.Era()
	switch {
	case begins && (!known || era.Compare(clockEra) > 0):
		clock.Restart(era, started, store, response.StoreHops+1)
	case !known || era == clockEra:
		clock.ObservePeer(boottime.Now(), store, response.StoreHops)
	}
}

// later returns the later one of two eras.
func later(a, b history.Era) history.Era {
	if a.Compare(b) < 0 {
		return b
	}
	return a
}
