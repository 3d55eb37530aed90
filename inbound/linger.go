package inbound

import (
	"sync"
	"time"
)

const (
	// lingerTimeout bounds how long a closed connection waits for its peer to close.
	lingerTimeout = 2 * time.Second
	// maxLingerBytes bounds the bytes that it drops meanwhile.
	maxLingerBytes = 4 << 20
	// lingerBufferBytes is the size of the buffer for these bytes.
	lingerBufferBytes = 4 << 10
	// lingeringBytes is what a closed connection takes meanwhile: this buffer and a stack.
	lingeringBytes = 12 << 10
)

var lingerBuffers = sync.Pool{New: func() any { return new([lingerBufferBytes]byte) }}

// linger ends the sending side, drops what the peer sends until it closes its side, and
// closes the socket. Closing a socket with unread bytes would reset the connection, and
// the end of the response would be lost with what the kernel has not sent yet.
func (c *Conn) linger() {
	defer func() { _ = c.release() }()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	buffer := lingerBuffers.Get().(*[lingerBufferBytes]byte)
	defer lingerBuffers.Put(buffer)
	for dropped := 0; dropped < maxLingerBytes; {
		n, err := c.Conn.Read(buffer[:])
		if err != nil {
			return // the end of the stream, a reset, or lingerTimeout
		}
		dropped += n
	}
}
