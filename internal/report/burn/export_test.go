package burn

import "time"

// CountAt counts a sample at a given time, so that tests can simulate days without a
// timer for each request.
func (c *Counters) CountAt(s Sample, at time.Time) { c.count(s, unitOf(at)) }

// SnapshotAt returns the snapshot at a given time.
func (c *Counters) SnapshotAt(node string, q Query, at time.Time) Snapshot {
	return c.snapshot(node, q, unitOf(at))
}
