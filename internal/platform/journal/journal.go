// Package journal defines the interface of the platform's append-only log. The log
// is the only store of what all nodes must agree on.
//
// The log gives each record an offset. Records expire after the platform's
// retention time. The service may be unavailable, and the reply to an append may
// be lost after the append took effect.
//
// # Usage
//
// Read from the first record to the tail:
//
//	for from := journal.Offset(0); ; {
//		batch, err := log.Read(ctx, from, 256)
//		if err != nil {
//			return err
//		}
//		for _, r := range batch.Records() {
//			apply(r)
//		}
//		from = batch.Next()
//		if batch.AtTail() {
//			break
//		}
//	}
//
// Plug-ins register under the kind in PluginKind.
package journal

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

// PluginKind is the registry kind of log plug-ins.
const PluginKind = "log"

// Errors of a Log.
var (
	// ErrUnavailable reports that the log is unavailable. The operation had no
	// effect.
	ErrUnavailable = merry.Sentinel("log unavailable")
	// ErrUnknown reports an append that may have taken effect.
	ErrUnknown = merry.Sentinel("outcome of the append is unknown")
	// ErrExpired reports a read from an offset whose record has expired.
	ErrExpired = merry.Sentinel("log record has expired")
)

// Offset is a record's position in the log. The first record has offset 0.
type Offset int64

// Record is one entry of the log.
type Record struct {
	offset   Offset
	appended time.Time
	payload  []byte
}

// NewRecord returns a record. The payload is not copied.
func NewRecord(offset Offset, appended time.Time, payload []byte) Record {
	return Record{offset: offset, appended: appended, payload: payload}
}

// Offset returns the record's position.
func (r Record) Offset() Offset { return r.offset }

// Appended returns the time of the append by the log service's clock.
func (r Record) Appended() time.Time { return r.appended }

// Payload returns the record's content. The caller must not change it.
func (r Record) Payload() []byte { return r.payload }

// Batch is the result of a read.
type Batch struct {
	records  []Record
	next     Offset
	earliest Offset
	atTail   bool
}

// NewBatch returns a batch. next is the first offset not yet read, earliest is the
// first offset that has not expired, and atTail says whether next was the end of
// the log when the read was served.
func NewBatch(records []Record, next, earliest Offset, atTail bool) Batch {
	return Batch{records: records, next: next, earliest: earliest, atTail: atTail}
}

// Records returns the records in offset order.
func (b Batch) Records() []Record { return b.records }

// Next returns the offset to read from next.
func (b Batch) Next() Offset { return b.next }

// Earliest returns the first offset that has not expired.
func (b Batch) Earliest() Offset { return b.earliest }

// AtTail reports whether the batch reached the log's end at a moment between
// the start and the end of the read.
func (b Batch) AtTail() bool { return b.atTail }

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record. After ErrUnknown the record may be in the log.
	Append(ctx context.Context, payload []byte) (Offset, error)
	// Read returns at most limit records, beginning with the offset from. It
	// returns ErrExpired when from lies before the earliest retained record.
	Read(ctx context.Context, from Offset, limit int) (Batch, error)
}
