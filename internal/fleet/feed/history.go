package feed

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// step is how a VM came from one offset of a topic to the next, and the records
// between them that say something new.
type step struct {
	from, next int64
	at         time.Time
	news       []Record
}

// history holds the latest steps, without a gap between them. The zero value is
// empty.
type history struct {
	steps []step
}

// add appends a step and drops those that no announcement needs any more.
func (h *history) add(s step) {
	if s.from == s.next && len(s.news) == 0 {
		return
	}
	h.steps = append(h.steps, s)
	old := 0
	for old < len(h.steps)-1 && s.at.Sub(h.steps[old].at) > reachTime {
		old++
	}
	h.steps = h.steps[old:]
}

// since returns the offset from which an announcement can reach to the present and
// the newest record of each key in between, in the order of their offsets. It
// includes all steps beyond an offset, and older ones while the records are few.
func (h *history) since(from int64, now time.Time) (int64, []Record) {
	size, first := 0, len(h.steps)
	for first > 0 {
		s := h.steps[first-1]
		for _, r := range s.news {
			size += r.size()
		}
		if s.next <= from && (size > announceBytes || now.Sub(s.at) > reachTime) {
			break
		}
		first--
	}
	if first == len(h.steps) {
		return from, nil
	}
	newest := make(map[string]Record)
	for _, s := range h.steps[first:] {
		for _, r := range s.news {
			if old, ok := newest[r.Key]; !ok || r.Offset > old.Offset {
				newest[r.Key] = r
			}
		}
	}
	news := slices.SortedFunc(maps.Values(newest), func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return h.steps[first].from, news
}

// size is about what a record takes in an announcement.
func (r Record) size() int { return len(r.Key) + len(r.Value) + recordOverhead }
