// Package load sends a limited number of requests through a fleet and checks the
// histories of callers and emulated targets.
//
// # Usage
//
//	report, err := load.Run(ctx, config)
//	report.WriteText(os.Stdout)
//	if len(report.Violations) > 0 {
//		os.Exit(1)
//	}
//
// Every request carries a unique ID in the header history.IDHeader. The targets'
// records are read at the end and compared with what callers saw. Only loopback
// addresses are accepted unless the configuration allows others.
package load

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/traffic/gateway"
	"chestnutbay.dev/chestnutbay/internal/trial/emulator"
	"chestnutbay.dev/chestnutbay/internal/trial/history"
)

const (
	// settleTime is the wait before the targets' records are read. Meanwhile
	// targets finish requests whose callers gave up.
	settleTime = time.Second
	// refusedPause is how long a caller without a fixed rate waits after a request
	// that did not succeed, so that it does not spin on refusals.
	refusedPause = 10 * time.Millisecond
	// maxResponseBytes limits how much of a response body is read.
	maxResponseBytes = 1 << 20
	// collectTimeout limits the time to read one target's record.
	collectTimeout = 30 * time.Second
)

// requestKind is what a request does.
type requestKind int

const (
	write requestKind = iota
	read
	upload
)

// request is a request to be sent at the time due.
type request struct {
	id      string
	node    string
	account Account
	kind    requestKind
	due     time.Time
}

// result is the result of a request for its caller. The latency counts from the
// time at which the request was due.
type result struct {
	attempt history.Attempt
	latency time.Duration
}

// run is the state of one call of Run.
type run struct {
	Config
	client *http.Client
	id     string
	start  time.Time

	mu         sync.Mutex
	random     *mathrand.Rand
	nextNumber int
	results    []result
}

// Run sends requests until their number or the duration is reached or ctx ends,
// and checks the histories.
func Run(ctx context.Context, c Config) (*Report, error) {
	if err := c.Check(); err != nil {
		return nil, merry.Prepend(err, "load.Run")
	}
	transport := &http.Transport{MaxIdleConnsPerHost: c.Callers}
	defer transport.CloseIdleConnections()
	r := &run{
		Config: c, id: rand.Text(), start: time.Now(),
		client: &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		random: mathrand.New(mathrand.NewPCG(c.Seed, 0)),
	}
	sendCtx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	var eg errgroup.Group
	for range c.Callers {
		eg.Go(func() error { return r.runCaller(ctx, sendCtx) })
	}
	if err := eg.Wait(); err != nil {
		return nil, err
	}
	elapsed := time.Since(r.start)
	pause(ctx, settleTime)
	return r.report(ctx, elapsed)
}

// refuseRedirect stops the client from following redirects, which could send load
// to a host that is not in the configuration.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// runCaller sends one request after the other. The end of sendCtx stops new
// requests; requests in flight still wait for their response.
func (r *run) runCaller(ctx, sendCtx context.Context) error {
	for {
		q, ok := r.nextRequest()
		if !ok || !pause(sendCtx, time.Until(q.due)) {
			return nil
		}
		res := r.send(ctx, q)
		r.mu.Lock()
		r.results = append(r.results, res)
		r.mu.Unlock()
		if r.Rate == 0 && res.attempt.Status != http.StatusOK {
			pause(sendCtx, refusedPause)
		}
	}
}

// pause waits for d or until ctx ends. It returns false when ctx has ended.
func pause(ctx context.Context, d time.Duration) bool {
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

// nextRequest returns the next request, or false when all have been sent. It uses
// the nodes in turn. With a rate, the due time of a request depends only on its
// number, not on how late earlier requests are.
func (r *run) nextRequest() (request, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.nextNumber >= r.Requests {
		return request{}, false
	}
	q := request{
		id:      fmt.Sprintf("%s-%d", r.id, r.nextNumber),
		node:    r.Nodes[r.nextNumber%len(r.Nodes)],
		account: r.Accounts[r.random.IntN(len(r.Accounts))],
		due:     time.Now(),
	}
	if r.Rate > 0 {
		q.due = r.start.Add(time.Duration(float64(r.nextNumber) / r.Rate * float64(time.Second)))
	}
	switch x := r.random.Float64(); {
	case x < r.Idempotent:
		q.kind = read
	case x < r.Idempotent+r.Uploads:
		q.kind = upload
	}
	r.nextNumber++
	return q, true
}

// httpForm returns the method, path and body size in bytes of a kind of request.
func (r *run) httpForm(k requestKind) (method, path string, size int64) {
	switch k {
	case read:
		return http.MethodGet, r.ReadPath, 0
	case upload:
		return http.MethodPost, r.UploadPath, r.UploadBytes
	default:
		return http.MethodPost, r.WritePath, 0
	}
}

// send sends a request and returns its result. The latency counts from the time at
// which the request was due. It therefore includes the delay of requests that
// callers could not send on time because the fleet stalled.
func (r *run) send(ctx context.Context, q request) result {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	res := result{attempt: history.Attempt{ID: q.id, Account: q.account.name, Idempotent: q.kind == read, Sent: time.Now()}}
	r.exchange(ctx, q, &res.attempt)
	res.latency = time.Since(q.due)
	return res
}

// exchange sends a request over HTTP and stores what the response says in a. The
// status stays 0 without a complete response.
func (r *run) exchange(ctx context.Context, q request, a *history.Attempt) {
	method, path, size := r.httpForm(q.kind)
	var body io.Reader = http.NoBody
	if size > 0 {
		body = io.LimitReader(zeros{}, size)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+q.node+path, body)
	if err != nil {
		return
	}
	req.ContentLength = size
	req.Header.Set(gateway.KeyHeader, q.account.key)
	req.Header.Set(history.IDHeader, q.id)
	resp, err := r.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return
	}
	a.Status, a.Outcome = resp.StatusCode, resp.Header.Get(gateway.OutcomeHeader)
	if resp.StatusCode == http.StatusOK {
		a.Mismatch = mismatch(responseBody, emulator.Response{ID: q.id, Method: method, Path: path, Bytes: size})
	}
}

// mismatch describes how a response body differs from the expected one. It returns
// "" when they agree.
func mismatch(body []byte, want emulator.Response) string {
	var got emulator.Response
	if err := json.Unmarshal(body, &got); err != nil {
		return "the response is not from an emulated target: " + err.Error()
	}
	if got.ID != want.ID || got.Method != want.Method || got.Path != want.Path || got.Bytes != want.Bytes {
		return fmt.Sprintf("the response is for %s %s %s with %d bytes, want %s %s with %d",
			got.ID, got.Method, got.Path, got.Bytes, want.Method, want.Path, want.Bytes)
	}
	return ""
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// collect reads a target's record and keeps the executions of this run.
func (r *run) collect(ctx context.Context, address string) (history.Record, error) {
	record, err := FetchRecord(ctx, r.client, address)
	if err != nil {
		return record, err
	}
	// Targets drop their oldest executions first. If one from before this run is
	// still in the record, nothing of this run was dropped.
	if len(record.Executions) > 0 && record.Executions[0].Arrived.Before(r.start) {
		record.Dropped = 0
	}
	ownExecutions := record.Executions[:0]
	for _, e := range record.Executions {
		if strings.HasPrefix(e.ID, r.id+"-") {
			ownExecutions = append(ownExecutions, e)
		}
	}
	record.Executions = ownExecutions
	return record, nil
}

// FetchRecord reads the record of the emulated target whose control API has the address.
func FetchRecord(ctx context.Context, client *http.Client, address string) (history.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var record history.Record
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+emulator.HistoryPath, http.NoBody)
	if err != nil {
		return record, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return record, merry.Prepend(err, "load.FetchRecord")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return record, merry.Errorf("load.FetchRecord: %s responded with %s", address, resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(&record); err != nil {
		return record, merry.Prepend(err, "load.FetchRecord")
	}
	return record, nil
}
