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

// MinSecretBytes is the least length of the shared secret of the VMs.
const MinSecretBytes = 32

// ErrAuthentication says that a peer did not prove that it knows the secret.
var ErrAuthentication = errors.New("link: the peer failed authentication")

// Secret authenticates VMs to each other.
type Secret []byte

// Roles in the handshake, part of each proof so that one side's proof cannot be
// reflected as the other's.
const (
	dialer   = "dialer"
	acceptor = "acceptor"
)

// MAC returns the HMAC-SHA256 of the parts. Each part is preceded by its
// length, so that different lists of parts never have the same MAC input.
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

// Verify reports whether mac is the MAC of the parts, in constant time.
func (s Secret) Verify(mac []byte, parts ...[]byte) bool {
	return hmac.Equal(mac, s.MAC(parts...))
}

// proof is the hex MAC by which one side of a handshake shows that it knows the
// secret and has seen both challenges.
func (s Secret) proof(side string, dialerID, acceptorID vm.ID, dialerChallenge, acceptorChallenge string) string {
	return hex.EncodeToString(s.MAC([]byte(side), []byte(dialerID), []byte(acceptorID),
		[]byte(dialerChallenge), []byte(acceptorChallenge)))
}

const challengeBytes = 16

func newChallenge() string {
	b := make([]byte, challengeBytes)
	_, _ = rand.Read(b) // never fails; see crypto/rand
	return hex.EncodeToString(b)
}

func equalProof(a, b string) bool {
	return hmac.Equal([]byte(strings.ToLower(a)), []byte(b))
}
