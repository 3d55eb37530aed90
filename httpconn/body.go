package httpconn

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"almondstile/memory"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// maxTrustedLength is the largest announced length for which a buffer is made before the
// body has arrived.
const maxTrustedLength = 64 << 10

// readMessageBody reads a body that has a length, is chunked, or ends with the connection. It
// holds what has arrived, or what it has taken room for, and not what was announced.
func readMessageBody(r *bufio.Reader, resp *fasthttp.Response, length int, options Options) error {
	if length > options.MaxResponseBytes {
		return fasthttp.ErrBodyTooLarge
	}
	if length >= 0 {
		if err := options.room.cover(length); err != nil {
			return err
		}
	}
	switch {
	case 0 <= length && length <= maxTrustedLength:
		return resp.ReadBody(r, options.MaxResponseBytes)
	case length > 0 && options.room != nil:
		return readWholeBody(r, resp, length)
	}
	var body memory.Collector
	defer body.Release()
	var err error
	switch length {
	case chunkedLength:
		err = readChunks(r, &body, options)
	case identityLength:
		err = readToEnd(r, &body, options)
	default:
		err = body.ReadN(r, length)
	}
	if err != nil {
		return err
	}
	moveBody(resp, &body, options)
	return nil
}

// readToEnd reads until the peer closes the connection.
func readToEnd(r *bufio.Reader, body *memory.Collector, options Options) error {
	for {
		if err := options.room.cover(body.Len() + memory.MaxReadBytes); err != nil {
			return err
		}
		err := body.ReadSome(r)
		switch {
		case body.Len() > options.MaxResponseBytes:
			return fasthttp.ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// readWholeBody reads a body into one buffer of its size.
func readWholeBody(r *bufio.Reader, resp *fasthttp.Response, length int) error {
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	} else if err != nil {
		return err
	}
	resp.SwapBody(body)
	return nil
}

// moveBody moves the collected bytes to the response.
func moveBody(resp *fasthttp.Response, body *memory.Collector, options Options) {
	options.room.charge(body.Len()) // there are two copies for a moment
	resp.SwapBody(body.MoveTo(resp.SwapBody(nil)))
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
