package gateway

import (
	"context"
	"sync"
)

// inFlightCounter counts the requests in progress.
type inFlightCounter struct {
	mu       sync.Mutex
	count    int
	draining bool
	waiters  []chan struct{} // one for each drain; closed when no request is in progress
}

func (f *inFlightCounter) add() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

func (f *inFlightCounter) remove() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count > 0 {
		return
	}
	for _, c := range f.waiters {
		close(c)
	}
	f.waiters = nil
}

func (f *inFlightCounter) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// isDraining reports whether drain was called.
func (f *inFlightCounter) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

// drain waits until no request is in progress or ctx is done. New requests are still
// counted.
func (f *inFlightCounter) drain(ctx context.Context) error {
	f.mu.Lock()
	f.draining = true
	if f.count == 0 {
		f.mu.Unlock()
		return nil
	}
	drained := make(chan struct{})
	f.waiters = append(f.waiters, drained)
	f.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
