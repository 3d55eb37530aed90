package link

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
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
	mac := hmac.New(sha256.New, s)
	for _, part := range parts {
		var size [8]byte
		for i, n := 0, len(part); i < len(size); i, n = i+1, n>>8 {
			size[i] = byte(n)
		}
		mac.Write(size[:])
		mac.Write(part)
	}
	return mac.Sum(nil)
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
