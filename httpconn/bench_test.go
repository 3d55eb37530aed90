package httpconn

import (
	"bufio"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// repeatingConn is a connection from which the same response is read again and again, as
// often as a request is written.
type repeatingConn struct {
	net.Conn
	response string
	unread   strings.Reader
}

func (c *repeatingConn) Write(b []byte) (int, error) {
	c.unread.Reset(c.response)
	return len(b), nil
}

func (c *repeatingConn) Read(b []byte) (int, error) { return c.unread.Read(b) }

// Measures an exchange without the cost of sockets.
func BenchmarkExchange(b *testing.B) {
	const fields = "Content-Type: application/json\r\nDate: Sun, 06 Dec 2026 22:26:14 GMT\r\nKeep-Alive: timeout=5\r\n" +
		"X-Request-Id: 9c41d07be2a35f68\r\nX-Upstream-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Upstream-Instance: i-7f3a91c2\r\n"
	body := strings.Repeat("x", 600)
	for name, response := range map[string]string{
		"length": statusOK + fields + "Content-Length: 600\r\n\r\n" + body,
		"chunks": statusOK + fields + "Transfer-Encoding: chunked\r\n\r\n258\r\n" + body + "\r\n0\r\n\r\n",
	} {
		b.Run(name, func(b *testing.B) {
			options := DefaultOptions()
			c := &conn{Conn: &repeatingConn{response: response}}
			c.reader = bufio.NewReaderSize(c, bufferBytes)
			c.writer = bufio.NewWriterSize(c, bufferBytes)
			var req fasthttp.Request
			var resp fasthttp.Response
			req.SetRequestURI("/x")
			req.Header.SetHost("test")
			b.ReportAllocs()
			for b.Loop() {
				c.readBudget = options.readBudget()
				resp.Reset()
				if err := c.exchange(Call{Request: &req, Response: &resp}, options); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
