package memory

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge means that a body is larger than the limit.
var ErrTooLarge = errors.New("memory: the body is larger than the limit")

// Sizes of pieces. Most bodies fit into a small one.
const (
	smallPieceBytes = 4 << 10
	largePieceBytes = 32 << 10
)

// The pools of pieces. The garbage collector empties them.
var (
	smallPieces = sync.Pool{New: func() any { return new([smallPieceBytes]byte) }}
	largePieces = sync.Pool{New: func() any { return new([largePieceBytes]byte) }}
)

// newPiece returns an empty piece from a pool.
func newPiece(size int) []byte {
	if size == smallPieceBytes {
		return smallPieces.Get().(*[smallPieceBytes]byte)[:0]
	}
	return largePieces.Get().(*[largePieceBytes]byte)[:0]
}

// freePiece returns a piece to its pool.
func freePiece(piece []byte) {
	if cap(piece) == smallPieceBytes {
		smallPieces.Put((*[smallPieceBytes]byte)(piece[:smallPieceBytes]))
		return
	}
	largePieces.Put((*[largePieceBytes]byte)(piece[:largePieceBytes]))
}

// Body is the body of a message, in pieces. A nil Body is empty. It does not change after
// Receive, so that several goroutines may read it.
//
// A Body that was received holds bytes of a Lease until it is released. Who reads it on
// another goroutine than its owner has to retain it first: the pieces are used for other
// bodies afterwards.
type Body struct {
	pieces [][]byte
	size   int
	lease  *Lease // nil if the pieces belong to no pool
	refs   atomic.Int32
}

// BodyOf returns a body with the given bytes. It is nil if there are none.
func BodyOf(b []byte) *Body {
	if len(b) == 0 {
		return nil
	}
	return &Body{pieces: [][]byte{b}, size: len(b)}
}

// Receive reads a body until its end, in pieces that it takes from the lease as the bytes
// arrive. size is its length, or -1 if that is not known. The errors are those of r and of
// Lease.Take, ErrTooLarge, and io.ErrUnexpectedEOF if fewer than size bytes arrive. The
// caller has to release the body.
func Receive(r io.Reader, size, limit int, lease *Lease, clock func() time.Time) (*Body, error) {
	if size == 0 {
		return nil, nil
	}
	if size > limit {
		return nil, ErrTooLarge
	}
	b := &Body{lease: lease}
	b.refs.Store(1)
	expected := int64(size)
	if size < 0 {
		expected = int64(limit)
	}
	lease.Begin(Receiving, expected)
	complete := false
	defer func() {
		if !complete { // also if r panics
			b.Release()
		}
	}()
	if err := b.receive(r, size, limit, clock); err != nil || b.size == 0 {
		return nil, err
	}
	complete = true
	return b, nil
}

// receive reads until the end of the body.
func (b *Body) receive(r io.Reader, size, limit int, clock func() time.Time) error {
	for b.size != size {
		if err := b.makeRoom(size); err != nil {
			return err
		}
		last := &b.pieces[len(b.pieces)-1]
		n, err := r.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		b.size += n
		b.lease.Move(clock(), n)
		switch {
		case b.size > limit:
			return ErrTooLarge
		case errors.Is(err, io.EOF) && size >= 0 && b.size < size:
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
	return nil
}

// makeRoom adds a piece if the last one is full.
func (b *Body) makeRoom(size int) error {
	bytes := largePieceBytes
	switch n := len(b.pieces); {
	case n > 0 && len(b.pieces[n-1]) < cap(b.pieces[n-1]):
		return nil
	case n == 0, size > 0 && size-b.size <= smallPieceBytes:
		bytes = smallPieceBytes
	}
	if err := b.lease.Take(int64(bytes)); err != nil {
		return err
	}
	b.pieces = append(b.pieces, newPiece(bytes))
	return nil
}

// Retain keeps the pieces until a further Release. It returns false if the body was
// released already; the body must not be read then.
func (b *Body) Retain() bool {
	if b == nil || b.lease == nil {
		return true
	}
	for {
		refs := b.refs.Load()
		if refs == 0 {
			return false
		}
		if b.refs.CompareAndSwap(refs, refs+1) {
			return true
		}
	}
}

// Release ends the use of the body by its owner or by one who has retained it. The last one
// gives the pieces back.
func (b *Body) Release() {
	if b == nil || b.lease == nil || b.refs.Add(-1) > 0 {
		return
	}
	held := 0
	for _, piece := range b.pieces {
		held += cap(piece)
		freePiece(piece)
	}
	b.pieces = nil
	b.lease.GiveBack(int64(held))
}

// Len returns the number of bytes of the body.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return b.size
}

// Bytes returns the bytes of the body. It copies them if the body has several pieces.
func (b *Body) Bytes() []byte {
	switch {
	case b == nil:
		return nil
	case len(b.pieces) == 1:
		return b.pieces[0]
	}
	return bytes.Join(b.pieces, nil)
}

// Whole returns the bytes of a body with at most one piece, and false for a body with
// several.
func (b *Body) Whole() ([]byte, bool) {
	if b == nil {
		return nil, true
	}
	if len(b.pieces) == 1 {
		return b.pieces[0], true
	}
	return nil, false
}

// WriteTo writes the body. It implements io.WriterTo.
func (b *Body) WriteTo(w io.Writer) (written int64, err error) {
	if b == nil {
		return 0, nil
	}
	for _, piece := range b.pieces {
		n, err := w.Write(piece)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// NewReader returns a reader of the body from its start.
func (b *Body) NewReader() io.Reader { return &bodyReader{body: b} }

// bodyReader reads a Body. It implements io.WriterTo, so that pieces are written without a
// copy.
type bodyReader struct {
	body *Body
	// piece and offset are where the next Read begins.
	piece, offset int
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if r.body == nil || r.piece == len(r.body.pieces) {
		return 0, io.EOF
	}
	n := copy(p, r.body.pieces[r.piece][r.offset:])
	if r.offset += n; r.offset == len(r.body.pieces[r.piece]) {
		r.piece, r.offset = r.piece+1, 0
	}
	return n, nil
}

// WriteTo implements io.WriterTo. It writes the whole body.
func (r *bodyReader) WriteTo(w io.Writer) (int64, error) { return r.body.WriteTo(w) }
