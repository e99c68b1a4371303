// Package emulator implements an HTTP target with configurable gray failures,
// for tests and trials of a fleet.
//
// # Usage
//
//	target := emulator.New("target-1", seed)
//	err := target.SetBehaviour(emulator.Behaviour{Slots: 4})
//	eg.Go(func() error { return target.Serve(ctx, listener) })
//	eg.Go(func() error { return emulator.ServeHandler(ctx, control, target.Control()) })
//
// The target serves callers on one listener. The control API has a listener of
// its own, so that callers of the fleet cannot change a target:
//
//	GET  /behaviour   the behaviour
//	POST /behaviour   changes the fields that the JSON body names
//	POST /restart     closes all connections and begins a cold start
//	GET  /history     the requests that ran, as a history.Record
//
// The body of a successful response is a Response as JSON, or as many zero bytes
// as the query parameter "size" gives.
package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"chestnutbay.dev/chestnutbay/internal/traffic/gateway"
	"chestnutbay.dev/chestnutbay/internal/trial/history"
)

const (
	// HealthPath is the path of a target's health check.
	HealthPath = "/healthz"
	// headerTimeout limits the time to read a request's header.
	headerTimeout = 30 * time.Second
)

// Response describes a request as the target received it. ID is the value of the
// header history.IDHeader, Bytes the size of the request body.
type Response struct {
	Target string      `json:"target"`
	Method string      `json:"method"`
	Path   string      `json:"path"`
	ID     string      `json:"id"`
	Bytes  int64       `json:"bytes"`
	Header http.Header `json:"header"`
}

// Target is an emulated target. It is safe for concurrent use.
type Target struct {
	name     string
	recorder history.Recorder

	mu             sync.Mutex
	random         *rand.Rand
	behaviour      Behaviour
	behaviourSetAt time.Time       // creation or last SetBehaviour
	rampStart      time.Time       // start of the cold start ramp
	running        int             // admitted requests that have not ended
	queue          []chan struct{} // waiting requests, oldest first; closing one admits it
	connections    map[net.Conn]struct{}
}

// New returns a target with the zero Behaviour that has just started. The same
// seed gives the same sequence of faults and service times.
func New(name string, seed uint64) *Target {
	now := time.Now()
	return &Target{
		name: name, behaviourSetAt: now, rampStart: now,
		random:      rand.New(rand.NewPCG(seed, 0)),
		connections: make(map[net.Conn]struct{}),
	}
}

// Serve serves callers until ctx ends.
func (t *Target) Serve(ctx context.Context, l net.Listener) error {
	return serve(ctx, l, &http.Server{Handler: t, ConnState: t.Track})
}

// ServeHandler serves a handler, such as Control, until ctx ends.
func ServeHandler(ctx context.Context, l net.Listener, h http.Handler) error {
	return serve(ctx, l, &http.Server{Handler: h})
}

func serve(ctx context.Context, l net.Listener, s *http.Server) error {
	s.ReadHeaderTimeout = headerTimeout
	stop := context.AfterFunc(ctx, func() { s.Close() }) //nolint:errcheck // The server stops in any case.
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Track keeps the list of connections that Restart closes. A program that serves
// the target without calling Serve must set Track as its http.Server.ConnState.
func (t *Target) Track(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.connections[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(t.connections, c)
	default:
	}
}

// Restart closes all connections and begins a cold start.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rampStart = time.Now()
	for c := range t.connections {
		c.Close()
	}
}

// Behaviour returns the current behaviour.
func (t *Target) Behaviour() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behaviour
}

// SetBehaviour replaces the behaviour for requests that arrive from now on. It
// changes nothing and returns the error of b.Check if b is invalid.
func (t *Target) SetBehaviour(b Behaviour) error {
	if err := b.Check(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour, t.behaviourSetAt = b, time.Now()
	t.admitQueued()
	return nil
}

// drawRequest chooses a request's fault and service time.
func (t *Target) drawRequest(path string) (fault, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.behaviour.drawFault(path, time.Since(t.behaviourSetAt), t.random)
	return f, time.Duration(t.random.ExpFloat64() * float64(t.behaviour.Latency))
}

// ServeHTTP handles health checks and the requests of callers.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if r.URL.Path == HealthPath {
		t.serveHealth(w)
		return
	}
	f, latency := t.drawRequest(r.URL.Path)
	if _, refused := f.(refusal); refused {
		w.Header().Set(gateway.NotRunHeader, "true")
		w.Header().Set(gateway.RequestIDHeader, r.Header.Get(gateway.RequestIDHeader))
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	overloaded, ok := t.acquireSlot(r.Context())
	if !ok {
		panic(http.ErrAbortHandler) // A plain return would make net/http respond with 200.
	}
	defer t.releaseSlot()
	if overloaded {
		f = failure{}
	}
	if id := r.Header.Get(history.IDHeader); id != "" {
		t.recorder.Add(id, arrived)
	}
	t.run(w, r, f, latency)
}

// run reads the request body, waits for the service time and responds according
// to the fault.
func (t *Target) run(w http.ResponseWriter, r *http.Request, f fault, latency time.Duration) {
	size, sizeErr := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64)
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	sleep(r.Context(), latency)
	if id := r.Header.Get(gateway.RequestIDHeader); id != "" {
		w.Header().Set(gateway.RequestIDHeader, id)
	}
	response := Response{Target: t.name, Method: r.Method, Path: r.URL.Path, ID: r.Header.Get(history.IDHeader), Bytes: n, Header: r.Header}
	switch f.(type) {
	case failure:
		http.Error(w, "failed", http.StatusInternalServerError)
	case hang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case drop:
		panic(http.ErrAbortHandler)
	case truncation:
		truncate(w, response)
	default:
		if sizeErr == nil && size >= 0 {
			writeZeros(w, size)
			return
		}
		writeJSON(w, response)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// truncate declares the length of the whole response, writes half of the body and
// closes the connection.
func truncate(w http.ResponseWriter, a Response) {
	text, err := json.Marshal(a)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Write(text[:len(text)/2])           //nolint:errcheck // The connection is closed in any case.
	http.NewResponseController(w).Flush() //nolint:errcheck // As above.
	panic(http.ErrAbortHandler)
}

func writeZeros(w http.ResponseWriter, size int64) {
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	if _, err := io.CopyN(w, zeros{}, size); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// serveHealth responds with 503 while the target is cold, is in the failing half
// of a flap period or has a prefix that fails or hangs, unless LyingHealth is set.
func (t *Target) serveHealth(w http.ResponseWriter) {
	t.mu.Lock()
	b := t.behaviour
	_, cold := t.coldLimit()
	unhealthy := cold || b.FailPrefix != "" || b.HangPrefix != "" || b.flapsDown(time.Since(t.behaviourSetAt))
	t.mu.Unlock()
	if unhealthy && !b.LyingHealth {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, "healthy")
}
