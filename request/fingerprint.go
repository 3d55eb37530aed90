package request

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies requests with the same team, method, target and body. A
// request that the caller retries has the fingerprint of the first one. It is the
// hex form of a truncated SHA-256 hash.
type Fingerprint string

// fingerprintBytes is the length of the truncated hash. With 128 bits, a team
// cannot in practice construct a request that has the fingerprint of another
// team's request.
const fingerprintBytes = 16

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(r *Request) Fingerprint {
	h := sha256.New()
	var lengthPrefix [8]byte
	hashLength := func(n int) {
		// The length prefix separates the parts: "ab"+"c" must differ from "a"+"bc".
		binary.BigEndian.PutUint64(lengthPrefix[:], uint64(n))
		h.Write(lengthPrefix[:])
	}
	hashPart := func(b []byte) {
		hashLength(len(b))
		h.Write(b)
	}
	hashPart([]byte(r.Team))
	hashPart([]byte(r.Method))
	hashPart([]byte(r.Target))
	hashLength(r.Body.Len())
	_, _ = r.Body.WriteTo(h) // a hash returns no error
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}
