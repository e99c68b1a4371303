package feed

import (
	"time"

	"chestnutbay.dev/chestnutbay/internal/contract/routing"
	"chestnutbay.dev/chestnutbay/internal/target/directory"
)

// Update is the decoded content of a record. The concrete types are ConfigurationUpdate,
// ZoneUpdate, InstanceUpdate, InstanceRemoval and UnreadableRecord.
type Update interface {
	update()
}

// ConfigurationUpdate is a version of the operator's configuration.
type ConfigurationUpdate struct {
	Config routing.Config
}

// ZoneUpdate takes an availability zone out of service or returns it to service.
type ZoneUpdate struct {
	Zone         string
	OutOfService bool
}

// InstanceUpdate is the registration that a target instance wrote for itself.
type InstanceUpdate struct {
	Registration directory.Registration
	// ColdRemaining is the rest of the instance's cold period when it wrote the record.
	ColdRemaining time.Duration
}

// InstanceRemoval reports that an instance is no longer registered.
type InstanceRemoval struct {
	ID string
	// Invalid says why the record names no usable instance. It is "" if the record was
	// removed.
	Invalid string
}

// UnreadableRecord is a record with an unknown key or a value that cannot be decoded,
// such as one written by other software.
type UnreadableRecord struct {
	Key    string
	Reason string
}

func (ConfigurationUpdate) update() {}
func (ZoneUpdate) update()          {}
func (InstanceUpdate) update()      {}
func (InstanceRemoval) update()     {}
func (UnreadableRecord) update()    {}

// Decoder decodes and compares the records of a topic.
type Decoder interface {
	// Decode returns the content of a record. If it cannot decode the record, it returns
	// an InstanceRemoval for the registration of an instance and an UnreadableRecord for
	// any other record.
	Decode(t Topic, r Record) Update
	// Significant reports whether the value now of a key carries new information
	// compared with before, the key's previous value.
	Significant(t Topic, before, now []byte) bool
}
