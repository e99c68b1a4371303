// Package outbox remembers what a VM still has to report to the others. Reports go
// in datagrams, which get lost, so each change is reported a few times.
//
// # Usage
//
//	var changes outbox.Changes
//	changes.Mark("orders") // the counts of orders have changed
//	for _, key := range changes.Take() {
//		reports = append(reports, counts[key])
//	}
package outbox

// copies is how often a change is reported.
const copies = 2

// Changes holds the keys whose counts have changed. The zero value is empty. It is
// not safe for concurrent use: the counts and their changes share a lock.
type Changes struct {
	left map[string]int // reports that are still due
}

// Mark notes a change of a key.
func (c *Changes) Mark(key string) {
	if c.left == nil {
		c.left = make(map[string]int)
	}
	c.left[key] = copies
}

// Drop forgets a key.
func (c *Changes) Drop(key string) { delete(c.left, key) }

// Len returns how many keys are to be reported.
func (c *Changes) Len() int { return len(c.left) }

// Take returns the keys to report now and counts the report.
func (c *Changes) Take() []string {
	keys := make([]string, 0, len(c.left))
	for key, left := range c.left {
		keys = append(keys, key)
		if left <= 1 {
			delete(c.left, key)
			continue
		}
		c.left[key] = left - 1
	}
	return keys
}
