package httpconn

import (
	"bufio"
	"bytes"
	"strconv"

	"almondstile/memory"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// maxTrustedLength is the largest announced length for which a buffer is made before the
// body has arrived.
const maxTrustedLength = 64 << 10

// readSizedBody reads a body that is chunked or has a length. It holds what has arrived, and
// not what was announced.
func readSizedBody(r *bufio.Reader, resp *fasthttp.Response, length int, options Options) error {
	if 0 <= length && length <= maxTrustedLength {
		return resp.ReadBody(r, options.MaxResponseBytes)
	}
	var body memory.Collector
	defer body.Release()
	var err error
	switch {
	case length == chunkedLength:
		err = readChunks(r, &body, options)
	case length > options.MaxResponseBytes:
		err = fasthttp.ErrBodyTooLarge
	default:
		if err = options.room.cover(length); err == nil {
			err = body.ReadN(r, length)
		}
	}
	if err != nil {
		return err
	}
	resp.SwapBody(body.MoveTo(resp.SwapBody(nil)))
	return nil
}

// readChunks reads the chunks of a body up to its trailer.
func readChunks(r *bufio.Reader, body *memory.Collector, options Options) error {
	for {
		size, err := readChunkSize(r)
		if err != nil || size == 0 {
			return err
		}
		if size > options.MaxResponseBytes-body.Len() {
			return fasthttp.ErrBodyTooLarge
		}
		if err := options.room.cover(body.Len() + size); err != nil {
			return err
		}
		if err := body.ReadN(r, size); err != nil {
			return err
		}
		for _, want := range crlf {
			if got, err := r.ReadByte(); err != nil {
				return err
			} else if got != want {
				return newViolation(ViolationFraming, "no line break behind a chunk")
			}
		}
	}
}

// readChunkSize reads the first line of a chunk.
func readChunkSize(r *bufio.Reader) (int, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return 0, errors.Wrap(ErrTooLarge, "the line of a chunk does not fit into the buffer")
	}
	if err != nil {
		return 0, err
	}
	text, ok := bytes.CutSuffix(line, crlf)
	if !ok || bytes.IndexByte(text, '\r') >= 0 {
		return 0, newViolation(ViolationFraming, "the line break of a chunk: %.*q", maxQuotedBytes, line)
	}
	rest := bytes.TrimLeft(text, "0123456789abcdefABCDEF")
	digits := text[:len(text)-len(rest)]
	if len(rest) > 0 && rest[0] != ';' && len(bytes.Trim(rest, " \t")) > 0 {
		return 0, newViolation(ViolationFraming, "the size of a chunk: %.*q", maxQuotedBytes, line)
	}
	size, err := strconv.ParseInt(string(digits), 16, 48)
	if err != nil {
		return 0, newViolation(ViolationFraming, "the size of a chunk: %.*q", maxQuotedBytes, line)
	}
	return int(size), nil
}
