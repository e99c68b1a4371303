// Package event records the decisions of the fleet and their reasons: typed events that
// hold the evidence, kept in a bounded ring buffer on each node.
//
// # Usage
//
//	var ring event.Ring
//	ring.Record(event.LeaseLost{Name: "account/07", Released: true})
//	for _, e := range ring.About("lease/account/07", 20) {
//		fmt.Println(e.At(), e.Event().Summary())
//	}
//
// Each area of the program has a file with its event types in this package. The
// interface Event is sealed so that code can switch over all event types.
package event

import (
	"sync"
	"time"
)

// RingSize is how many events a node keeps. At the design rate of refusals and
// ramp steps it holds about an hour of a target's history.
const RingSize = 4096

// Event is something that a node did or observed.
type Event interface {
	// Subjects returns what the event is about, such as "account/acme",
	// "target/10.0.0.7:80", "zone/north" or "request/4f2a".
	Subjects() []string
	// Summary returns one sentence with the evidence, for operators.
	Summary() string
	event()
}

// Entry is an event in a ring, with its number and time.
type Entry struct {
	sequence uint64
	at       time.Time
	event    Event
}

// Sequence returns the number of the event on its node. The first event has number 1.
func (e Entry) Sequence() uint64 { return e.sequence }

// At returns when the event was recorded.
func (e Entry) At() time.Time { return e.at }

// Event returns the recorded event.
func (e Entry) Event() Event { return e.event }

// Ring is a ring buffer of the newest RingSize events. It is safe for concurrent use.
// The zero value is empty and ready to use. A nil Ring records nothing.
type Ring struct {
	mu           sync.Mutex
	entries      []Entry
	lastSequence uint64
}

// Record adds an event and drops the oldest one when the ring is full.
func (r *Ring) Record(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSequence++
	entry := Entry{sequence: r.lastSequence, at: time.Now(), event: e}
	if len(r.entries) < RingSize {
		r.entries = append(r.entries, entry)
		return
	}
	r.entries[int((r.lastSequence-1)%RingSize)] = entry
}

// About returns the newest events about a subject, at most limit of them, the oldest
// first. The subject "" selects all events.
func (r *Ring) About(subject string, limit int) []Entry {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Entry
	for i := range r.entries {
		e := r.entries[(int(r.lastSequence)-1-i+2*RingSize)%RingSize%len(r.entries)]
		if len(found) == limit {
			break
		}
		if subject == "" || hasSubject(e.event, subject) {
			found = append(found, e)
		}
	}
	for i, j := 0, len(found)-1; i < j; i, j = i+1, j-1 {
		found[i], found[j] = found[j], found[i]
	}
	return found
}

func hasSubject(e Event, subject string) bool {
	for _, s := range e.Subjects() {
		if s == subject {
			return true
		}
	}
	return false
}
