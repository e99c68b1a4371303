package pool

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/base/clock"
	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/platform/roster"
	"chestnutbay.dev/chestnutbay/internal/report/event"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
)

// Parameters of an owner.
const (
	// queuePerSlot and minQueue limit the waiting requests of a class: queuePerSlot
	// requests for each slot of the pool, but at least minQueue.
	queuePerSlot = 4
	minQueue     = 16
	// tombstoneTTL is how long the identity of an ended permit is remembered, so
	// that a request that arrives after its withdrawal gets no permit.
	tombstoneTTL = 30 * time.Second
	// unlistedNodeTimeout is how long a node that is no longer listed may be silent
	// before its permits expire. A node that holds permits reports them every
	// keepAliveEvery.
	unlistedNodeTimeout = 10 * time.Second
	// lostAfter is how old a permit must be before the owner ends it because the
	// node's report of held permits does not list it.
	lostAfter = 5 * time.Second
	// scarceShare is the share of free slots below which nodes are asked to release
	// permits at once.
	scarceShare = 0.3
	// holdWeight is the weight of a new sample in the moving average of the hold
	// time.
	holdWeight = 0.02
	// takeoverEstimate is the estimated wait while a new owner collects the permits
	// in use.
	takeoverEstimate = 200 * time.Millisecond
	// siblingFresh is the age above which the reports of the other zones' owners
	// are requested again before a decision on an ejection. Reports older than
	// siblingStale are not used.
	siblingFresh = 50 * time.Millisecond
	siblingStale = 5 * time.Second
	// siblingPoll is how often an owner asks the other zones' owners while it has
	// ejected instances.
	siblingPoll = 2 * time.Second
	// handoverMaxAge is how long the saved state of a former owner can be used.
	handoverMaxAge = 10 * time.Second
	// pruneEvery is the interval at which unused paths and old tombstones are
	// dropped.
	pruneEvery = 5 * time.Second
)

// poolKey identifies a pool.
type poolKey struct {
	service, zone string
}

func (k poolKey) lease() string { return LeaseName(k.service, k.zone) }

// permitKey identifies a permit. The asking node chooses the ID, so that it can
// withdraw a request whose reply was lost.
type permitKey struct {
	node, incarnation string
	id                uint64
}

// grant is a permit as its owner records it.
type grant struct {
	instance *instance
	address  string
	route    string
	class    contract.Class
	warm     bool
	at       time.Time
}

// member is what an owner knows about a node.
type member struct {
	incarnation string
	seen        time.Time
	// replied is when the owner last replied to the node. acknowledged is when the
	// owner sent the latest reply whose stamp the node has sent back.
	replied      time.Time
	acknowledged time.Time
	// mayKnowSlots is true once the node may have received its static slots.
	mayKnowSlots bool
}

// phase tells whether this node owns a pool and issues permits.
type phase int

const (
	phaseNotOwner phase = iota
	phaseTakingOver
	phaseServing
)

// owner manages one pool on the node that owns it. On a node that does not own
// the pool, its phase is phaseNotOwner.
type owner struct {
	pools *Pools
	key   poolKey

	mu              sync.Mutex
	phase           phase
	epoch           uint64     // number of takeovers; tasks of an earlier takeover are ignored
	leaseUntil      clock.Mark // the lease is valid at least until then
	takeoverStarted time.Time
	service         *contract.Service
	indexGeneration uint64 // generation of the applied list; 0 if none is applied
	zoneOut         bool   // the zone is taken out of service
	instances       map[string]*instance
	sorted          []*instance // instances by address
	permits         map[permitKey]*grant
	tombstones      map[permitKey]time.Time // ended permits and when they ended
	members         map[string]*member
	slotNodes       map[staticSlot]string // node to which each static slot is assigned
	queue           queue
	judge           *evidence.Judge
	viewVersion     uint64 // changes when the nodes' views may have changed
	siblings        map[string]sibling
	askingSiblings  bool
	remoteUpdated   time.Time     // when the judge last got the other zones' outcomes
	holdTime        time.Duration // average time for which a request holds a slot; 0 if unknown
	handover        *handover     // state saved when this node last ceased to be the owner
	handoverAt      time.Time
	lastRefresh     time.Time
	lastPruned      time.Time
	random          *rand.Rand
}

// sibling is the latest report of the owner of the same service's pool in another
// zone.
type sibling struct {
	at    time.Time
	reply stateReply
}

func newOwner(p *Pools, key poolKey) *owner {
	h := fnv.New64a()
	h.Write([]byte(p.config.Self + p.config.Incarnation + key.lease()))
	seed := h.Sum64()
	return &owner{
		pools: p, key: key, viewVersion: seed, judge: evidence.NewJudge(evidence.Careful),
		random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// refresh checks the lease and applies the current list of instances and the
// configuration. It reports whether this node owns the pool and the service is
// configured. It is called before every decision.
func (o *owner) refresh(now time.Time) bool {
	left, ok := o.pools.config.Leases.Holds(o.key.lease())
	if !ok || o.pools.stopping() {
		o.stepDown(now)
		return false
	}
	// A lease that expired and was acquired again had no owner or another owner in
	// between, so the state from before may be out of date.
	if o.phase != phaseNotOwner && clock.Elapsed(o.leaseUntil) > 0 {
		o.stepDown(now)
	}
	o.leaseUntil = clock.Now().Add(left)
	if !o.configure() {
		return false
	}
	if o.phase == phaseNotOwner {
		o.startTakeover(now)
	}
	o.lastRefresh = now
	o.syncInstances(now)
	return true
}

func (o *owner) configure() bool {
	s, _, ok := o.pools.config.Configuration.Service(o.key.service)
	if !ok {
		return false
	}
	if s != o.service {
		o.service = s
		o.judge.SetProfile(profileOf(s))
	}
	return true
}

func profileOf(s *contract.Service) evidence.Profile {
	if s.Detection() == contract.DetectFast {
		return evidence.Fast
	}
	return evidence.Careful
}

func (o *owner) startTakeover(now time.Time) {
	o.phase = phaseTakingOver
	o.epoch++
	o.takeoverStarted = now
	o.indexGeneration = 0
	o.viewVersion++
	o.zoneOut = false
	o.instances = make(map[string]*instance)
	o.sorted = nil
	o.permits = make(map[permitKey]*grant)
	o.tombstones = make(map[permitKey]time.Time)
	o.members = make(map[string]*member)
	o.slotNodes = make(map[staticSlot]string)
	o.siblings = make(map[string]sibling)
	o.judge = evidence.NewJudge(profileOf(o.service))
	epoch := o.epoch
	o.pools.startTask(func(ctx context.Context) { o.takeOver(ctx, epoch) })
}

func (o *owner) stepDown(now time.Time) {
	if o.phase == phaseNotOwner {
		return
	}
	if o.phase == phaseServing {
		o.handover, o.handoverAt = o.buildHandover(now), o.lastRefresh
	}
	o.phase = phaseNotOwner
	for _, w := range o.queue.drain() {
		w.reply <- acquireReply{replyHeader: replyHeader{NotOwner: true}}
	}
	o.recordEvent(event.PoolHomeChanged{Service: o.key.service, Zone: o.key.zone})
}

// syncInstances applies the current list of instances, and whether the zone is
// taken out of service.
func (o *owner) syncInstances(now time.Time) {
	out := o.pools.config.Configuration.ZoneOut(o.key.zone)
	if out != o.zoneOut {
		o.setZoneOut(now, out)
	}
	index := o.pools.index()
	if index.generation == o.indexGeneration {
		return
	}
	initial := o.indexGeneration == 0
	o.indexGeneration = index.generation
	listed := index.pools[o.key]
	seen := make(map[string]bool, len(listed))
	for _, l := range listed {
		seen[l.Address()] = true
		o.syncInstance(now, l, initial)
	}
	for address := range o.instances {
		if !seen[address] {
			o.judge.Remove(address)
			delete(o.instances, address)
		}
	}
	o.rebuildOrder()
}

func (o *owner) setZoneOut(now time.Time, out bool) {
	o.zoneOut = out
	o.viewVersion++
	if out {
		for _, w := range o.queue.drain() {
			w.reply <- acquireReply{Refusal: "zone is out", Final: true}
		}
		return
	}
	for _, i := range o.sorted {
		o.becomeCold(now, i, "zone was brought back")
	}
}

func (o *owner) syncInstance(now time.Time, listed roster.Instance, initial bool) {
	i := o.instances[listed.Address()]
	if i == nil {
		i = newInstance(listed, now)
		o.instances[listed.Address()] = i
		o.viewVersion++
		if !initial {
			o.recordEvent(event.BecameCold{Service: o.key.service, Zone: o.key.zone, Address: listed.Address(), Reason: "first seen"})
		}
		return
	}
	if i.leaving != listed.Leaving() {
		i.leaving = listed.Leaving()
		o.viewVersion++
	}
	if !i.started.Equal(listed.Started()) {
		i.started = listed.Started()
		o.becomeCold(now, i, "start time changed")
	}
}

func (o *owner) becomeCold(now time.Time, i *instance, reason string) {
	i.startCold(now)
	o.judge.Forget(i.address)
	o.viewVersion++
	o.recordEvent(event.BecameCold{Service: o.key.service, Zone: o.key.zone, Address: i.address, Reason: reason})
}

// rebuildOrder sorts the instances by address and assigns the static slots.
func (o *owner) rebuildOrder() {
	o.sorted = o.sorted[:0:0]
	for _, i := range o.instances {
		o.sorted = append(o.sorted, i)
	}
	sort.Slice(o.sorted, func(a, b int) bool { return o.sorted[a].address < o.sorted[b].address })
	o.assignSlots()
}

// acquire handles a request for a permit. The request waits in the queue for as
// long as it allows.
func (o *owner) acquire(ctx context.Context, q acquireParams) acquireReply {
	now := time.Now()
	o.mu.Lock()
	if !o.refresh(now) {
		o.mu.Unlock()
		return acquireReply{replyHeader: o.pools.notOwner(o.key)}
	}
	m := o.updateMember(now, q.sender)
	reply, w := o.admit(now, q)
	if w == nil {
		reply.replyHeader = o.replyHeader(now, m, q.sender)
		o.mu.Unlock()
		return reply
	}
	o.mu.Unlock()
	reply = o.await(ctx, w)
	o.mu.Lock()
	defer o.mu.Unlock()
	if !reply.NotOwner && o.phase != phaseNotOwner {
		reply.replyHeader = o.replyHeader(time.Now(), o.updateMember(time.Now(), q.sender), q.sender)
	}
	return reply
}

// admit grants a permit, refuses the request or queues it. The waiter is nil
// unless the request was queued.
func (o *owner) admit(now time.Time, q acquireParams) (acquireReply, *waiter) {
	key := q.key()
	if _, ok := o.tombstones[key]; ok {
		return acquireReply{Refusal: "request was withdrawn", Final: true}, nil
	}
	if g := o.permits[key]; g != nil {
		return acquireReply{Address: g.address, Warm: g.warm}, nil
	}
	if o.zoneOut {
		return acquireReply{Refusal: "zone is out", Final: true}, nil
	}
	if o.phase == phaseServing {
		if !o.anyCandidate(now, q) {
			return acquireReply{Refusal: "no usable instance", Final: true}, nil
		}
		if o.queue.ofClass(q.Class).length == 0 && (q.Class != contract.Bulk || o.queue.length() == 0) {
			if i := o.choose(now, q); i != nil {
				return o.grantPermit(now, q, i), nil
			}
		}
	}
	estimate := o.estimate(q.Class)
	wait := time.Duration(q.WaitMillis) * time.Millisecond
	if wait <= 0 || estimate > estimateSlack*wait {
		return acquireReply{Refusal: "all slots are in use", RetryMillis: estimate.Milliseconds() + 1}, nil
	}
	w := &waiter{
		params: q, arrived: now.Add(-time.Duration(q.WaitedMillis) * time.Millisecond),
		reply: make(chan acquireReply, 1),
	}
	dropped := o.queue.push(w, max(minQueue, queuePerSlot*len(o.sorted)*o.service.Slots()))
	if dropped != nil {
		dropped.reply <- acquireReply{Refusal: "queue is full", RetryMillis: estimate.Milliseconds() + 1, QueueFull: true}
	}
	return acquireReply{}, w
}

// A request is refused at once if its estimated wait is more than estimateSlack
// times the time that it can wait. The factor allows for estimates that are too high.
const estimateSlack = 2

// estimate returns how long a new request of the class would wait for a slot.
func (o *owner) estimate(c contract.Class) time.Duration {
	if o.phase != phaseServing {
		return takeoverEstimate
	}
	perSecond := 0.0
	hold := o.typicalHoldTime()
	for _, i := range o.sorted {
		if i.leaving || i.suspect != nil {
			continue
		}
		switch i.state {
		case stateActive:
			perSecond += float64(max(0, i.limit(o.service.Slots()))) / hold.Seconds()
		case stateCold:
			perSecond += i.ramp.rate(o.service.Slots(), hold)
		case stateEjected:
		}
	}
	if perSecond == 0 {
		return time.Second
	}
	ahead := o.queue.interactive.length + 1
	if c == contract.Bulk {
		ahead = o.queue.length() + 1
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

func (o *owner) typicalHoldTime() time.Duration {
	if o.holdTime == 0 {
		return unknownHold
	}
	return max(o.holdTime, minHold)
}

// anyCandidate reports whether any instance could take the request once it has a
// free slot.
func (o *owner) anyCandidate(now time.Time, q acquireParams) bool {
	for _, i := range o.sorted {
		if o.usable(now, i, q) && i.state != stateEjected {
			return true
		}
	}
	return false
}

func (o *owner) usable(now time.Time, i *instance, q acquireParams) bool {
	if i.leaving || o.zoneOut || !i.pathUsable(q.Node, now) {
		return false
	}
	for _, address := range q.Exclude {
		if address == i.address {
			return false
		}
	}
	return true
}

// choose returns the usable instance with the least load, or nil if none has a
// free slot. It picks at random among equally loaded instances, so that the first
// in the list does not get more requests than the others.
func (o *owner) choose(now time.Time, q acquireParams) *instance {
	var best *instance
	ties := 0
	slots := o.service.Slots()
	for _, i := range o.sorted {
		if !o.usable(now, i, q) || !i.hasFreeSlot(q.Class, slots) {
			continue
		}
		if i.state == stateCold && !i.ramp.ready(now, slots, o.typicalHoldTime()) {
			continue
		}
		if best != nil && i.load(slots) > best.load(slots) {
			continue
		}
		if best == nil || i.load(slots) < best.load(slots) {
			best, ties = i, 1
			continue
		}
		ties++
		if o.random.IntN(ties) == 0 {
			best = i
		}
	}
	return best
}

func (o *owner) grantPermit(now time.Time, q acquireParams, i *instance) acquireReply {
	key := q.key()
	g := &grant{
		instance: i, address: i.address, route: q.Route, class: q.Class,
		warm: i.state == stateActive, at: now,
	}
	o.addPermit(key, g)
	if i.state == stateCold {
		i.ramp.takeToken()
	}
	// This request tries a paused path again. The pause is renewed, so that the
	// VM's next requests do not use the path before the outcome is known.
	if i.paths[q.Node] != nil {
		i.pausePath(q.Node, now)
	}
	return acquireReply{Address: i.address, Warm: g.warm}
}

// addPermit records a permit and counts it in its instance.
func (o *owner) addPermit(key permitKey, g *grant) {
	o.permits[key] = g
	g.instance.inFlight++
	if g.class == contract.Bulk {
		g.instance.bulk++
		if g.instance.bulk == 1 {
			o.viewVersion++
		}
	}
}

// endPermit removes a permit, frees its slot and remembers the permit's identity.
// It returns nil if there is no such permit.
func (o *owner) endPermit(now time.Time, key permitKey) *grant {
	o.tombstones[key] = now
	g := o.permits[key]
	if g == nil {
		return nil
	}
	delete(o.permits, key)
	g.instance.inFlight--
	if g.class == contract.Bulk {
		g.instance.bulk--
		if g.instance.bulk == 0 {
			o.viewVersion++
		}
	}
	return g
}

// await waits until a queued request gets a reply or its wait time is over.
func (o *owner) await(ctx context.Context, w *waiter) acquireReply {
	timer := time.NewTimer(time.Duration(w.params.WaitMillis) * time.Millisecond)
	defer timer.Stop()
	select {
	case reply := <-w.reply:
		return reply
	case <-timer.C:
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if w.queued {
		o.queue.ofClass(w.params.Class).remove(w)
		return acquireReply{Refusal: "no slot became free in time", RetryMillis: o.estimate(w.params.Class).Milliseconds() + 1}
	}
	return <-w.reply
}

// serveQueue grants free slots to waiting requests.
func (o *owner) serveQueue(now time.Time) {
	if o.phase != phaseServing || o.zoneOut {
		return
	}
	for o.queue.placeNext(func(w *waiter) bool { return o.place(now, w) }) {
		continue
	}
}

func (o *owner) place(now time.Time, w *waiter) bool {
	if _, withdrawn := o.tombstones[w.params.key()]; withdrawn {
		w.reply <- acquireReply{Refusal: "request was withdrawn", Final: true}
		return true
	}
	i := o.choose(now, w.params)
	if i == nil {
		return false
	}
	w.reply <- o.grantPermit(now, w.params, i)
	return true
}

// release handles a message with ended permits, their outcomes and, with
// Reconcile, the permits that the node still holds.
func (o *owner) release(p releaseParams) releaseReply {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.refresh(now) {
		return releaseReply{replyHeader: o.pools.notOwner(o.key)}
	}
	m := o.updateMember(now, p.sender)
	for _, r := range p.Done {
		o.finishPermit(now, p.sender, r)
	}
	if p.Reconcile {
		o.reconcile(now, p)
	}
	o.serveQueue(now)
	return releaseReply{replyHeader: o.replyHeader(now, m, p.sender)}
}

func (o *owner) finishPermit(now time.Time, s sender, r result) {
	key := permitKey{node: s.Node, incarnation: s.Incarnation, id: r.ID}
	if _, repeated := o.tombstones[key]; repeated {
		return
	}
	g := o.endPermit(now, key)
	if r.Address == "" {
		return
	}
	if g != nil && g.warm && g.class != contract.Bulk && r.Outcome.Kind == evidence.Answered {
		o.updateHoldTime(now.Sub(g.at))
	}
	o.observe(now, s.Node, r)
}

// updateHoldTime adds a sample to the moving average of the hold time. The average
// starts from the long unknownHold: if it started from a short first sample, the
// ramp would be too steep.
func (o *owner) updateHoldTime(d time.Duration) {
	if o.holdTime == 0 {
		o.holdTime = unknownHold
	}
	o.holdTime += time.Duration(holdWeight * float64(d-o.holdTime))
}

// reconcile ends the node's permits that its report of held permits does not
// list. Their outcomes were lost, or the node never received the permits, so it
// will not release them.
func (o *owner) reconcile(now time.Time, p releaseParams) {
	held := make(map[uint64]bool, len(p.Held))
	for _, id := range p.Held {
		held[id] = true
	}
	for key, g := range o.permits {
		if key.node == p.Node && key.incarnation == p.Incarnation && !held[key.id] && now.Sub(g.at) > lostAfter {
			o.endPermit(now, key)
		}
	}
}

// updateMember records a message from a node. A new incarnation of the node ends
// the permits of the former one.
func (o *owner) updateMember(now time.Time, s sender) *member {
	m := o.members[s.Node]
	if m == nil || m.incarnation != s.Incarnation {
		if m != nil {
			o.expirePermits(now, s.Node, func(k permitKey) bool { return k.incarnation != s.Incarnation })
		}
		m = &member{incarnation: s.Incarnation}
		o.members[s.Node] = m
	}
	m.seen = now
	if at := time.Unix(0, s.Stamp); at.After(m.acknowledged) && !at.After(now) {
		m.acknowledged = at
	}
	if s.Renounce {
		m.mayKnowSlots = false
	}
	for _, held := range s.Static {
		o.adopt(now, permitKey{node: s.Node, incarnation: s.Incarnation, id: held.ID}, held)
	}
	return m
}

// adopt records a permit that this owner did not issue, for example one of the
// former owner or one on a static slot.
func (o *owner) adopt(now time.Time, key permitKey, held heldPermit) {
	if _, ok := o.tombstones[key]; ok || o.permits[key] != nil {
		return
	}
	i := o.instances[held.Address]
	if i == nil {
		return
	}
	o.addPermit(key, &grant{instance: i, address: held.Address, route: held.Route, class: held.Class, at: now})
}

func (o *owner) expirePermits(now time.Time, node string, match func(permitKey) bool) {
	for key := range o.permits {
		if key.node == node && match(key) {
			o.endPermit(now, key)
		}
	}
}

// replyHeader returns the common part of a reply to a node. It includes a new
// view if the node's view is out of date.
func (o *owner) replyHeader(now time.Time, m *member, s sender) replyHeader {
	m.replied = now
	header := replyHeader{Stamp: now.UnixNano(), SlotsScarce: o.slotsScarce()}
	if s.View != o.viewVersion && o.phase == phaseServing && !s.Renounce {
		header.View = o.viewFor(s.Node)
		m.mayKnowSlots = m.mayKnowSlots || len(header.View.Slots) > 0
	}
	return header
}

func (o *owner) slotsScarce() bool {
	slots, used := 0, 0
	for _, i := range o.sorted {
		slots += max(0, i.limit(o.service.Slots()))
		used += i.inFlight
	}
	return o.queue.length() > 0 || float64(slots-used) < scarceShare*float64(slots)
}

func (o *owner) recordEvent(e event.Event) {
	o.pools.config.Events.Record(e)
	o.pools.config.Logger.Info(e.Summary(), zap.String("service", o.key.service), zap.String("zone", o.key.zone))
}

// tick performs the periodic work of an owner.
func (o *owner) tick(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.refresh(now) {
		return
	}
	o.removeUnlistedNodes(now)
	o.reserveSlots(now)
	if o.phase == phaseServing {
		o.advanceRamps(now)
		o.refreshSiblings(now)
		o.liftEjections(now)
		o.probeEjected(now)
		o.decideSuspects(now)
	}
	o.prune(now)
	o.serveQueue(now)
}

func (o *owner) prune(now time.Time) {
	if now.Sub(o.lastPruned) < pruneEvery {
		return
	}
	o.lastPruned = now
	o.judge.Prune(now)
	for key, at := range o.tombstones {
		if now.Sub(at) > tombstoneTTL {
			delete(o.tombstones, key)
		}
	}
}

// removeUnlistedNodes removes silent nodes that are no longer listed and ends
// their permits.
func (o *owner) removeUnlistedNodes(now time.Time) {
	listed := o.pools.listedNodes()
	for name, m := range o.members {
		if listed[name] || now.Sub(m.seen) < unlistedNodeTimeout {
			continue
		}
		o.expirePermits(now, name, func(permitKey) bool { return true })
		delete(o.members, name)
	}
}
