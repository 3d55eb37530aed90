package contract

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrDamagedSnapshot is returned for a snapshot that is damaged, truncated, of an
// unknown format or invalid. Such a snapshot must not be used.
var ErrDamagedSnapshot = errors.New("contract: the snapshot is damaged")

// snapshotHeaderFormat is the format of the first line of a snapshot. The line
// holds the format number, and the SHA-256 and the length in bytes of the JSON
// that follows. The format number must change whenever the meaning of the JSON
// changes, so that older processes reject a configuration that they would
// misinterpret.
const snapshotHeaderFormat = "almondstile-snapshot 1 %s %d\n"

// EncodeSnapshot returns the stored form of a configuration: a header line,
// followed by the configuration in JSON.
func EncodeSnapshot(c *Configuration) ([]byte, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encoding snapshot")
	}
	return append(encodeHeader(body), body...), nil
}

// Digest returns the SHA-256 of the configuration in hexadecimal. A version number
// does not identify a configuration if a table that lost versions gives them out
// again; the digest does.
func Digest(c *Configuration) (string, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return "", errors.Wrap(err, "encoding a configuration for its digest")
	}
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:]), nil
}

// encodeHeader returns the header line for a snapshot with the given JSON.
func encodeHeader(body []byte) []byte {
	sum := sha256.Sum256(body)
	return fmt.Appendf(nil, snapshotHeaderFormat, hex.EncodeToString(sum[:]), len(body))
}

// DecodeSnapshot decodes and validates a snapshot. The error is
// ErrDamagedSnapshot if any byte differs from what EncodeSnapshot returned, or if
// the configuration is invalid.
func DecodeSnapshot(data []byte) (*Configuration, error) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		return nil, errors.Wrap(ErrDamagedSnapshot, "the header line is missing")
	}
	header, body := data[:end+1], data[end+1:]
	if !bytes.Equal(header, encodeHeader(body)) {
		return nil, errors.Wrap(ErrDamagedSnapshot, "the header does not match the format, SHA-256 or length of the content")
	}
	c := new(Configuration)
	if err := unmarshalStrict(body, c); err != nil {
		return nil, errors.Wrapf(ErrDamagedSnapshot, "decoding the configuration: %v", err)
	}
	if err := Validate(c); err != nil {
		return nil, errors.Wrapf(ErrDamagedSnapshot, "validating the configuration: %v", err)
	}
	return c, nil
}
