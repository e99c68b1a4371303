package entry

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/contract/routing"
	"chestnutbay.dev/chestnutbay/internal/fleet/feed"
	"chestnutbay.dev/chestnutbay/internal/target/directory"
)

// maxAnnouncements bounds the announcements that wait to be sent. Each read of the store
// adds a few; when the limit is reached, the oldest is dropped.
const maxAnnouncements = 64

// announcementQueue holds the announcements to send in the next datagrams.
type announcementQueue struct {
	mu      sync.Mutex
	list    []feed.Announcement
	addedAt []time.Time // when each element of list was added
}

// put adds an announcement.
func (q *announcementQueue) put(a feed.Announcement) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.list) == maxAnnouncements {
		q.list, q.addedAt = q.list[1:], q.addedAt[1:]
	}
	q.list = append(q.list, a)
	q.addedAt = append(q.addedAt, time.Now())
}

// take empties the queue and returns its announcements. The time that each has waited is
// added to its age.
func (q *announcementQueue) take() []feed.Announcement {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.list
	for i := range list {
		list[i].Age += time.Since(q.addedAt[i])
	}
	q.list, q.addedAt = nil, nil
	return list
}

// announce sends an announcement to the other VMs in the next datagram.
func (v *VM) announce(a feed.Announcement) {
	v.outbox.put(a)
	v.gossip.RequestSend(true)
}

// apply decodes a record and applies it to the routing table or the directory of
// instances.
func (v *VM) apply(t feed.Topic, r feed.Record, loaded bool) {
	log := v.config.Logger
	key := recordKey{topic: t, key: r.Key}
	switch u := v.config.Decoder.Decode(t, r).(type) {
	case feed.ConfigurationUpdate:
		v.refusals.remove(key)
		v.applyConfiguration(u.Config, r.Offset)
	case feed.ZoneUpdate:
		v.applyZone(u, r.Offset)
	case feed.InstanceUpdate:
		v.refusals.remove(key)
		v.applyInstance(u, r.Offset, loaded)
	case feed.InstanceRemoval:
		if u.Invalid == "" {
			v.refusals.remove(key)
		} else {
			v.logRefusal(t, r, u.Invalid)
		}
		if v.directory.Remove(u.ID) {
			v.balancer.Forget(u.ID)
			log.Info("instance is gone", zap.String("instance", u.ID), zap.Int64("offset", r.Offset))
		}
	case feed.UnreadableRecord:
		v.logRefusal(t, r, u.Reason)
	}
}

// applyConfiguration puts a configuration in force if its version is higher than the
// current one and it is valid.
func (v *VM) applyConfiguration(c routing.Config, offset int64) {
	log := v.config.Logger.With(zap.Int64("configuration", c.Version), zap.Int64("offset", offset))
	if current := v.table.Load(); current != nil && current.Version() >= c.Version {
		log.Warn("older configuration is left out", zap.Int64("in_force", current.Version()))
		return
	}
	table, err := routing.New(c)
	if err != nil {
		log.Error("configuration is invalid; the last one stays in force", zap.Error(err))
		return
	}
	v.table.Store(table)
	v.rollout.SetVersion(c.Version)
	log.Info("configuration in force", zap.Int("routes", table.RouteCount()), zap.Int("accounts", table.AccountCount()))
}

// applyZone takes a zone out of service or returns it to service. The instances of a
// returning zone start cold, since they received no requests in the meantime.
func (v *VM) applyZone(u feed.ZoneUpdate, offset int64) {
	if !v.directory.SetZoneOut(u.Zone, u.OutOfService) {
		return
	}
	v.config.Logger.Info("availability zone changed", zap.String("zone", u.Zone), zap.Bool("out", u.OutOfService), zap.Int64("offset", offset))
	if !u.OutOfService {
		v.directory.MarkZoneCold(u.Zone, func(service string) time.Time { return time.Now().Add(v.warmup(service)) })
	}
}

// warmup returns how long an instance of a service is cold, or 0 if the service is
// unknown.
func (v *VM) warmup(service string) time.Duration {
	if s, ok := v.service(service); ok {
		return s.Warmup()
	}
	return 0
}

// applyInstance adds or updates an instance in the directory. An update without a restart
// of the instance does not shorten the remaining cold period, unless it reports that the
// instance is no longer cold.
func (v *VM) applyInstance(u feed.InstanceUpdate, offset int64, loaded bool) {
	reg := u.Registration
	if u.ColdRemaining > 0 {
		reg.ColdUntil = time.Now().Add(u.ColdRemaining)
	}
	previous, known := v.directory.Get(reg.ID)
	if known && previous.Started() == reg.Started && previous.ColdUntil().After(reg.ColdUntil) && u.ColdRemaining > 0 {
		reg.ColdUntil = previous.ColdUntil()
	}
	i := directory.NewInstance(reg)
	added := v.directory.Put(i)
	if added && loaded {
		v.balancer.MarkJoined(i)
	}
	if added || known && previous.Leaving() != reg.Leaving {
		v.config.Logger.Info("instance listed", zap.String("instance", reg.ID), zap.String("service", reg.Service),
			zap.String("address", reg.Address), zap.Bool("leaving", reg.Leaving), zap.Duration("cold", u.ColdRemaining), zap.Int64("offset", offset))
	}
}
