package feed

import (
	"time"
)

// Query describes the records that a VM needs from another one.
type Query struct {
	Topic Topic
	// From is the offset up to which the asking VM has read the topic.
	From int64
	// MinNext is the offset up to which the other VM must have read.
	MinNext int64
	// AnnouncedBy names a VM that announced that it has read up to MinNext, or is "".
	AnnouncedBy string
	// Spread asks the VMs of the own zone in the order in which a large record spreads
	// there (see Ancestors), and waits until the asked VM has read up to MinNext. VMs of
	// other zones are not asked: traffic between zones costs more than a call to the
	// store.
	Spread bool
	// Start reports that the VM has just started and knows no offset.
	Start bool
}

// State is a VM's copy of a topic: the newest record of each key, either from an
// offset on or of the entire topic.
type State struct {
	Records []Record `json:"records"`
	// Next is the offset after the last record that the VM has read.
	Next int64 `json:"next"`
	// Full reports whether the state covers the entire topic. Keys without a record
	// then do not exist.
	Full bool `json:"whole,omitempty"`
	// Age is the age of the VM's proof that the topic ends at Next. 0 means that there is
	// no proof.
	Age time.Duration `json:"age_ns,omitempty"`
	// Waited is the time between the call and the moment at which the VM took the state. The
	// transfer of the state does not count.
	Waited time.Duration `json:"waited_ns,omitempty"`
}

// Announcement tells the other VMs how far a VM has read a topic.
type Announcement struct {
	Topic Topic `cbor:"1,keyasint"`
	// From and Next bound the announced range of offsets: From is its first offset and
	// Next the offset after its end.
	From int64 `cbor:"2,keyasint"`
	Next int64 `cbor:"3,keyasint"`
	// Age is the time since the read began.
	Age time.Duration `cbor:"4,keyasint"`
	// Records holds the newest record of each key that changed significantly between
	// From and Next. Complete reports whether none of these records is missing.
	Records  []Record `cbor:"5,keyasint,omitempty"`
	Complete bool     `cbor:"6,keyasint,omitempty"`
	// Partial reports that the topic goes on after Next, in further announcements of the
	// same read.
	Partial bool `cbor:"7,keyasint,omitempty"`
}
