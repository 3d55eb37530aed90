package platformsim

import (
	"encoding/xml"
	"io"
	"net/http"
	"strconv"

	"almondstile/store"

	"github.com/cockroachdb/errors"
)

// s3Error is the body of an S3 error response.
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
	objects := p.Client(clientOf(r)).Objects()
	err = objects.Put(callContext(r), objectName(r), data)
	if err != nil {
		failS3(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) serveObjectGet(w http.ResponseWriter, r *http.Request) {
	data, err := p.Client(clientOf(r)).Objects().Get(callContext(r), objectName(r))
	if err != nil {
		failS3(w, err)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

func objectName(r *http.Request) string { return r.PathValue("name") }

func failS3(w http.ResponseWriter, err error) {
	switch {
	case dropIfLost(w, err):
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
