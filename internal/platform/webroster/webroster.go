// Package webroster reads the VM list from an HTTP service. It registers as the
// VM list plug-in "http". docs/platform.md describes the format.
//
// # Usage
//
//	list, err := webroster.New("http://10.0.0.1:7000/vms")
//	listing, err := list.Read(ctx)
package webroster

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"

	"chestnutbay.dev/chestnutbay/internal/base/kernel"
	"chestnutbay.dev/chestnutbay/internal/platform/roster"
)

// Name is the plug-in's name.
const Name = "http"

const (
	// timeout bounds one read.
	timeout = 5 * time.Second
	// maxResponseBytes limits a response; 15,000 instances take about 2 MB.
	maxResponseBytes = 32 << 20
)

// ErrUnavailable reports a VM list that did not respond with status 200.
var ErrUnavailable = merry.Sentinel("VM list unavailable")

func init() {
	kernel.Register(roster.PluginKind, Name, kernel.Factory[roster.List](open))
}

type options struct {
	// URL is the URL of the VM list.
	URL string `yaml:"url"`
}

func open(decode kernel.Decoder) (roster.List, error) {
	var o options
	if err := decode(&o); err != nil {
		return nil, err
	}
	return New(o.URL)
}

// List is a client of a VM list service. It is safe for concurrent use.
type List struct {
	url    string
	client *http.Client
}

// New returns a client for the VM list at the URL address.
func New(address string) (*List, error) {
	u, err := url.Parse(address)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, merry.Errorf("webroster: url must be an http or https address, is %q", address)
	}
	return &List{url: address, client: &http.Client{Timeout: timeout, Transport: new(http.Transport)}}, nil
}

// Read requests the current listing. The error matches ErrUnavailable if the
// service does not respond with status 200, and roster.ErrInvalid if the response
// cannot be used.
func (l *List) Read(ctx context.Context) (roster.Listing, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return roster.Listing{}, merry.Errorf("webroster.Read: %w: %w", ErrUnavailable, err)
	}
	resp, err := l.client.Do(request)
	if err != nil {
		return roster.Listing{}, merry.Errorf("webroster.Read: %w: %w", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return roster.Listing{}, merry.Errorf("webroster.Read: %s: %w", resp.Status, ErrUnavailable)
	}
	var f roster.File
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&f); err != nil {
		return roster.Listing{}, merry.Errorf("webroster.Read: %w: %w", roster.ErrInvalid, err)
	}
	listing, err := f.Listing()
	if err != nil {
		return roster.Listing{}, merry.Prepend(err, "webroster.Read")
	}
	return listing, nil
}
