package feed

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// step is one advance of a VM's copy of a topic from an offset to a later one, with the
// significant changes in between.
type step struct {
	from, next int64
	at         time.Time
	changes    []Record
}

// history holds the latest steps in order; each begins at the offset where the previous
// one ends. The zero value is empty.
type history struct {
	steps []step
}

// add appends a step and drops the steps that are too old for an announcement.
func (h *history) add(s step) {
	if s.from == s.next && len(s.changes) == 0 {
		return
	}
	h.steps = append(h.steps, s)
	expired := 0
	for expired < len(h.steps)-1 && s.at.Sub(h.steps[expired].at) > announceWindow {
		expired++
	}
	h.steps = h.steps[expired:]
}

// since returns the content of an announcement of a topic that was read up to next: its
// first offset and the newest changed record of each key from there to next, ordered by
// offset. It includes all steps that end after the offset from, and as many earlier steps as
// announceWindow and maxAnnounceBytes allow. The first offset is higher than from if the
// steps do not reach back that far.
func (h *history) since(from, next int64, now time.Time) (int64, []Record) {
	size, first := 0, len(h.steps)
	for first > 0 {
		s := h.steps[first-1]
		for _, r := range s.changes {
			size += r.size()
		}
		if s.next <= from && (size > maxAnnounceBytes || now.Sub(s.at) > announceWindow) {
			break
		}
		first--
	}
	if first == len(h.steps) {
		return next, nil
	}
	newest := make(map[string]Record)
	for _, s := range h.steps[first:] {
		for _, r := range s.changes {
			if previous, ok := newest[r.Key]; !ok || r.Offset > previous.Offset {
				newest[r.Key] = r
			}
		}
	}
	changes := slices.SortedFunc(maps.Values(newest), func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return h.steps[first].from, changes
}

// size estimates the encoded size of the record in an announcement, in bytes.
func (r Record) size() int { return len(r.Key) + len(r.Value) + recordOverhead }
