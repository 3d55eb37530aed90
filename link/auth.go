package link

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"strings"

	"almondstile/vm"

	"github.com/cockroachdb/errors"
)

// MinSecretBytes is the minimum length of the secret that all VMs share.
const MinSecretBytes = 32

// ErrAuthentication means that a peer did not prove that it knows the secret.
var ErrAuthentication = errors.New("link: the peer failed authentication")

// Secret is the secret that all VMs share and by which they authenticate each
// other.
type Secret []byte

// The sides of a handshake. Each proof contains its side, so that an attacker
// cannot send one side's proof back to it as the other side's proof.
const (
	dialer   = "dialer"
	acceptor = "acceptor"
)

// MAC returns the HMAC-SHA256 of the parts. Each part is prefixed with its
// length (8 bytes, little endian), so that different lists of parts never have
// the same MAC input.
func (s Secret) MAC(parts ...[]byte) []byte {
	return s.macOf(parts).Sum(nil)
}

// macOf returns the HMAC of the parts so far.
func (s Secret) macOf(parts [][]byte) hash.Hash {
	mac := hmac.New(sha256.New, s)
	for _, part := range parts {
		writePartSize(mac, len(part))
		mac.Write(part)
	}
	return mac
}

// MACOfStream is like MAC for a last part of the given size, which it reads piece by piece.
// It returns io.ErrUnexpectedEOF if that is shorter.
func (s Secret) MACOfStream(last io.Reader, size int, parts ...[]byte) ([]byte, error) {
	mac := s.macOf(parts)
	writePartSize(mac, size)
	if _, err := io.CopyN(mac, last, int64(size)); errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	} else if err != nil {
		return nil, err
	}
	return mac.Sum(nil), nil
}

// writePartSize writes the size of a part, so that no two lists of parts are the same bytes.
func writePartSize(mac hash.Hash, n int) {
	var size [8]byte
	for i := range size {
		size[i] = byte(n >> (8 * i))
	}
	mac.Write(size[:])
}

// Verify reports whether mac is the MAC of the parts. The comparison takes
// constant time.
func (s Secret) Verify(mac []byte, parts ...[]byte) bool {
	return hmac.Equal(mac, s.MAC(parts...))
}

// proof returns the hex MAC that one side of a handshake sends to prove that it
// knows the secret and has received both challenges. side is dialer or acceptor.
func (s Secret) proof(side string, dialerID, acceptorID vm.ID, dialerChallenge, acceptorChallenge string) string {
	return hex.EncodeToString(s.MAC([]byte(side), []byte(dialerID), []byte(acceptorID),
		[]byte(dialerChallenge), []byte(acceptorChallenge)))
}

const challengeBytes = 16

// newChallenge returns challengeBytes random bytes as hex digits.
func newChallenge() string {
	b := make([]byte, challengeBytes)
	_, _ = rand.Read(b) // crypto/rand documents that Read never returns an error
	return hex.EncodeToString(b)
}

// equalProof compares two proofs in constant time. The hex digits of a may be in
// upper case.
func equalProof(a, b string) bool {
	return hmac.Equal([]byte(strings.ToLower(a)), []byte(b))
}
