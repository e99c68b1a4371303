package entry

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/contract/routing"
	"chestnutbay.dev/chestnutbay/internal/fleet/feed"
	"chestnutbay.dev/chestnutbay/internal/target/directory"
)

// maxAnnouncements bounds what waits to be announced; each read makes a few.
const maxAnnouncements = 64

// announcements wait for the next datagram.
type announcements struct {
	mu   sync.Mutex
	list []feed.Announcement
	at   []time.Time
}

func (o *announcements) put(a feed.Announcement) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.list) == maxAnnouncements {
		o.list, o.at = o.list[1:], o.at[1:]
	}
	o.list = append(o.list, a)
	o.at = append(o.at, time.Now())
}

// take returns what waits, with the time that it has waited added to its age.
func (o *announcements) take() []feed.Announcement {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := o.list
	for i := range list {
		list[i].Age += time.Since(o.at[i])
	}
	o.list, o.at = nil, nil
	return list
}

// announce tells the other VMs how far this one has read.
func (v *VM) announce(a feed.Announcement) {
	v.outbox.put(a)
	v.gossip.Changed(true)
}

// apply puts a record in force.
func (v *VM) apply(t feed.Topic, r feed.Record, loaded bool) {
	log := v.config.Logger
	switch u := v.config.Decoder.Decode(t, r).(type) {
	case feed.ConfigurationUpdate:
		v.putInForce(u.Config, r.Offset)
	case feed.ZoneUpdate:
		v.setZone(u, r.Offset)
	case feed.InstanceUpdate:
		v.putInstance(u, r.Offset, loaded)
	case feed.InstanceRemoval:
		if v.directory.Remove(u.ID) {
			v.balancer.Forget(u.ID)
			log.Info("instance is gone", zap.String("instance", u.ID), zap.Int64("offset", r.Offset))
		}
	case feed.Unreadable:
		log.Warn("record cannot be used", zap.Stringer("topic", t), zap.String("key", u.Key), zap.Int64("offset", r.Offset), zap.String("why", u.Reason))
	}
}

// putInForce makes a configuration the one in force, unless a newer one is.
func (v *VM) putInForce(c routing.Config, offset int64) {
	log := v.config.Logger.With(zap.Int64("configuration", c.Version), zap.Int64("offset", offset))
	if old := v.table.Load(); old != nil && old.Version() >= c.Version {
		log.Warn("older configuration is left out", zap.Int64("in_force", old.Version()))
		return
	}
	table, err := routing.New(c)
	if err != nil {
		log.Error("configuration is invalid; the last one stays in force", zap.Error(err))
		return
	}
	v.table.Store(table)
	log.Info("configuration in force", zap.Int("routes", table.Routes()), zap.Int("accounts", table.Accounts()))
}

// setZone takes a zone out or back in. Instances that got no requests for a while
// come back cold.
func (v *VM) setZone(u feed.ZoneUpdate, offset int64) {
	if !v.directory.SetZoneOut(u.Zone, u.Out) {
		return
	}
	v.config.Logger.Info("availability zone changed", zap.String("zone", u.Zone), zap.Bool("out", u.Out), zap.Int64("offset", offset))
	if !u.Out {
		v.directory.MarkZoneCold(u.Zone, func(service string) time.Time { return time.Now().Add(v.warmup(service)) })
	}
}

func (v *VM) warmup(service string) time.Duration {
	if s, ok := v.service(service); ok {
		return s.Warmup()
	}
	return 0
}

func (v *VM) putInstance(u feed.InstanceUpdate, offset int64, loaded bool) {
	reg := u.Registration
	if u.Cold > 0 {
		reg.ColdUntil = time.Now().Add(u.Cold)
	}
	old, known := v.directory.Get(reg.ID)
	if known && old.Started() == reg.Started && old.ColdUntil().After(reg.ColdUntil) && u.Cold > 0 {
		reg.ColdUntil = old.ColdUntil()
	}
	i := directory.NewInstance(reg)
	fresh := v.directory.Put(i)
	if fresh && loaded {
		v.balancer.MarkJoined(i)
	}
	if fresh || known && old.Leaving() != reg.Leaving {
		v.config.Logger.Info("instance listed", zap.String("instance", reg.ID), zap.String("service", reg.Service),
			zap.String("address", reg.Address), zap.Bool("leaving", reg.Leaving), zap.Duration("cold", u.Cold), zap.Int64("offset", offset))
	}
}
