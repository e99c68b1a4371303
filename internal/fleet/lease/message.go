package lease

// Claims lists every name that a node claims or holds. Each heartbeat carries the
// whole list, so a name that is missing has been withdrawn.
type Claims struct {
	// Sequence increases with each change of the list. A voter uses it to tell a
	// late message from a withdrawal.
	Sequence uint64 `json:"seq,omitempty"`
	// Names lists the claimed and held names, sorted.
	Names []string `json:"names,omitempty"`
}

// Votes is the reply to Claims. The voter votes for every claimed name that is
// not denied.
type Votes struct {
	// Sequence repeats the sequence of the claims.
	Sequence uint64 `json:"seq,omitempty"`
	// Denied lists the claimed names for which the voter gives no vote.
	Denied []Denial `json:"denied,omitempty"`
}

// Denial reports a name for which the voter does not vote, usually because
// another process has its vote.
type Denial struct {
	// Index is the position of the name in the claims.
	Index int `json:"i"`
	// Holder is the node that has the vote; "" if the voter has just started and
	// gives no votes yet, or if the claims arrived late.
	Holder string `json:"holder,omitempty"`
	// Millis is how long the vote lasts unless it is renewed, or how long the
	// voter gives no votes.
	Millis int64 `json:"ms"`
}
