// Package emulator is an HTTP target with gray failures, to try a fleet out.
//
// # Usage
//
//	target := emulator.New("target-1", seed)
//	err := target.SetBehaviour(emulator.Behaviour{Slots: 4})
//	eg.Go(func() error { return target.Serve(ctx, listener) })
//	eg.Go(func() error { return emulator.ServeHandler(ctx, control, target.Control()) })
//
// Callers reach the target at one listener. The control API has its own, so that
// no caller of the fleet can change a target:
//
//	GET  /behaviour   the behaviour
//	POST /behaviour   changes the fields that the JSON body names
//	POST /restart     breaks all connections and begins a cold start
//	GET  /history     the requests that ran, as a history.Record
//
// A target answers with an Answer as JSON, or with as many zero bytes as the
// query parameter "size" says.
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
	// HealthPath is where a target tells its health.
	HealthPath = "/healthz"
	// headerTimeout bounds the wait for a request's head.
	headerTimeout = 30 * time.Second
)

// Answer is what a target saw of a request.
type Answer struct {
	Target string      `json:"target"`
	Method string      `json:"method"`
	Path   string      `json:"path"`
	ID     string      `json:"id"`
	Bytes  int64       `json:"bytes"`
	Header http.Header `json:"header"`
}

// Target is a target. It is safe for concurrent use.
type Target struct {
	name     string
	recorder history.Recorder

	mu          sync.Mutex
	random      *rand.Rand
	behaviour   Behaviour
	changed     time.Time
	started     time.Time
	running     int
	queue       []chan struct{}
	connections map[net.Conn]struct{}
}

// New returns a target that has just started and answers well. The seed decides its random
// numbers.
func New(name string, seed uint64) *Target {
	now := time.Now()
	return &Target{
		name: name, changed: now, started: now,
		random:      rand.New(rand.NewPCG(seed, 0)),
		connections: make(map[net.Conn]struct{}),
	}
}

// Serve answers callers until ctx ends.
func (t *Target) Serve(ctx context.Context, l net.Listener) error {
	return serve(ctx, l, &http.Server{Handler: t, ConnState: t.Track})
}

// ServeHandler serves a handler, such as Control, until ctx ends.
func ServeHandler(ctx context.Context, l net.Listener, h http.Handler) error {
	return serve(ctx, l, &http.Server{Handler: h})
}

func serve(ctx context.Context, l net.Listener, s *http.Server) error {
	s.ReadHeaderTimeout = headerTimeout
	stop := context.AfterFunc(ctx, func() { s.Close() }) //nolint:errcheck // The target ends.
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Track is the hook http.Server.ConnState by which Restart finds connections.
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

// Restart breaks all connections and begins a cold start.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.started = time.Now()
	for c := range t.connections {
		c.Close()
	}
}

// Behaviour returns the behaviour.
func (t *Target) Behaviour() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behaviour
}

// SetBehaviour changes the behaviour of the requests that arrive from now on.
func (t *Target) SetBehaviour(b Behaviour) error {
	if err := b.Check(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour, t.changed = b, time.Now()
	t.admitQueued()
	return nil
}

// draw chooses a request's fault and service time.
func (t *Target) draw(path string) (fault, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.behaviour.draw(path, time.Since(t.changed), t.random)
	return f, time.Duration(t.random.ExpFloat64() * float64(t.behaviour.Latency))
}

// ServeHTTP answers a caller.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if r.URL.Path == HealthPath {
		t.serveHealth(w)
		return
	}
	f, latency := t.draw(r.URL.Path)
	if _, refused := f.(refusal); refused {
		w.Header().Set(gateway.NotRunHeader, "true")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	overloaded, ok := t.enter(r.Context())
	if !ok {
		panic(http.ErrAbortHandler) // Without it net/http would answer 200.
	}
	defer t.leave()
	if overloaded {
		f = failure{}
	}
	if id := r.Header.Get(history.IDHeader); id != "" {
		t.recorder.Add(id, arrived)
	}
	t.run(w, r, f, latency)
}

// run executes a request and answers it.
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
	answer := Answer{Target: t.name, Method: r.Method, Path: r.URL.Path, ID: r.Header.Get(history.IDHeader), Bytes: n, Header: r.Header}
	switch f.(type) {
	case failure:
		http.Error(w, "failed", http.StatusInternalServerError)
	case hang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case drop:
		panic(http.ErrAbortHandler)
	case truncation:
		truncate(w, answer)
	default:
		if sizeErr == nil && size >= 0 {
			writeZeros(w, size)
			return
		}
		writeJSON(w, answer)
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

// truncate announces a whole answer and ends the connection halfway.
func truncate(w http.ResponseWriter, a Answer) {
	text, err := json.Marshal(a)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Write(text[:len(text)/2])           //nolint:errcheck // The connection ends in any case.
	http.NewResponseController(w).Flush() //nolint:errcheck // The same.
	panic(http.ErrAbortHandler)
}

func writeZeros(w http.ResponseWriter, size int64) {
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	if _, err := io.CopyN(w, zeros{}, size); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// zeros is an endless body. The buffers that are read into start out as zeros.
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

// serveHealth tells what is wrong, unless the target lies.
func (t *Target) serveHealth(w http.ResponseWriter) {
	t.mu.Lock()
	b := t.behaviour
	_, cold := t.coldLimit()
	bad := cold || b.FailPrefix != "" || b.HangPrefix != "" || b.flapsDown(time.Since(t.changed))
	t.mu.Unlock()
	if bad && !b.LyingHealth {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, "healthy")
}
