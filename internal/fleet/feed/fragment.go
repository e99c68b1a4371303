package feed

import (
	"bytes"
	"compress/flate"
	"io"
)

const (
	// maxFragments bounds the datagrams that one record takes. A configuration with a
	// hundred accounts takes about five.
	maxFragments = 24
	// maxRecordBytes bounds a record that was put together from fragments. The store
	// takes no larger one.
	maxRecordBytes = 1 << 20
	// maxPending bounds the records that wait for fragments.
	maxPending = 8
)

// Fragment is a part of a record that fits no datagram. The parts of the compressed
// value follow each other.
type Fragment struct {
	Offset int64  `cbor:"1,keyasint"`
	Key    string `cbor:"2,keyasint"`
	Index  int    `cbor:"3,keyasint"`
	Count  int    `cbor:"4,keyasint"`
	Data   []byte `cbor:"5,keyasint"`
}

// fragment splits a record, or returns nil if it is too large.
func fragment(r Record) []Fragment {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil
	}
	if _, err := w.Write(r.Value); err != nil {
		return nil
	}
	if err := w.Close(); err != nil {
		return nil
	}
	each := announceBytes - len(r.Key) - recordOverhead
	if each <= 0 {
		return nil
	}
	count := (b.Len() + each - 1) / each
	if count > maxFragments {
		return nil
	}
	list := make([]Fragment, count)
	for i := range list {
		list[i] = Fragment{Offset: r.Offset, Key: r.Key, Index: i, Count: count, Data: b.Next(each)}
	}
	return list
}

// assembly puts records together from their fragments. The zero value is empty.
type assembly struct {
	pending []*pendingRecord
}

// pendingRecord is a record of which some fragments have arrived.
type pendingRecord struct {
	offset int64
	parts  [][]byte
	left   int
}

// add takes in a fragment and returns its record once it is complete.
func (a *assembly) add(f Fragment) (Record, bool) {
	if f.Count <= 0 || f.Count > maxFragments || f.Index < 0 || f.Index >= f.Count {
		return Record{}, false
	}
	p := a.find(f)
	if f.Index >= len(p.parts) {
		return Record{}, false
	}
	if p.parts[f.Index] == nil {
		p.parts[f.Index] = f.Data
		p.left--
	}
	if p.left > 0 {
		return Record{}, false
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(bytes.Join(p.parts, nil))), maxRecordBytes))
	if err != nil {
		return Record{}, false
	}
	return Record{Offset: f.Offset, Key: f.Key, Value: value}, true
}

// find returns the record that a fragment belongs to. The oldest one makes room for
// a new one.
func (a *assembly) find(f Fragment) *pendingRecord {
	for _, p := range a.pending {
		if p.offset == f.Offset {
			return p
		}
	}
	p := &pendingRecord{offset: f.Offset, parts: make([][]byte, f.Count), left: f.Count}
	a.pending = append(a.pending, p)
	if len(a.pending) > maxPending {
		a.pending = a.pending[1:]
	}
	return p
}
