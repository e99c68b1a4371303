package feed

import (
	"time"
)

// topicState holds this VM's copy of one topic and how current the copy is.
type topicState struct {
	records        map[string]Record      // newest record of each key, removals included
	next           int64                  // offset after the last record read
	verified       time.Time              // start of the latest read that showed that the topic ends at next
	loaded         bool                   // the topic was loaded from the store or another VM
	announcedNext  int64                  // highest offset that another VM announced
	announcedBy    string                 // the VM that announced it
	announcedAt    time.Time              // when this VM received that announcement
	lastReadFailed bool                   // the store did not answer this VM's last read
	restoredAt     time.Time              // when the first proof after an outage of the store arrived
	heldRemovals   map[string]heldRemoval // by key
	history        history
	advanced       chan struct{} // closed when next rises or the topic is loaded; nil if nobody waits

	tombstones   map[string]time.Time // time at which the removal of each removed key was applied
	removalsFrom int64                // removals from this offset on are all remembered
	lastSweep    time.Time
}

// heldRemoval is the removal of an instance, held back for a grace period because
// the instance may register again.
type heldRemoval struct {
	record Record
	due    time.Time
}

// withoutSuperseded returns the records without the values that a later value of their key
// in the list replaces. A configuration is large, and only the newest one comes into force.
func withoutSuperseded(records []Record) []Record {
	last := make(map[string]int, len(records))
	for i, r := range records {
		last[r.Key] = i
	}
	if len(last) == len(records) {
		return records
	}
	list := make([]Record, 0, len(records))
	for i, r := range records {
		if newest := last[r.Key]; newest == i || r.Value == nil || records[newest].Value == nil {
			list = append(list, r)
		}
	}
	return list
}

// signalAdvance wakes the calls of AwaitNext. The caller holds the lock.
func (state *topicState) signalAdvance() {
	if state.advanced != nil {
		close(state.advanced)
		state.advanced = nil
	}
}

// updateTombstone adds a tombstone for a removed key, and deletes the tombstone of a
// key that has a value again.
func (state *topicState) updateTombstone(r Record) {
	if r.Value != nil {
		delete(state.tombstones, r.Key)
		return
	}
	state.tombstones[r.Key] = time.Now()
}

// sweep deletes tombstones older than tombstoneTTL and the records of their keys.
func (state *topicState) sweep(now time.Time) {
	if now.Sub(state.lastSweep) < sweepPeriod {
		return
	}
	state.lastSweep = now
	for key, at := range state.tombstones {
		if now.Sub(at) < tombstoneTTL {
			continue
		}
		state.removalsFrom = max(state.removalsFrom, state.records[key].Offset+1)
		delete(state.records, key)
		delete(state.tombstones, key)
	}
}

// recordProof records a proof of completeness: a read that began at the given time
// reached the topic's end, and this VM has all records that it found.
func (state *topicState) recordProof(began time.Time) {
	if state.loaded && began.Sub(state.verified) > outageThreshold {
		state.restoredAt = time.Now()
	}
	if began.After(state.verified) {
		state.verified = began
	}
}

// holdRemoval holds back the removal of an instance's registration if the store was
// unavailable until recently: the registration may have expired only because the
// instance could not renew it. It reports whether the removal is held back.
func (state *topicState) holdRemoval(t Topic, r Record) bool {
	if t != Instances || r.Value != nil {
		return false
	}
	due := state.restoredAt.Add(removalGracePeriod)
	if time.Now().After(due) {
		return false
	}
	state.heldRemovals[r.Key] = heldRemoval{record: r, due: due}
	return true
}
