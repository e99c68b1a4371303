// Package outbox tracks the changes that a VM still has to report to the other VMs.
// Reports are sent in datagrams, which can be lost, so each change is reported twice.
//
// # Usage
//
//	var changes outbox.Changes
//	changes.Mark("orders") // the counts of orders have changed
//	for _, key := range changes.Take() {
//		reports = append(reports, counts[key])
//	}
package outbox

// reportsPerChange is how often a change is reported. With two reports, the loss of one
// datagram does not hide the change.
const reportsPerChange = 2

// Changes holds the keys whose counts have changed. The zero value is empty. It is
// not safe for concurrent use: the caller's lock protects the counts and their Changes
// together.
type Changes struct {
	due map[string]int // number of reports still due for each key
}

// Mark records that the count of a key has changed. All its reports are due again.
func (c *Changes) Mark(key string) {
	if c.due == nil {
		c.due = make(map[string]int)
	}
	c.due[key] = reportsPerChange
}

// Drop removes a key, so that it is not reported any more.
func (c *Changes) Drop(key string) { delete(c.due, key) }

// Len returns the number of keys with reports still due.
func (c *Changes) Len() int { return len(c.due) }

// Take returns all keys with reports still due, in no particular order, and counts one
// report of each as sent.
func (c *Changes) Take() []string {
	keys := make([]string, 0, len(c.due))
	for key, reportsDue := range c.due {
		keys = append(keys, key)
		if reportsDue <= 1 {
			delete(c.due, key)
			continue
		}
		c.due[key] = reportsDue - 1
	}
	return keys
}
