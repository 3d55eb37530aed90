package forward

import (
	"almondstile/link"
	"almondstile/memory"
)

// seal encodes a whole message.
func seal(secret link.Secret, macContext []byte, envelope any, body []byte) ([]byte, error) {
	head, err := sealHead(secret, macContext, envelope, memory.BodyOf(body))
	return append(head, body...), err
}
