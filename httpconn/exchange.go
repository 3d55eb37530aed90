package httpconn

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Values that fasthttp returns as content length.
const (
	// chunkedLength means that the body is sent in chunks.
	chunkedLength = -1
	// identityLength means that the end of the connection delimits the body.
	identityLength = -2
)

// conn is a buffered TCP connection that counts the written bytes.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	// idleTimeout is how long the connection may stay unused.
	idleTimeout time.Duration
	// bytesWritten counts the bytes of the current request only.
	bytesWritten int64
	// readBudget is the number of bytes that may still be read for the current
	// response.
	readBudget int
	// carried records the requests with an ID that the connection has carried.
	carried carriedRequests
}

// Read reads from the connection. It fails with ErrTooLarge when the budget of the
// response is used up. The limits of the codec don't count bytes that it skips, such
// as interim responses and extensions of chunks.
func (c *conn) Read(b []byte) (int, error) {
	if c.readBudget <= 0 {
		return 0, errors.Wrap(ErrTooLarge, "the peer sends without end")
	}
	n, err := c.Conn.Read(b[:min(len(b), c.readBudget)])
	c.readBudget -= n
	return n, err
}

// Write writes b to the connection and counts the bytes that the kernel accepted.
// While the count is 0, the peer cannot have received any part of the request.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesWritten += int64(n)
	return n, err
}

// bufferBytes is the size of a connection's read buffer and of its write buffer. The
// header of a response must fit into the read buffer.
const bufferBytes = 16 << 10

// BufferBytes is what the buffers of a connection take.
const BufferBytes = 2 * bufferBytes

// readBudget returns the largest number of bytes of one response, with its head, its
// trailer and the sizes of its chunks.
func (o Options) readBudget() int { return 2*o.MaxResponseBytes + 4*bufferBytes }

// recordCarried records that the connection carries the call's request.
func (c *conn) recordCarried(ctx context.Context, call Call) {
	if call.RequestID == "" {
		return
	}
	now := time.Now()
	until := now.Add(defaultCarriedRetention)
	if deadline, ok := ctx.Deadline(); ok {
		until = deadline.Add(carriedRetention)
	}
	c.carried.add(now, call.RequestID, until, call.Request.Header.IsHead())
}

// exchange writes the request and reads the response. Errors are marked with
// ErrClosed, ErrTruncated, ErrTooLarge or ErrMalformed.
func (c *conn) exchange(call Call, options Options) error {
	if err := call.Request.Write(c.writer); err != nil {
		return errors.Mark(errors.Wrap(err, "writing the request"), ErrClosed)
	}
	if err := c.writer.Flush(); err != nil {
		return errors.Mark(errors.Wrap(err, "writing the request"), ErrClosed)
	}
	if _, err := c.reader.Peek(1); err != nil {
		return errors.Mark(errors.Wrap(err, "waiting for the response"), ErrClosed)
	}
	if err := c.readResponse(call, options); err != nil {
		return classifyReadError(err)
	}
	return nil
}

// readResponse reads the response to the call. It skips late copies of responses to
// earlier requests of the connection.
func (c *conn) readResponse(call Call, options Options) error {
	for {
		if err := readHead(c.reader, call.Response); err != nil {
			return err
		}
		copyOf, id := c.lateCopy(call)
		head := call.Request.Header.IsHead()
		if copyOf != nil {
			head = copyOf.head
		}
		if err := readBody(c.reader, call.Response, head, options); err != nil {
			return err
		}
		if copyOf == nil {
			return nil
		}
		if call.LateCopy != nil {
			call.LateCopy(id)
		}
		call.Response.Reset()
	}
}

// lateCopy returns the earlier request, and its ID, that the response whose head was read
// belongs to, or nil if that is not known of any.
func (c *conn) lateCopy(call Call) (copyOf *carriedRequest, id string) {
	if call.ResponseID == nil {
		return nil, ""
	}
	id = call.ResponseID(&call.Response.Header)
	if id == "" || id == call.RequestID {
		return nil, ""
	}
	return c.carried.find(id), id
}

// readHead reads the head of a final response and skips interim (1xx) responses.
func readHead(r *bufio.Reader, resp *fasthttp.Response) error {
	for interim := true; interim; {
		if err := checkBuffered(r, &headScanner{}); err != nil {
			return err
		}
		if err := resp.Header.Read(r); err != nil {
			return newViolation(ViolationCodec, "%v", err)
		}
		interim = resp.StatusCode() < fasthttp.StatusOK
	}
	return nil
}

// checkBuffered waits until the reader's buffer contains all that the scanner checks. It
// consumes nothing.
func checkBuffered(r *bufio.Reader, s *headScanner) error {
	for {
		received, _ := r.Peek(r.Buffered()) // never fails for bytes that are buffered
		complete, err := s.scan(received)
		if complete || err != nil {
			return err
		}
		_, err = r.Peek(len(received) + 1) // waits for further bytes
		if errors.Is(err, bufio.ErrBufferFull) {
			return errors.Wrap(ErrTooLarge, "the head does not fit into the buffer")
		}
		if err != nil {
			return err
		}
	}
}

// readBody reads the body of a response, if it has one. Unlike fasthttp, it rejects a
// body that has neither a length nor chunks, unless options.AllowCloseDelimitedBodies is
// set: the end of such a body looks the same as a connection that broke in the middle of
// it.
func readBody(r *bufio.Reader, resp *fasthttp.Response, head bool, options Options) error {
	if head || bodyForbidden(resp.StatusCode()) {
		resp.SkipBody = true
		return nil
	}
	length := resp.Header.ContentLength()
	if length == identityLength && !options.AllowCloseDelimitedBodies {
		return errors.Wrap(ErrTruncated, "the body has neither a length nor chunks")
	}
	if err := readMessageBody(r, resp, length, options); err != nil {
		return err
	}
	if length == chunkedLength {
		return readTrailer(r, resp)
	}
	return nil
}

// readTrailer reads the trailer of a chunked response. Its fields are not passed on.
func readTrailer(r *bufio.Reader, resp *fasthttp.Response) error {
	if err := checkBuffered(r, &headScanner{trailer: true}); err != nil {
		return err
	}
	if err := resp.Header.ReadTrailer(r); err != nil {
		return newViolation(ViolationCodec, "%v", err)
	}
	return nil
}

// bodyForbidden reports whether HTTP allows no body in a response with the status.
func bodyForbidden(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified || status < 200
}

// classifyReadError marks an error of reading a response with ErrTooLarge,
// ErrTruncated or ErrMalformed.
func classifyReadError(err error) error {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.Is(err, ErrTooLarge), errors.As(err, &small):
		return errors.Mark(err, ErrTooLarge)
	case isTruncation(err), errors.Is(err, ErrTruncated):
		return errors.Mark(err, ErrTruncated)
	default:
		return errors.Mark(err, ErrMalformed)
	}
}
