package dynamo

import (
	"net"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
)

// Options says where the table is and how long calls may take.
type Options struct {
	// Endpoint is the base URL of the service, for instance "http://10.0.0.1:8000".
	Endpoint string
	// Region is part of the request signature.
	Region string
	// Table is the name of the table.
	Table string
	// AccessKey and SecretKey sign the requests.
	AccessKey string
	SecretKey string
	// ConnectTimeout bounds making a connection. Default 500 ms.
	ConnectTimeout time.Duration
	// CallTimeout bounds one call as a whole. Default 2 s.
	CallTimeout time.Duration
}

const (
	defaultConnectTimeout = 500 * time.Millisecond
	defaultCallTimeout    = 2 * time.Second
	// maxIdleConnections covers the calls that one VM has in flight.
	maxIdleConnections = 8
)

// Table is a client of one table.
type Table struct {
	client      *dynamodb.Client
	name        string
	callTimeout time.Duration
}

// New returns a client. It does not connect before the first call.
func New(o Options) *Table {
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultCallTimeout
	}
	dialer := &net.Dialer{Timeout: o.ConnectTimeout}
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(o.Endpoint),
		Region:       o.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(o.AccessKey, o.SecretKey, ""),
		Retryer:      aws.NopRetryer{},
		HTTPClient: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConnections,
		}},
	})
	return &Table{client: client, name: o.Table, callTimeout: o.CallTimeout}
}
