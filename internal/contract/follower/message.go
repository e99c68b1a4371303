package follower

import (
	"time"

	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
)

// Position is how far a node has applied the log. It is part of heartbeats.
type Position struct {
	// Next is the first offset that the node has not applied.
	Next journal.Offset `json:"next"`
	// Serving reports whether the node serves: it has read the log to its tail or
	// caught up with a quorum of serving nodes. The position of a node that does
	// not serve confirms no change and is no evidence.
	Serving bool `json:"serving"`
	// Incarnation is a random identity per process start.
	Incarnation string `json:"incarnation"`
}

// Record is a log record in the form that nodes exchange.
type Record struct {
	Offset   journal.Offset `json:"offset"`
	Appended time.Time      `json:"appended"`
	Payload  []byte         `json:"payload"`
}

// Snapshot is a node's whole configuration at a position.
type Snapshot struct {
	Position Position       `json:"position"`
	Entries  []ledger.Entry `json:"entries"`
}

// Receipt describes an accepted change and the nodes that have applied it.
type Receipt struct {
	// ID is the change's identity.
	ID string `json:"id"`
	// Subject is the document, such as "contract/acme".
	Subject string `json:"subject"`
	// Version is the document's version that holds the change.
	Version ledger.Version `json:"version"`
	// Confirmed lists the nodes that were known to have applied the change.
	Confirmed []string `json:"confirmed"`
	// Missing lists the other known nodes of the fleet.
	Missing []string `json:"missing,omitempty"`
}
