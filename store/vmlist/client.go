package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"almondstile/httpconn"
	"almondstile/store"

	"github.com/cockroachdb/errors"
)

// Options holds the address of the VM list and the time limit of a call.
type Options struct {
	// URL is the full address of the list, for instance "http://10.0.0.1:8000/_vms".
	URL string
	// CallTimeout bounds the time of one call. The default is 2 s.
	CallTimeout time.Duration
}

const (
	defaultCallTimeout = 2 * time.Second
	// maxListBytes is the maximum size of the list. A list of 420 VMs has about 20 kB.
	maxListBytes = 1 << 20
)

// Client reads the VM list. It implements store.VMList.
type Client struct {
	http *http.Client
	url  string
}

// New returns a client, which connects at its first call.
func New(o Options) *Client {
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultCallTimeout
	}
	return &Client{http: &http.Client{Timeout: o.CallTimeout, Transport: httpconn.NewTransport(&net.Dialer{})}, url: o.URL}
}

// List implements store.VMList. All its errors are marked store.ErrNotDone.
func (c *Client) List(ctx context.Context) ([]store.ListedVM, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, store.ClassifyRead(errors.Wrap(err, "reading the VM list"))
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, store.ClassifyRead(errors.Wrap(err, "reading the VM list"))
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(store.ErrNotDone, "reading the VM list: the service returned status %d", response.StatusCode)
	}
	var vms []store.ListedVM
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&vms); err != nil {
		return nil, store.ClassifyRead(errors.Wrap(err, "decoding the VM list"))
	}
	return vms, nil
}
