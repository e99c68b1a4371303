package emulator

import (
	"context"
	"slices"
	"time"
)

// coldLimit returns how many requests a cold target can handle at the same time.
// cold is false once the ramp has ended; limit then has no meaning. t.mu must be
// held.
func (t *Target) coldLimit() (limit int, cold bool) {
	ramp, age := time.Duration(t.behaviour.ColdStart), time.Since(t.rampStart)
	if age >= ramp {
		return 0, false
	}
	return max(1, int(float64(t.behaviour.Slots)*float64(age)/float64(ramp))), true
}

// acquireSlot admits a request. If no slot is free, the request waits in the
// queue. A cold target does not queue a request above its limit: it admits the
// request as overloaded and begins the ramp again. ok is false if ctx ended in
// the queue; the request is then not admitted.
func (t *Target) acquireSlot(ctx context.Context) (overloaded, ok bool) {
	t.mu.Lock()
	if limit, cold := t.coldLimit(); cold && t.running+len(t.queue) >= limit {
		t.rampStart = time.Now()
		t.running++
		t.mu.Unlock()
		return true, true
	}
	if t.hasFreeSlot() {
		t.running++
		t.mu.Unlock()
		return false, true
	}
	admitted := make(chan struct{})
	t.queue = append(t.queue, admitted)
	t.mu.Unlock()
	select {
	case <-admitted:
		return false, true
	case <-ctx.Done():
		t.leaveQueue(admitted)
		return false, false
	}
}

// hasFreeSlot reports whether another request can run now. With zero slots,
// concurrency is unlimited. t.mu must be held.
func (t *Target) hasFreeSlot() bool {
	return t.behaviour.Slots == 0 || t.running < t.behaviour.Slots
}

// releaseSlot ends an admitted request and passes its slot on.
func (t *Target) releaseSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.admitQueued()
}

// admitQueued gives free slots to waiting requests, oldest first. t.mu must be
// held.
func (t *Target) admitQueued() {
	for len(t.queue) > 0 && t.hasFreeSlot() {
		close(t.queue[0])
		t.queue = t.queue[1:]
		t.running++
	}
}

// leaveQueue removes a request from the queue after its context ended. If the
// request was admitted in the meantime, its slot is passed on.
func (t *Target) leaveQueue(admitted chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.queue, admitted); i >= 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
		return
	}
	t.running--
	t.admitQueued()
}
