// Package memorylog implements a log in the memory of one process, for development
// and tests. It registers as the log plug-in "memory".
//
// # Usage
//
//	var log memorylog.Log
//	offset, err := log.Append(ctx, payload)
package memorylog

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"chestnutbay.dev/chestnutbay/internal/base/kernel"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
)

// Name is the plug-in's name.
const Name = "memory"

func init() {
	kernel.Register(journal.PluginKind, Name, kernel.Factory[journal.Log](open))
}

type options struct {
	// Retention is a duration such as "24h". If it is empty, records never expire.
	Retention string `yaml:"retention"`
}

func open(decode kernel.Decoder) (journal.Log, error) {
	var o options
	if err := decode(&o); err != nil {
		return nil, err
	}
	if o.Retention == "" {
		return new(Log), nil
	}
	retention, err := time.ParseDuration(o.Retention)
	if err != nil || retention <= 0 {
		return nil, merry.Errorf("memorylog: retention must be a positive duration such as %q, is %q", "24h", o.Retention)
	}
	return New(retention), nil
}

// Log keeps records in memory. The zero value is empty, and its records never
// expire. It is safe for concurrent use.
type Log struct {
	retention time.Duration

	mu       sync.Mutex
	earliest journal.Offset
	records  []journal.Record
}

// New returns an empty log whose records expire after the retention time, or never
// if it is zero.
func New(retention time.Duration) *Log {
	return &Log{retention: retention}
}

// Append adds a record. The payload is copied.
func (l *Log) Append(ctx context.Context, payload []byte) (journal.Offset, error) {
	if err := ctx.Err(); err != nil {
		return 0, merry.Errorf("memorylog.Append: %w: %w", journal.ErrUnavailable, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := l.earliest + journal.Offset(len(l.records))
	l.records = append(l.records, journal.NewRecord(offset, time.Now(), slices.Clone(payload)))
	return offset, nil
}

// Read returns at most limit records, beginning with the offset from. It does not
// wait for new ones.
func (l *Log) Read(ctx context.Context, from journal.Offset, limit int) (journal.Batch, error) {
	if err := ctx.Err(); err != nil {
		return journal.Batch{}, merry.Errorf("memorylog.Read: %w: %w", journal.ErrUnavailable, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	if from < l.earliest {
		return journal.Batch{}, merry.Prepend(journal.NewExpired(l.earliest), "memorylog.Read")
	}
	tail := l.earliest + journal.Offset(len(l.records))
	from = min(from, tail)
	batch := l.records[from-l.earliest:]
	batch = slices.Clone(batch[:min(limit, len(batch))])
	next := from + journal.Offset(len(batch))
	return journal.NewBatch(batch, next, l.earliest, next == tail), nil
}

// expire drops the records that are older than the retention time. l.mu must be
// held.
func (l *Log) expire() {
	if l.retention == 0 {
		return
	}
	n := 0
	for n < len(l.records) && time.Since(l.records[n].Appended()) > l.retention {
		n++
	}
	l.records = slices.Clone(l.records[n:])
	l.earliest += journal.Offset(n)
}
