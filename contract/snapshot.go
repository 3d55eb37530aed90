package contract

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrDamagedSnapshot says that a snapshot is damaged, truncated or of an
// unknown format and must not be used.
var ErrDamagedSnapshot = errors.New("contract: the snapshot is damaged")

// snapshotHeader starts a snapshot: format, SHA-256 and length of the JSON that
// follows. The format number changes with the JSON, so that an older process
// refuses a configuration that it would misread.
const snapshotHeader = "almondstile-snapshot 1 %s %d\n"

// EncodeSnapshot returns the stored form of a configuration.
func EncodeSnapshot(c *Configuration) ([]byte, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encoding snapshot")
	}
	return append(headerOf(body), body...), nil
}

func headerOf(body []byte) []byte {
	sum := sha256.Sum256(body)
	return fmt.Appendf(nil, snapshotHeader, hex.EncodeToString(sum[:]), len(body))
}

// DecodeSnapshot returns the configuration of a snapshot, or an error that is
// ErrDamagedSnapshot unless every byte is as it was encoded.
func DecodeSnapshot(data []byte) (*Configuration, error) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		return nil, errors.Wrap(ErrDamagedSnapshot, "no header")
	}
	header, body := data[:end+1], data[end+1:]
	if !bytes.Equal(header, headerOf(body)) {
		return nil, errors.Wrap(ErrDamagedSnapshot, "header does not match the content")
	}
	c := new(Configuration)
	if err := unmarshalStrict(body, c); err != nil {
		return nil, errors.Wrapf(ErrDamagedSnapshot, "content: %v", err)
	}
	if err := Validate(c); err != nil {
		return nil, errors.Wrapf(ErrDamagedSnapshot, "configuration: %v", err)
	}
	return c, nil
}
