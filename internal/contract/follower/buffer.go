package follower

import (
	"slices"

	"chestnutbay.dev/chestnutbay/internal/platform/journal"
)

const (
	// bufferRecords is how many records a node keeps for its peers. At 3,000
	// changes a day, each restated once, that is more than a day of records.
	bufferRecords = 8192
	// bufferBytes limits the total size of the records' payloads, in bytes.
	bufferBytes = 4 << 20
)

// buffer keeps the newest records that the node applied, at consecutive offsets.
type buffer struct {
	records []Record
	bytes   int
}

func (b *buffer) add(r journal.Record) {
	if n := len(b.records); n > 0 && b.records[n-1].Offset+1 != r.Offset() {
		*b = buffer{}
	}
	b.records = append(b.records, Record{Offset: r.Offset(), Appended: r.Appended(), Payload: r.Payload()})
	b.bytes += len(r.Payload())
	for len(b.records) > bufferRecords || b.bytes > bufferBytes {
		b.bytes -= len(b.records[0].Payload)
		b.records[0] = Record{}
		b.records = b.records[1:]
	}
}

// from returns at most limit records from the offset next on, or none if the record at
// that offset is not in the buffer.
func (b *buffer) from(next journal.Offset, limit int) []Record {
	if len(b.records) == 0 || next < b.records[0].Offset {
		return nil
	}
	i := int(next - b.records[0].Offset)
	if i >= len(b.records) {
		return nil
	}
	return slices.Clone(b.records[i:min(i+max(limit, 0), len(b.records))])
}
