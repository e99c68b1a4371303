package office

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/report/burn"
)

// Timeouts of the client.
const (
	// dialTimeout bounds the time to connect to a node.
	dialTimeout = 2 * time.Second
	// callTimeout bounds one request to a node. It is longer than a node waits for a
	// change to be in force.
	callTimeout = 30 * time.Second
)

// maxResponseBytes bounds the size of a response. A report over burn.MaxPairs pairs takes
// about 100 MB.
const maxResponseBytes = 1 << 28

// Client calls the API of the first available one of several nodes.
type Client struct {
	addresses []string
	token     string
	http      *http.Client
}

// NewClient returns a client that tries the addresses (ip:port) in order.
func NewClient(addresses []string, token string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext}
	return &Client{
		addresses: addresses,
		token:     token,
		http:      &http.Client{Transport: transport, Timeout: callTimeout},
	}
}

// AcceptedChange is a change that was accepted, with its ID, the name of the changed
// document and the receipt.
type AcceptedChange struct {
	id      string
	subject string
	receipt Receipt
}

// ID returns the ID of the change.
func (a AcceptedChange) ID() string { return a.id }

// Subject returns the changed document, such as "zone/north".
func (a AcceptedChange) Subject() string { return a.subject }

// Receipt returns the version and the nodes on which it is in force.
func (a AcceptedChange) Receipt() Receipt { return a.receipt }

// MarshalJSON returns the change in the JSON form of the API.
func (a AcceptedChange) MarshalJSON() ([]byte, error) {
	return json.Marshal(wireReceipt{
		ID: a.id, Subject: a.subject, Version: a.receipt.version,
		Confirmed: a.receipt.confirmed, Missing: a.receipt.missing,
	})
}

// Publish sets a document if base is still its version. id is the ID of the change: a
// change that is sent again with the same ID takes effect only once.
func (c *Client) Publish(ctx context.Context, id string, base ledger.Version, document []byte) (AcceptedChange, error) {
	return c.sendChange(ctx, call{
		method: http.MethodPost, path: "/v1/documents", body: document,
		query: url.Values{"id": {id}, "base": {strconv.FormatInt(int64(base), 10)}},
	})
}

// WithdrawKey permanently withdraws the key that has the given hash.
func (c *Client) WithdrawKey(ctx context.Context, id string, hash contract.KeyHash) (AcceptedChange, error) {
	return c.sendChange(ctx, call{
		method: http.MethodDelete, path: "/v1/keys/" + hash.String(), query: url.Values{"id": {id}},
	})
}

// ZoneOut takes an availability zone out of service.
func (c *Client) ZoneOut(ctx context.Context, id, zone string) (AcceptedChange, error) {
	return c.sendChange(ctx, call{
		method: http.MethodPost, path: "/v1/zones/" + url.PathEscape(zone) + "/out", query: url.Values{"id": {id}},
	})
}

// ZoneIn returns an availability zone to service if base is the version of the change
// that last took it out.
func (c *Client) ZoneIn(ctx context.Context, id string, base ledger.Version, zone string) (AcceptedChange, error) {
	return c.sendChange(ctx, call{
		method: http.MethodPost, path: "/v1/zones/" + url.PathEscape(zone) + "/in",
		query: url.Values{"id": {id}, "base": {strconv.FormatInt(int64(base), 10)}},
	})
}

// Status returns the state of the fleet as the first reachable node sees it.
func (c *Client) Status(ctx context.Context) (FleetState, error) {
	var s FleetState
	err := c.read(ctx, "/v1/status", nil, &s)
	return s, err
}

// Events returns at most limit events about a subject from all nodes.
func (c *Client) Events(ctx context.Context, subject string, limit int) (EventList, error) {
	var list EventList
	err := c.read(ctx, "/v1/events", url.Values{"subject": {subject}, "limit": {strconv.Itoa(limit)}}, &list)
	return list, err
}

// Burn returns the use of the error budgets over all nodes.
func (c *Client) Burn(ctx context.Context, q burn.Query) (*burn.Report, error) {
	query := url.Values{}
	if q.Account != "" {
		query.Set("account", q.Account)
	}
	if q.Limit > 0 {
		query.Set("limit", strconv.Itoa(q.Limit))
	}
	r := new(burn.Report)
	err := c.read(ctx, "/v1/burn", query, r)
	return r, err
}

// Document is a published document with its version.
type Document struct {
	text    []byte
	version ledger.Version
}

// Text returns the document as YAML.
func (d Document) Text() []byte { return d.text }

// Version returns the document's version, which is the base for its next change.
func (d Document) Version() ledger.Version { return d.version }

// Contract returns the contract of a client account.
func (c *Client) Contract(ctx context.Context, account string) (Document, error) {
	return c.document(ctx, "/v1/contracts/"+url.PathEscape(account))
}

// Service returns the document of a service.
func (c *Client) Service(ctx context.Context, name string) (Document, error) {
	return c.document(ctx, "/v1/services/"+url.PathEscape(name))
}

// Contracts returns the names of the client accounts that have a contract.
func (c *Client) Contracts(ctx context.Context) ([]string, error) {
	var list nameList
	err := c.read(ctx, "/v1/contracts", nil, &list)
	return list.Names, err
}

// Services returns the names of the services.
func (c *Client) Services(ctx context.Context) ([]string, error) {
	var list nameList
	err := c.read(ctx, "/v1/services", nil, &list)
	return list.Names, err
}

// call is a request to the API of any node.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
}

// response is a successful response of a node.
type response struct {
	header http.Header
	body   []byte
}

// sendChange sends a change and decodes the receipt.
func (c *Client) sendChange(ctx context.Context, request call) (AcceptedChange, error) {
	resp, err := c.do(ctx, request)
	if err != nil {
		return AcceptedChange{}, err
	}
	var f wireReceipt
	if err := json.Unmarshal(resp.body, &f); err != nil {
		return AcceptedChange{}, merry.Errorf("Client.sendChange: the response could not be decoded: %w: %w", ErrUnknown, err)
	}
	return AcceptedChange{id: f.ID, subject: f.Subject, receipt: NewReceipt(f.Version, f.Confirmed, f.Missing)}, nil
}

// read gets a path and decodes the JSON response into v.
func (c *Client) read(ctx context.Context, path string, query url.Values, v any) error {
	resp, err := c.do(ctx, call{method: http.MethodGet, path: path, query: query})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(resp.body, v); err != nil {
		return merry.Errorf("Client.read %s: %w", path, err)
	}
	return nil
}

// document gets the document at a path and its version.
func (c *Client) document(ctx context.Context, path string) (Document, error) {
	resp, err := c.do(ctx, call{method: http.MethodGet, path: path})
	if err != nil {
		return Document{}, err
	}
	version, err := strconv.ParseInt(resp.header.Get(versionHeader), 10, 64)
	if err != nil {
		return Document{}, merry.Errorf("Client.document %s: the response has no valid version: %w", path, err)
	}
	return Document{text: resp.body, version: ledger.Version(version)}, nil
}

// do sends a call to the addresses in order, until a node returns a final response. After
// a failed attempt it tries the next address even for a change, because a change that is
// sent again with the same ID takes effect only once. If all attempts fail, do returns
// the error with the highest errorRank.
func (c *Client) do(ctx context.Context, request call) (response, error) {
	var worstErr error
	for _, address := range c.addresses {
		if ctx.Err() != nil && worstErr == nil {
			return response{}, merry.Errorf("Client.do: %w: %w", ErrUnreachable, ctx.Err())
		}
		resp, err := c.attempt(ctx, address, request)
		if err == nil {
			return resp, nil
		}
		var f *Failure
		if errors.As(err, &f) && errorRank(err) == 0 {
			return response{}, err
		}
		if worstErr == nil || errorRank(err) > errorRank(worstErr) {
			worstErr = err
		}
	}
	if worstErr == nil {
		worstErr = merry.Errorf("Client.do: no address given: %w", ErrUnreachable)
	}
	return response{}, worstErr
}

// errorRank ranks the errors of an attempt; do returns the error with the highest rank.
// ErrUnknown has the highest, because the outcome of a change that may have reached a
// node stays unknown whatever other nodes respond later. Rank 0 stands for other errors;
// a Failure of rank 0 is final, and no other node is tried.
func errorRank(err error) int {
	switch {
	case errors.Is(err, ErrUnknown):
		return 3
	case errors.Is(err, ErrUnavailable):
		return 2
	case errors.Is(err, ErrUnreachable):
		return 1
	}
	return 0
}

// attempt sends a call to one address.
func (c *Client) attempt(ctx context.Context, address string, request call) (response, error) {
	u := url.URL{Scheme: "http", Host: address, Path: request.path, RawQuery: request.query.Encode()}
	r, err := http.NewRequestWithContext(ctx, request.method, u.String(), bytes.NewReader(request.body))
	if err != nil {
		return response{}, merry.Errorf("Client.attempt %s: %w: %w", address, ErrUnreachable, err)
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(r)
	if err != nil {
		return response{}, attemptError(address, request, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, attemptError(address, request, err)
	}
	if resp.StatusCode != http.StatusOK {
		return response{}, responseError(address, resp.StatusCode, body)
	}
	return response{header: resp.Header, body: body}, nil
}

// attemptError classifies the error of an attempt that got no complete response. If the
// connection was never established or the call only reads, nothing was changed and the
// error matches ErrUnreachable. Otherwise a change may have taken effect and the error
// matches ErrUnknown.
func attemptError(address string, request call, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return merry.Errorf("Client.attempt %s: %w: %w", address, ErrUnreachable, err)
	}
	if request.method == http.MethodGet {
		return merry.Errorf("Client.attempt %s: %w: %w", address, ErrUnreachable, err)
	}
	return merry.Errorf("Client.attempt %s: %w: %w", address, ErrUnknown, err)
}

// responseError returns the error for a response with a status other than 200.
func responseError(address string, status int, body []byte) error {
	f := new(Failure)
	if err := json.Unmarshal(body, &f.wire); err != nil || f.wire.Kind == "" {
		return merry.Errorf("Client.attempt %s: status %d without an error message", address, status)
	}
	return merry.Prependf(f, "%s", address)
}
