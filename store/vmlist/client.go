package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"almondstile/store"

	"github.com/cockroachdb/errors"
)

// Options says where the VM list is and how long a call may take.
type Options struct {
	// URL is the full address of the list, for instance "http://10.0.0.1:8000/_vms".
	URL string
	// CallTimeout bounds one call as a whole. Default 2 s.
	CallTimeout time.Duration
}

const (
	defaultCallTimeout = 2 * time.Second
	// maxListBytes bounds the response; 420 VMs take about 20 kB.
	maxListBytes = 1 << 20
)

// Client reads the VM list.
type Client struct {
	http *http.Client
	url  string
}

// New returns a client. It does not connect before the first call.
func New(o Options) *Client {
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultCallTimeout
	}
	return &Client{http: &http.Client{Timeout: o.CallTimeout, Transport: &http.Transport{}}, url: o.URL}
}

// List implements store.VMList.
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
		return nil, errors.Wrapf(store.ErrNotDone, "reading the VM list: status %d", response.StatusCode)
	}
	var vms []store.ListedVM
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&vms); err != nil {
		return nil, store.ClassifyRead(errors.Wrap(err, "decoding the VM list"))
	}
	return vms, nil
}
