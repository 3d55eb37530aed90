package httpconn

import (
	"bytes"
	"strconv"
)

// maxChunkLineBytes is the largest accepted size of a chunk's first line.
const maxChunkLineBytes = 4096

// chunkScanner follows the chunks of a body to its trailer and checks the trailer. The
// reader of the body checks the chunks; the scanner only needs to know where they end.
type chunkScanner struct {
	// toSkip is the number of bytes up to the end of the current chunk.
	toSkip int64
	// line holds what was received of the first line of a chunk.
	line []byte
	// inTrailer says that the last chunk was received.
	inTrailer bool
	// trailer holds what was received of the trailer.
	trailer []byte
	scanner headScanner
	// ended says that the trailer was complete.
	ended bool
}

// scan checks the next bytes of the body. Bytes behind the end of the trailer are an
// error, because no request asked for them.
func (s *chunkScanner) scan(b []byte) error {
	for len(b) > 0 && !s.inTrailer {
		if s.toSkip > 0 {
			n := min(s.toSkip, int64(len(b)))
			s.toSkip -= n
			b = b[n:]
			continue
		}
		size := bytes.IndexByte(b, '\n') + 1
		if size == 0 {
			s.line = append(s.line, b...)
			return s.checkLineSize()
		}
		s.line = append(s.line, b[:size]...)
		b = b[size:]
		if err := s.endLine(); err != nil {
			return err
		}
	}
	return s.scanTrailer(b)
}

// checkLineSize returns an error if the first line of a chunk is too long.
func (s *chunkScanner) checkLineSize() error {
	if len(s.line) > maxChunkLineBytes {
		return newViolation(ViolationFraming, "the line of a chunk has over %d bytes", maxChunkLineBytes)
	}
	return nil
}

// endLine handles the first line of a chunk when it is complete.
func (s *chunkScanner) endLine() error {
	if err := s.checkLineSize(); err != nil {
		return err
	}
	digits := s.line[:len(s.line)-len(bytes.TrimLeft(s.line, "0123456789abcdefABCDEF"))]
	size, err := strconv.ParseInt(string(digits), 16, 48)
	if err != nil {
		return newViolation(ViolationFraming, "the size of a chunk: %.*q", maxQuotedBytes, s.line)
	}
	s.line = s.line[:0]
	s.inTrailer = size == 0
	if size > 0 {
		s.toSkip = size + int64(len(crlf))
	}
	return nil
}

// scanTrailer checks the next bytes of the trailer.
func (s *chunkScanner) scanTrailer(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if s.ended {
		return newViolation(ViolationFraming, "bytes behind the end of the response")
	}
	s.scanner.trailer = true
	s.trailer = append(s.trailer, b...)
	var err error
	if s.ended, err = s.scanner.scan(s.trailer); err != nil {
		return err
	}
	switch {
	case s.ended && len(s.trailer) > s.scanner.checked:
		return newViolation(ViolationFraming, "bytes behind the end of the response")
	case len(s.trailer) > bufferBytes:
		return newViolation(ViolationFraming, "the trailer has over %d bytes", bufferBytes)
	}
	return nil
}
