package s3

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"almondstile/httpconn"
	"almondstile/store"

	"github.com/aws/aws-sdk-go-v2/aws"
	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/smithy-go"
	"github.com/cockroachdb/errors"
)

// Options holds the address, bucket and credentials of the object store and the
// limits of calls.
type Options struct {
	// Endpoint is the base URL of the service, for instance "http://10.0.0.1:8000".
	Endpoint string
	// Region is part of the request signature.
	Region string
	// Bucket is the name of the bucket that holds all objects.
	Bucket string
	// AccessKey and SecretKey are the credentials that sign the requests.
	AccessKey string
	SecretKey string
	// ConnectTimeout bounds the time to make a connection. The default is 500 ms.
	ConnectTimeout time.Duration
	// CallTimeout bounds the time of one call, including the transfer of the object.
	// The default is 10 s.
	CallTimeout time.Duration
	// MaxObjectBytes is the maximum size of an object that Get returns. The default
	// is 32 MiB.
	MaxObjectBytes int64
}

const (
	defaultConnectTimeout = 500 * time.Millisecond
	defaultCallTimeout    = 10 * time.Second
	defaultMaxObjectBytes = 32 << 20
)

// Store is a client of one bucket. It implements store.ObjectStore.
type Store struct {
	client         *s3.Client
	bucket         string
	callTimeout    time.Duration
	maxObjectBytes int64
}

// New returns a client, which connects at its first call.
func New(o Options) *Store {
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.MaxObjectBytes <= 0 {
		o.MaxObjectBytes = defaultMaxObjectBytes
	}
	client := s3.New(s3.Options{
		BaseEndpoint: aws.String(o.Endpoint),
		Region:       o.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(o.AccessKey, o.SecretKey, ""),
		Retryer:      aws.NopRetryer{},
		UsePathStyle: true,
		// The objects contain their own checksums, and not every S3 service supports
		// the newer checksum headers.
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		HTTPClient:                 &http.Client{Transport: httpconn.NewTransport(&net.Dialer{Timeout: o.ConnectTimeout})},
	})
	return &Store{client: client, bucket: o.Bucket, callTimeout: o.CallTimeout, maxObjectBytes: o.MaxObjectBytes}
}

// Put implements store.ObjectStore. A write that fails is marked store.ErrNotDone or
// store.ErrUnknownOutcome.
func (s *Store) Put(ctx context.Context, name string, data []byte) error {
	if err := ctx.Err(); err != nil {
		return errors.Wrap(store.ErrNotDone, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout)
	defer cancel()
	_, err := s.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: &s.bucket, Key: &name, Body: bytes.NewReader(data), ContentLength: aws.Int64(int64(len(data))),
	})
	if err != nil {
		return store.ClassifyWrite(errors.Wrapf(err, "writing object %q", name), failureFrom(err))
	}
	return nil
}

// Get implements store.ObjectStore. It returns an error marked store.ErrNotDone for
// an object that is truncated or exceeds MaxObjectBytes.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout)
	defer cancel()
	out, err := s.client.GetObject(ctx, &s3.GetObjectInput{Bucket: &s.bucket, Key: &name})
	if err != nil {
		if failureFrom(err).Code == "NoSuchKey" {
			return nil, errors.Mark(errors.Wrapf(err, "object %q does not exist", name), store.ErrNotFound)
		}
		return nil, store.ClassifyRead(errors.Wrapf(err, "reading object %q", name))
	}
	defer func() { _ = out.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(out.Body, s.maxObjectBytes+1))
	if err != nil {
		return nil, store.ClassifyRead(errors.Wrapf(err, "reading object %q", name))
	}
	if int64(len(data)) > s.maxObjectBytes {
		return nil, errors.Wrapf(store.ErrNotDone, "object %q exceeds the limit of %d bytes", name, s.maxObjectBytes)
	}
	if out.ContentLength != nil && *out.ContentLength != int64(len(data)) {
		return nil, errors.Wrapf(store.ErrNotDone, "the response with object %q is truncated", name)
	}
	return data, nil
}

// failureFrom returns the HTTP status and the service's error code that an error of
// the client library contains.
func failureFrom(err error) (failure store.Failure) {
	var response *awshttp.ResponseError
	if errors.As(err, &response) {
		failure.Status = response.HTTPStatusCode()
	}
	var apiError smithy.APIError
	if errors.As(err, &apiError) {
		failure.Code = apiError.ErrorCode()
	}
	return failure
}
