package event

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"
)

// Report is an event in the form that nodes send to each other and to operators. A
// program that does not know the event type can still show the summary and the evidence.
type Report struct {
	Node     string          `json:"node"`
	Sequence uint64          `json:"sequence"`
	At       time.Time       `json:"at"`
	Type     string          `json:"type"`
	Subjects []string        `json:"subjects"`
	Summary  string          `json:"summary"`
	Evidence json.RawMessage `json:"evidence,omitempty"`
}

// NewReport returns the report of an entry in a node's ring. The evidence is the JSON
// encoding of the event.
func NewReport(node string, e Entry) Report {
	r := Report{
		Node:     node,
		Sequence: e.Sequence(),
		At:       e.At(),
		Type:     typeName(e.Event()),
		Subjects: e.Event().Subjects(),
		Summary:  e.Event().Summary(),
	}
	evidence, err := json.Marshal(e.Event())
	if err == nil {
		r.Evidence = evidence
	}
	return r
}

// Reports returns the reports of the newest events about a subject in a node's ring, at
// most limit of them, the oldest first.
func Reports(node string, ring *Ring, subject string, limit int) []Report {
	entries := ring.About(subject, limit)
	list := make([]Report, len(entries))
	for i, e := range entries {
		list[i] = NewReport(node, e)
	}
	return list
}

// MergeReports merges the reports of several nodes, the oldest first, and keeps the
// newest limit of them. The order of events of different nodes is approximate, because
// the clocks of nodes may differ.
func MergeReports(limit int, lists ...[]Report) []Report {
	var all []Report
	for _, l := range lists {
		all = append(all, l...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	if len(all) > limit {
		all = all[len(all)-limit:]
	}
	return all
}

// typeName returns the name of the event's type without the package, such as "Ejected".
func typeName(e Event) string {
	name := fmt.Sprintf("%T", e)
	return strings.TrimPrefix(strings.TrimPrefix(name, "*"), "event.")
}
