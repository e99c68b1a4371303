package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run, which becomes record.txt.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func newRecord() *record { return &record{start: time.Now()} }

// addf adds a line with the time since the start.
func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

// save writes the lines to a file.
func (r *record) save(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var raw []byte
	for _, l := range r.lines {
		raw = append(raw, l...)
		raw = append(raw, '\n')
	}
	return os.WriteFile(path, raw, 0o644)
}
