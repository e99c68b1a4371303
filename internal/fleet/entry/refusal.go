package entry

import (
	"strings"
	"sync"

	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/fleet/feed"
)

const (
	// maxRefusals bounds the keys of unusable records that are remembered. Unusable
	// records of further keys are not logged.
	maxRefusals = 256
	// maxRefusalText bounds the parts of a log line that another program wrote, in bytes.
	maxRefusalText = 200
)

// refusals holds the keys of the records that cannot be used. A record that another
// program writes again and again is logged once. The zero value is empty. It is safe for
// concurrent use.
type refusals struct {
	mu   sync.Mutex
	keys map[recordKey]bool
}

// recordKey identifies a record of the store.
type recordKey struct {
	topic feed.Topic
	key   string
}

// add adds a key and reports whether its record is to be logged.
func (l *refusals) add(key recordKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keys[key] || len(l.keys) == maxRefusals {
		return false
	}
	if l.keys == nil {
		l.keys = make(map[recordKey]bool)
	}
	l.keys[key] = true
	return true
}

// remove removes a key that has no record or a usable one.
func (l *refusals) remove(key recordKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.keys, key)
}

// logRefusal logs the first of successive records of a key that cannot be used.
func (v *VM) logRefusal(t feed.Topic, r feed.Record, reason string) {
	if !v.refusals.add(recordKey{t, r.Key}) {
		return
	}
	v.config.Logger.Warn("record cannot be used", zap.Stringer("topic", t), zap.String("key", truncate(r.Key)), zap.Int64("offset", r.Offset),
		zap.Int("bytes", len(r.Value)), zap.String("why", truncate(reason)))
}

// truncate returns the first maxRefusalText bytes of s, with bytes that are not UTF-8
// replaced.
func truncate(s string) string {
	return strings.ToValidUTF8(s[:min(len(s), maxRefusalText)], "\ufffd")
}
