package feed

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// HandleAnnouncement merges an announcement of another VM. If the announcement shows
// that this VM is behind and does not carry all missing records, this VM starts to
// catch up. Announcements are ignored before the topic is loaded.
func (f *Feed) HandleAnnouncement(vm string, a Announcement) {
	if !a.Topic.Valid() {
		return
	}
	began := time.Now().Add(-a.Age)
	f.mu.Lock()
	state := &f.topics[a.Topic]
	if !state.loaded {
		f.mu.Unlock()
		return
	}
	if a.Next > state.announcedNext {
		state.announcedNext, state.announcedBy, state.announcedAt = a.Next, vm, time.Now()
	}
	behind := a.Next > state.next
	switch {
	case !behind:
		if a.Next == state.next && !a.Partial {
			state.recordProof(began)
		}
	case a.Complete && a.From <= state.next:
		if !a.Partial {
			state.recordProof(began)
		}
		from := state.next
		f.apply(a.Topic, a.Records, a.Next)
		f.logAdvance("announcement", a.Topic, from, len(a.Records), zap.String("announced_by", vm), zap.Duration("age", a.Age))
		behind = false
	}
	f.mu.Unlock()
	if behind {
		f.wakeFollower(a.Topic)
	}
}

// splitAnnouncement distributes the records of an announcement over several
// announcements that fit one datagram each. A record too large for a datagram is left
// out, and the announcement of its offsets is marked as not complete.
func splitAnnouncement(a Announcement) []Announcement {
	if !a.Complete || len(a.Records) == 0 {
		return []Announcement{a}
	}
	var list []Announcement
	part, groups := a, batches(a.Records)
	for i, group := range groups {
		part.Records = group
		part.Next, part.Partial = group[len(group)-1].Offset+1, true
		if i == len(groups)-1 {
			part.Next, part.Partial = a.Next, false
		}
		if len(group) == 1 && group[0].size() > maxAnnounceBytes {
			part.Records, part.Complete = nil, false
		}
		list = append(list, part)
		part.From, part.Complete = part.Next, true
	}
	return list
}

// batches groups records that fit one datagram together. A record too large for a
// datagram forms a group of its own.
func batches(records []Record) [][]Record {
	var groups [][]Record
	size := 0
	for _, r := range records {
		if len(groups) == 0 || size+r.size() > maxAnnounceBytes {
			groups, size = append(groups, nil), 0
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], r)
		size += r.size()
	}
	return groups
}

// logAdvance logs that a topic advanced from an offset with a number of records. An advance
// of Configuration without a record of a new version is the trace of a record left out. The
// instances advance with every read and are logged only for debugging. The caller holds the
// lock.
func (f *Feed) logAdvance(source string, t Topic, from int64, records int, fields ...zap.Field) {
	next := f.topics[t].next
	if next == from {
		return
	}
	fields = append(fields, zap.Stringer("topic", t), zap.Int64("from", from), zap.Int64("next", next), zap.Int("records", records))
	f.config.Logger.Log(logLevel(t), "topic advanced by "+source, fields...)
}

// logLevel returns the level of the log lines on how a topic advances.
func logLevel(t Topic) zapcore.Level {
	if t == Configuration {
		return zapcore.InfoLevel
	}
	return zapcore.DebugLevel
}
