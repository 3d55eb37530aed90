package platformsim

import (
	"encoding/xml"
	"io"
	"net/http"
	"strconv"

	"almondstile/store"

	"github.com/cockroachdb/errors"
)

// s3Error is the body of an S3 error response. Its element names are part of the
// protocol.
type s3Error struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

func (p *Platform) serveObjectPut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeS3Error(w, http.StatusBadRequest, "IncompleteBody", err)
		return
	}
	objects := p.Client(clientIDOf(r)).Objects()
	err = objects.Put(detachedContext(r), objectName(r), data)
	if err != nil {
		respondWithS3Error(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) serveObjectGet(w http.ResponseWriter, r *http.Request) {
	data, err := p.Client(clientIDOf(r)).Objects().Get(detachedContext(r), objectName(r))
	if err != nil {
		respondWithS3Error(w, err)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// objectName returns the object's name from the request path, without the
// bucket: all buckets share one set of objects.
func objectName(r *http.Request) string { return r.PathValue("name") }

// respondWithS3Error sends the S3 error response for err, or closes the
// connection if the response is to be lost.
func respondWithS3Error(w http.ResponseWriter, err error) {
	switch {
	case closeIfResponseLost(w, err):
	case errors.Is(err, store.ErrNotFound):
		writeS3Error(w, http.StatusNotFound, "NoSuchKey", err)
	case errors.Is(err, errThrottled):
		writeS3Error(w, http.StatusServiceUnavailable, "SlowDown", err)
	case errors.Is(err, errInvalid):
		writeS3Error(w, http.StatusBadRequest, "InvalidRequest", err)
	default:
		writeS3Error(w, http.StatusServiceUnavailable, "ServiceUnavailable", err)
	}
}

func writeS3Error(w http.ResponseWriter, status int, code string, err error) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_ = xml.NewEncoder(w).Encode(s3Error{Code: code, Message: err.Error()})
}
