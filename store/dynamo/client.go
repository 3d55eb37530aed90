package dynamo

import (
	"net"
	"net/http"
	"time"

	"almondstile/httpconn"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
)

// Options holds the address, name and credentials of the table and the time limits
// of calls.
type Options struct {
	// Endpoint is the base URL of the service, for instance "http://10.0.0.1:8000".
	Endpoint string
	// Region is part of the request signature.
	Region string
	// Table is the name of the table.
	Table string
	// AccessKey and SecretKey are the credentials that sign the requests.
	AccessKey string
	SecretKey string
	// ConnectTimeout bounds the time to make a connection. The default is 500 ms.
	ConnectTimeout time.Duration
	// CallTimeout bounds the time of one call with all its pages. The default is 2 s.
	CallTimeout time.Duration
}

const (
	defaultConnectTimeout = 500 * time.Millisecond
	defaultCallTimeout    = 2 * time.Second
	// maxIdleConnections is the number of idle connections that are kept for reuse.
	// It covers the calls that one VM has in flight at a time.
	maxIdleConnections = 8
)

// Table is a client of one table. It implements store.Table.
type Table struct {
	client      *dynamodb.Client
	name        string
	callTimeout time.Duration
}

// New returns a client, which connects at its first call.
func New(o Options) *Table {
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultCallTimeout
	}
	transport := httpconn.NewTransport(&net.Dialer{Timeout: o.ConnectTimeout})
	transport.MaxIdleConnsPerHost = maxIdleConnections
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(o.Endpoint),
		Region:       o.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(o.AccessKey, o.SecretKey, ""),
		Retryer:      aws.NopRetryer{},
		HTTPClient:   &http.Client{Transport: transport},
	})
	return &Table{client: client, name: o.Table, callTimeout: o.CallTimeout}
}
