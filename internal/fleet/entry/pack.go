package entry

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"chestnutbay.dev/chestnutbay/internal/fleet/feed"
)

const (
	// packThreshold is the size of the records of a state in bytes from which they are
	// compressed. A configuration shrinks to about a tenth, and some VMs have links of
	// 10 Mbit/s.
	packThreshold = 4 << 10
	// maxUnpackedBytes bounds the size of a state's records after decompression.
	maxUnpackedBytes = 64 << 20
)

var errTooLarge = merry.Sentinel("entry: the state of another VM is too large")

// packedStates keeps the newest packed state of each topic, since several VMs ask for the
// same one. The zero value is empty. It is safe for concurrent use.
type packedStates struct {
	mu     sync.Mutex
	states map[feed.Topic]packedState
}

// packedState is the compressed form of a state's records.
type packedState struct {
	from, next int64
	packed     []byte
}

// pack returns the packed records of a state that begins at an offset.
func (c *packedStates) pack(t feed.Topic, from int64, s feed.State) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.states[t]; ok && known.from == from && known.next == s.Next {
		return known.packed, nil
	}
	packed, err := packRecords(s.Records)
	if err != nil {
		return nil, err
	}
	if c.states == nil {
		c.states = make(map[feed.Topic]packedState)
	}
	c.states[t] = packedState{from: from, next: s.Next, packed: packed}
	return packed, nil
}

// packRecords encodes and compresses records.
func packRecords(records []feed.Record) ([]byte, error) {
	raw, err := cbor.Marshal(records)
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	err = w.Close()
	return packed.Bytes(), err
}

// unpackRecords is the inverse of packRecords.
func unpackRecords(packed []byte) ([]feed.Record, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxUnpackedBytes {
		return nil, errTooLarge
	}
	var records []feed.Record
	err = cbor.Unmarshal(raw, &records)
	return records, err
}

// recordBytes returns the size of the keys and values of records.
func recordBytes(records []feed.Record) int {
	n := 0
	for _, r := range records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}
