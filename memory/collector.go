package memory

import (
	"io"

	"github.com/cockroachdb/errors"
)

// Collector collects bytes whose number is not known, or not trusted, in pieces from the
// pool. A buffer that doubles as it grows would take up to three times as much. The zero
// value is empty.
type Collector struct {
	pieces [][]byte
	size   int
}

// ReadN reads n bytes. It returns io.ErrUnexpectedEOF if there are fewer.
func (c *Collector) ReadN(r io.Reader, n int) error {
	for n > 0 {
		before := c.size
		err := c.ReadSome(io.LimitReader(r, int64(n)))
		n -= c.size - before
		switch {
		case n == 0:
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
	return nil
}

// MaxReadBytes is the most that one call of ReadSome reads.
const MaxReadBytes = largePieceBytes

// ReadSome reads what one call of r.Read returns, at most MaxReadBytes, and returns its error.
func (c *Collector) ReadSome(r io.Reader) error {
	room := c.room()
	n, err := r.Read(room[len(room):cap(room)])
	c.pieces[len(c.pieces)-1] = room[:len(room)+n]
	c.size += n
	return err
}

// room returns the last piece, which is not full.
func (c *Collector) room() []byte {
	n := len(c.pieces)
	switch {
	case n == 0:
		c.pieces = append(c.pieces, newPiece(smallPieceBytes))
	case len(c.pieces[n-1]) == cap(c.pieces[n-1]):
		c.pieces = append(c.pieces, newPiece(largePieceBytes))
	}
	return c.pieces[len(c.pieces)-1]
}

// Len returns the number of bytes that were collected.
func (c *Collector) Len() int { return c.size }

// MoveTo returns the bytes in buffer, or in a new one of their size if it is too small. It
// gives the pieces back and empties the Collector.
func (c *Collector) MoveTo(buffer []byte) []byte {
	if cap(buffer) < c.size {
		buffer = make([]byte, 0, c.size)
	}
	buffer = buffer[:0]
	for _, piece := range c.pieces {
		buffer = append(buffer, piece...)
	}
	c.Release()
	return buffer
}

// Release drops the bytes and gives the pieces back.
func (c *Collector) Release() {
	for i, piece := range c.pieces {
		freePiece(piece)
		c.pieces[i] = nil
	}
	c.pieces, c.size = c.pieces[:0], 0
}
