package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/platform/roster"
)

const (
	// listInterval is the time between two reads of the VM list. A leaving target must
	// get no new requests after 5 s.
	listInterval = time.Second
	// listTimeout bounds one read of the VM list.
	listTimeout = 2 * time.Second
)

// listWatcher polls the VM list and keeps the last listing that was read.
type listWatcher struct {
	list   roster.List
	logger *zap.Logger

	mu      sync.Mutex
	listing roster.Listing
	onRead  func(roster.Listing) // called after a read that changed the listing
}

func (w *listWatcher) nodes() []roster.Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listing.Nodes()
}

func (w *listWatcher) instances() []roster.Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listing.Instances()
}

// run reads the list every listInterval until ctx ends. While the list is unavailable,
// the last listing is kept.
func (w *listWatcher) run(ctx context.Context) error {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	failing := false
	for {
		err := w.read(ctx)
		if err != nil && !failing && ctx.Err() == nil {
			w.logger.Warn("VM list is unavailable; keeping the last listing", zap.Error(err))
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// read reads the list once and stores the listing if it differs from the last one.
func (w *listWatcher) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := w.list.Read(ctx)
	if err != nil {
		return err
	}
	if w.unchanged(listing) {
		return nil
	}
	w.mu.Lock()
	w.listing = listing
	w.mu.Unlock()
	w.onRead(listing)
	return nil
}

// unchanged reports whether a listing has the same content as the last one. The last one
// is then kept, so that code that indexes the 15,000 instances does so only after a
// change.
func (w *listWatcher) unchanged(listing roster.Listing) bool {
	return slices.Equal(w.nodes(), listing.Nodes()) && slices.Equal(w.instances(), listing.Instances())
}
