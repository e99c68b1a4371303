package feed

import (
	"time"

	"chestnutbay.dev/chestnutbay/internal/contract/routing"
	"chestnutbay.dev/chestnutbay/internal/target/directory"
)

// Update is what a record says. The concrete types are ConfigurationUpdate,
// ZoneUpdate, InstanceUpdate, InstanceRemoval and Unreadable.
type Update interface {
	update()
}

// ConfigurationUpdate is a version of the operator's configuration.
type ConfigurationUpdate struct {
	Config routing.Config
}

// ZoneUpdate takes an availability zone out or back in.
type ZoneUpdate struct {
	Zone string
	Out  bool
}

// InstanceUpdate is what an instance says of itself.
type InstanceUpdate struct {
	Registration directory.Registration
	// Cold is how much longer the instance is cold, as of its writing.
	Cold time.Duration
}

// InstanceRemoval says that an instance is no longer registered.
type InstanceRemoval struct {
	ID string
}

// Unreadable is a record that no one of ours wrote, or a kind that is not known.
type Unreadable struct {
	Key    string
	Reason string
}

func (ConfigurationUpdate) update() {}
func (ZoneUpdate) update()          {}
func (InstanceUpdate) update()      {}
func (InstanceRemoval) update()     {}
func (Unreadable) update()          {}

// Decoder reads records.
type Decoder interface {
	Decode(t Topic, r Record) Update
	// Significant reports whether a record says more than the one before.
	Significant(t Topic, before, now []byte) bool
}
