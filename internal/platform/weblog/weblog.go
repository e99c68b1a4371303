// Package weblog implements a client for a log service over HTTP. It registers as
// the log plug-in "http". docs/platform.md describes the format.
//
// # Usage
//
//	log, err := weblog.New("http://10.0.0.1:7000/log", weblog.DefaultWait)
//	offset, err := log.Append(ctx, payload)
//
// NewHandler serves any journal.Log in the same format, for development and
// tests.
package weblog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"chestnutbay.dev/chestnutbay/internal/base/kernel"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
)

// Name is the plug-in's name.
const Name = "http"

const (
	// DefaultWait is how long the service holds a read that finds no record. A
	// read proves the log's tail only as of the start of the read. After a wait
	// near the freshness limit of 4 s, that proof would be too old to be of use.
	DefaultWait = time.Second
	// MaxWait keeps reads well below the freshness limit.
	MaxWait = 2 * time.Second
	// maxBodyBytes limits the body of a response and of an append request.
	maxBodyBytes = 64 << 20
)

func init() {
	kernel.Register(journal.PluginKind, Name, kernel.Factory[journal.Log](open))
}

type options struct {
	// URL is the URL of the log, such as "http://10.0.0.1:7000/log".
	URL string `yaml:"url"`
	// Wait is how long a read may wait for new records, as a duration such as "1s".
	// If it is empty, DefaultWait applies.
	Wait string `yaml:"wait"`
}

func open(decode kernel.Decoder) (journal.Log, error) {
	var o options
	if err := decode(&o); err != nil {
		return nil, err
	}
	wait := DefaultWait
	if o.Wait != "" {
		var err error
		if wait, err = time.ParseDuration(o.Wait); err != nil {
			return nil, merry.Errorf("weblog: wait must be a duration such as %q, is %q", "1s", o.Wait)
		}
	}
	return New(o.URL, wait)
}

// Log is a client of a log service. It is safe for concurrent use.
type Log struct {
	url    string
	wait   time.Duration
	client *http.Client
}

// New returns a client for the log at the URL address. wait is how long a read may
// wait for new records, at most MaxWait.
func New(address string, wait time.Duration) (*Log, error) {
	u, err := url.Parse(address)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, merry.Errorf("weblog: url must be an http or https address, is %q", address)
	}
	if wait < 0 || wait > MaxWait {
		return nil, merry.Errorf("weblog: wait must be from 0 to %s, is %s", MaxWait, wait)
	}
	// net/http retries a POST only if no byte of it was written.
	return &Log{url: strings.TrimSuffix(address, "/"), wait: wait, client: &http.Client{Transport: new(http.Transport)}}, nil
}

type appendResponse struct {
	Offset journal.Offset `json:"offset"`
}

type readResponse struct {
	Records  []recordResponse `json:"records"`
	Next     journal.Offset   `json:"next"`
	Earliest journal.Offset   `json:"earliest"`
	Tail     bool             `json:"tail"`
}

type recordResponse struct {
	Offset   journal.Offset `json:"offset"`
	Appended time.Time      `json:"appended"`
	Payload  []byte         `json:"payload"`
}

// Append adds a record. Without a connection, and when the service refuses with 503
// or 429, the error matches journal.ErrUnavailable. Any other failure matches
// journal.ErrUnknown, because the append may have taken effect.
func (l *Log) Append(ctx context.Context, payload []byte) (journal.Offset, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, l.url+"/records", bytes.NewReader(payload))
	if err != nil {
		return 0, merry.Errorf("weblog.Append: %w: %w", journal.ErrUnavailable, err)
	}
	request.Header.Set("Content-Type", "application/octet-stream")
	// Without GetBody, net/http never retries the request.
	request.GetBody = nil
	resp, err := l.client.Do(request)
	if err != nil {
		return 0, merry.Errorf("weblog.Append: %w: %w", appendFailure(err), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		return 0, merry.Errorf("weblog.Append: %s: %w", resp.Status, journal.ErrUnavailable)
	}
	if resp.StatusCode != http.StatusCreated {
		return 0, merry.Errorf("weblog.Append: %s: %w", resp.Status, journal.ErrUnknown)
	}
	var a appendResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&a); err != nil {
		return 0, merry.Errorf("weblog.Append: %w: %w", journal.ErrUnknown, err)
	}
	return a.Offset, nil
}

// appendFailure returns journal.ErrUnavailable if no connection was made, and
// journal.ErrUnknown if the response was lost.
func appendFailure(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return journal.ErrUnavailable
	}
	return journal.ErrUnknown
}

// Read returns at most limit records, beginning with the offset from. When there
// are none, the service waits for new ones for the client's wait time.
func (l *Log) Read(ctx context.Context, from journal.Offset, limit int) (journal.Batch, error) {
	address := fmt.Sprintf("%s/records?from=%d&limit=%d&wait=%d", l.url, from, limit, l.wait.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return journal.Batch{}, merry.Errorf("weblog.Read: %w: %w", journal.ErrUnavailable, err)
	}
	resp, err := l.client.Do(request)
	if err != nil {
		return journal.Batch{}, merry.Errorf("weblog.Read: %w: %w", journal.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	var a readResponse
	err = json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&a)
	if resp.StatusCode == http.StatusGone && err == nil {
		return journal.Batch{}, merry.Prepend(journal.NewExpired(a.Earliest), "weblog.Read")
	}
	if resp.StatusCode != http.StatusOK || err != nil {
		return journal.Batch{}, merry.Errorf("weblog.Read: %s, %v: %w", resp.Status, err, journal.ErrUnavailable)
	}
	records := make([]journal.Record, len(a.Records))
	for i, r := range a.Records {
		if r.Offset != from+journal.Offset(i) {
			return journal.Batch{}, merry.Errorf("weblog.Read: record has offset %d, want %d: %w", r.Offset, from+journal.Offset(i), journal.ErrUnavailable)
		}
		records[i] = journal.NewRecord(r.Offset, r.Appended, r.Payload)
	}
	return journal.NewBatch(records, a.Next, a.Earliest, a.Tail), nil
}

// pollInterval is the time between a handler's reads of the log while a client's
// read waits for new records.
const pollInterval = 20 * time.Millisecond

// maxReadRecords is the largest number of records in one response.
const maxReadRecords = 4096

// NewHandler serves a log in the format of docs/platform.md.
func NewHandler(log journal.Log) http.Handler {
	h := handler{log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /records", h.append)
	mux.HandleFunc("GET /records", h.read)
	return mux
}

type handler struct {
	log journal.Log
}

func (h handler) append(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, err := h.log.Append(r.Context(), payload)
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	writeJSON(w, http.StatusCreated, appendResponse{Offset: offset})
}

func (h handler) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.FormValue("from"), 10, 64)
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit < 1 {
		limit = maxReadRecords
	}
	wait, _ := strconv.Atoi(r.FormValue("wait"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		batch, err := h.log.Read(r.Context(), journal.Offset(from), min(limit, maxReadRecords))
		var expired *journal.Expired
		if errors.As(err, &expired) {
			writeJSON(w, http.StatusGone, readResponse{Next: expired.Earliest(), Earliest: expired.Earliest()})
			return
		}
		if err != nil {
			http.Error(w, err.Error(), statusOf(err))
			return
		}
		if len(batch.Records()) > 0 || !time.Now().Before(deadline) {
			writeJSON(w, http.StatusOK, newReadResponse(batch))
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pollInterval):
		}
	}
}

func newReadResponse(b journal.Batch) readResponse {
	a := readResponse{Records: []recordResponse{}, Next: b.Next(), Earliest: b.Earliest(), Tail: b.AtTail()}
	for _, r := range b.Records() {
		a.Records = append(a.Records, recordResponse{Offset: r.Offset(), Appended: r.Appended(), Payload: r.Payload()})
	}
	return a
}

func statusOf(err error) int {
	if errors.Is(err, journal.ErrUnavailable) {
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // The client detects an incomplete response.
}
