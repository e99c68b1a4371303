package evidence

import (
	"net/http"
	"slices"
	"time"
)

// Limits of the judge's tests.
const (
	// userTimeout is how long a VM counts as a user of an instance after its last
	// outcome there.
	userTimeout = 10 * time.Second
	// A first byte is slow when it takes more than slowFactor times the peers' 90th
	// percentile and more than slowMargin longer than that. The margin keeps
	// scheduling delays from counting as slow responses in fast services.
	slowFactor   = 3
	slowMargin   = 20 * time.Millisecond
	slowQuantile = 0.9
	// minPeerWeight is the weight of the peers' first-byte times below which no
	// response counts as slow.
	minPeerWeight = 20
	// restartConnections is how many connections must break within restartWindow
	// before a restart is suspected.
	restartConnections = 2
	restartWindow      = time.Second
	// minReachingVMs is how many other VMs must have reached an instance since one
	// VM's first failure before the failures are attributed to that VM's path. One
	// VM is enough if no further VM used the instance.
	minReachingVMs = 2
	// pathExpiry is how long an unused path is kept.
	pathExpiry = 10 * time.Minute
	// confirmTimeout is how long a finding waits for the peers to have as many
	// outcomes as the instance before it is confirmed without them.
	confirmTimeout = time.Second
	// slowLimitTTL is how long the limit for slow responses of an instance on a route
	// is reused.
	slowLimitTTL = 250 * time.Millisecond
)

// Observation is the outcome of one attempt, with where and when it ended.
type Observation struct {
	At       time.Time
	Instance string // address
	Route    string
	VM       string
	// Warm is false while the instance is in cold start, when slow responses are
	// expected.
	Warm    bool
	Outcome Outcome
}

// Judge detects failing instances of one pool by comparing each instance with its
// peers, the other instances of the service. It is not safe for concurrent use.
//
// For each instance and route it runs a cumulative-sum (CUSUM) test: every bad outcome
// adds the log-likelihood ratio of "fails like a broken instance" to "fails like
// its peers", every good one subtracts from it, and the sum never falls below zero.
// An outcome is bad when the attempt failed, the status is 500 or more, or the
// first byte came later than three times the peers' 90th percentile. When the sum
// crosses the threshold of the service's Profile, it is computed again with the
// peers' outcomes since the first bad one, so that an overload or outage of the
// whole service does not count against the instance that crosses first.
//
// The zero value uses the profile Careful.
//
// If more than one VM used the instance, at least two must have reported bad
// outcomes. A VM whose connections fail in a row while two others reach the
// instance has a broken path; its outcomes are ignored until one succeeds.
//
// # Usage of the judge
//
//	judge := evidence.NewJudge(evidence.Careful)
//	for _, finding := range judge.Observe(observation) {
//		switch f := finding.(type) {
//		case evidence.Failing:
//			eject(f.Instance)
//		case evidence.PathBroken:
//			avoid(f.VM, f.Instance)
//		}
//	}
type Judge struct {
	profile   Profile
	routes    map[string]*route
	instances map[string]*instance
	remote    map[string]Record
}

// NewJudge returns a judge that uses a profile and has no outcomes.
func NewJudge(p Profile) *Judge {
	return &Judge{profile: p}
}

// SetProfile changes how much evidence a finding needs.
func (j *Judge) SetProfile(p Profile) { j.profile = p }

// SetRemote replaces the records of the service's instances in other zones, by route.
// The owners of the pools in those zones report them.
func (j *Judge) SetRemote(remote map[string]Record) { j.remote = remote }

func (j *Judge) thresholds() Profile {
	if j.profile == (Profile{}) {
		return Careful
	}
	return j.profile
}

// route holds the outcomes of all instances on one route.
type route struct {
	all    decayingRecord
	recent recentCounts
	series map[string]*series // by instance address
	// count does not decay, so that the difference of two of its values gives the
	// outcomes in between.
	count Tally
}

// series holds the outcomes of one instance on one route, and the state of their
// cumulative-sum test, which starts again at zero whenever the outcomes look healthy.
type series struct {
	own         decayingRecord
	count       Tally             // without decay, as route.count
	score       float64           // cumulative sum
	since       time.Time         // start of the window
	window      Tally             // outcomes since the first bad one
	byVM        map[string]*Tally // the window's outcomes by VM
	peersBefore Tally             // the peers' count when the window began
	slowLimit   time.Duration     // above which a first byte is slow; 0 if unknown
	slowLimitAt time.Time         // when the limit was computed
}

// instance holds the state of an instance that all routes share.
type instance struct {
	paths             map[string]*path // by VM
	brokenConnections []brokenConnection
}

// path is the network path from one VM to an instance.
type path struct {
	lastUsed    time.Time
	score       float64   // cumulative sum of transport failures in a row
	window      Tally     // transport failures in a row
	since       time.Time // first of them
	broken      bool      // until the VM reaches the instance again
	lastReached time.Time // last outcome other than a transport failure
}

// brokenConnection is one failed connection that a VM reported.
type brokenConnection struct {
	at time.Time
	vm string
}

func (j *Judge) route(name string) *route {
	r := j.routes[name]
	if r == nil {
		if j.routes == nil {
			j.routes = make(map[string]*route)
		}
		r = &route{series: make(map[string]*series)}
		j.routes[name] = r
	}
	return r
}

func (j *Judge) instance(address string) *instance {
	i := j.instances[address]
	if i == nil {
		if j.instances == nil {
			j.instances = make(map[string]*instance)
		}
		i = &instance{paths: make(map[string]*path)}
		j.instances[address] = i
	}
	return i
}

func (r *route) seriesOf(address string) *series {
	s := r.series[address]
	if s == nil {
		s = &series{byVM: make(map[string]*Tally)}
		r.series[address] = s
	}
	return s
}

// Forget drops the outcomes of an instance, for example after it was ejected or
// restarted. Paths that are broken stay so.
func (j *Judge) Forget(address string) {
	for _, r := range j.routes {
		if s := r.series[address]; s != nil {
			r.all.addScaled(s.own.Record, -1)
			r.count.addScaled(s.count, -1)
			delete(r.series, address)
		}
	}
	if i := j.instances[address]; i != nil {
		i.brokenConnections = nil
		for _, p := range i.paths {
			p.score, p.window = 0, Tally{}
		}
	}
}

// Remove drops all state of an instance that no longer exists.
func (j *Judge) Remove(address string) {
	j.Forget(address)
	delete(j.instances, address)
}

// Records returns a record of all instances of this pool for each route, for the owners
// of the service's pools in other zones. Record.Recent counts the outcomes within the
// window that ends now.
func (j *Judge) Records(now time.Time, window time.Duration) map[string]Record {
	records := make(map[string]Record, len(j.routes))
	for name, r := range j.routes {
		r.all.decayTo(now)
		record := r.all.Record
		// The caller encodes the record while the judge goes on.
		record.FirstByte.Counts = slices.Clone(record.FirstByte.Counts)
		record.Recent = r.recent.since(now, window)
		records[name] = record
	}
	return records
}

// Failed reports whether the attempt failed, regardless of its speed: no whole response
// arrived, the target refused the request, or the status is 500 or more.
func (o Outcome) Failed() bool {
	switch o.Kind {
	case ConnectFailed, Reset, TimedOut, Malformed, Refused:
		return true
	case Answered, Cancelled:
	}
	return o.Status >= http.StatusInternalServerError
}

// transportFailed reports whether the attempt failed in a way that the network path may
// have caused.
func (o Outcome) transportFailed() bool {
	switch o.Kind {
	case ConnectFailed, Reset, TimedOut, Malformed:
		return true
	case Answered, Refused, Cancelled:
	}
	return false
}

// brokeConnection reports whether the attempt failed in a way that a restart of the
// target causes.
func (o Outcome) brokeConnection() bool {
	return o.Kind == ConnectFailed || o.Kind == Reset
}

// Slow reports whether the first byte of a response came much later than those of the
// instance's peers on the route, as defined by slowFactor and slowMargin.
func (j *Judge) Slow(o Observation) bool {
	if o.Outcome.Kind != Answered || o.Outcome.FirstByte <= 0 {
		return false
	}
	r := j.route(o.Route)
	limit := j.slowLimit(r, r.seriesOf(o.Instance), o)
	return limit > 0 && o.Outcome.FirstByte > limit
}

// slowLimit returns the time above which a first byte is slow, or 0 while there are too
// few outcomes of peers.
func (j *Judge) slowLimit(r *route, s *series, o Observation) time.Duration {
	if !s.slowLimitAt.IsZero() && o.At.Sub(s.slowLimitAt) < slowLimitTTL {
		return s.slowLimit
	}
	s.slowLimitAt = o.At
	s.slowLimit = 0
	peers := j.peerRecord(r, s, o)
	if peers.FirstByte.Total >= minPeerWeight {
		typical := peers.FirstByte.Quantile(slowQuantile)
		s.slowLimit = max(slowFactor*typical, typical+slowMargin)
	}
	return s.slowLimit
}

func (j *Judge) peerRecord(r *route, s *series, o Observation) Record {
	r.all.decayTo(o.At)
	s.own.decayTo(o.At)
	var peers Record
	peers.addScaled(r.all.Record, 1)
	peers.addScaled(s.own.Record, -1)
	peers.addScaled(j.remote[o.Route], 1)
	return peers
}

// Observe adds one outcome and returns the findings that follow from it.
func (j *Judge) Observe(o Observation) []Finding {
	if o.Outcome.Kind == Cancelled {
		return nil
	}
	var findings []Finding
	i := j.instance(o.Instance)
	p := i.path(o.VM, o.At)
	if f := j.observeConnection(i, o); f != nil {
		findings = append(findings, f)
	}
	if f := j.observePath(i, p, o); f != nil {
		findings = append(findings, f)
	}
	if p.broken {
		return findings
	}
	if f := j.observeRoute(i, o); f != nil {
		findings = append(findings, f)
	}
	return findings
}

func (i *instance) path(vm string, now time.Time) *path {
	p := i.paths[vm]
	if p == nil {
		p = new(path)
		i.paths[vm] = p
	}
	p.lastUsed = now
	return p
}

// observeConnection returns a PossibleRestart when enough connections to the instance
// broke within restartWindow.
func (j *Judge) observeConnection(i *instance, o Observation) Finding {
	if !o.Outcome.brokeConnection() {
		return nil
	}
	i.brokenConnections = slices.DeleteFunc(i.brokenConnections, func(b brokenConnection) bool {
		return o.At.Sub(b.at) >= restartWindow
	})
	i.brokenConnections = append(i.brokenConnections, brokenConnection{at: o.At, vm: o.VM})
	if len(i.brokenConnections) < restartConnections {
		return nil
	}
	vms := make(map[string]bool)
	for _, b := range i.brokenConnections {
		vms[b.vm] = true
	}
	f := PossibleRestart{Instance: o.Instance, Connections: len(i.brokenConnections), VMs: len(vms)}
	i.brokenConnections = i.brokenConnections[:0]
	return f
}

// observePath runs the test of the path from one VM. It returns a PathBroken or a
// PathWorks when the state of the path changes.
func (j *Judge) observePath(i *instance, p *path, o Observation) Finding {
	failed := o.Outcome.transportFailed()
	if !failed {
		p.lastReached = o.At
		p.score, p.window = 0, Tally{}
		if p.broken {
			p.broken = false
			return PathWorks{VM: o.VM, Instance: o.Instance}
		}
		return nil
	}
	if p.window.Total == 0 {
		p.since = o.At
	}
	bad, _ := likelihoodRatios(priorRate)
	p.score += bad
	p.window.add(true)
	if p.broken || p.score < j.thresholds().PathThreshold {
		return nil
	}
	others := i.otherVMs(p)
	reached := others.Total - others.Bad
	if reached < others.Bad || reached < min(minReachingVMs, max(1, others.Total)) {
		return nil
	}
	return j.markPathBroken(p, o.VM, o.Instance, others)
}

// markPathBroken marks the path as broken and removes its outcomes from the
// instance's series, since they are no evidence about the instance.
func (j *Judge) markPathBroken(p *path, vm, address string, others Tally) Finding {
	f := PathBroken{VM: vm, Instance: address, Window: p.window, Others: others}
	p.broken = true
	for _, r := range j.routes {
		if s := r.series[address]; s != nil {
			s.discard(vm)
		}
	}
	return f
}

// discard removes a VM's outcomes from the window and subtracts the contribution of
// its bad outcomes from the cumulative sum.
func (s *series) discard(vm string) {
	t := s.byVM[vm]
	if t == nil {
		return
	}
	bad, _ := likelihoodRatios(priorRate)
	s.score = max(0, s.score-bad*t.Bad)
	s.window.addScaled(*t, -1)
	delete(s.byVM, vm)
}

// otherVMs counts the other VMs that used the instance since p's first failure. Those
// that have not reached it since, or whose last attempt failed, count as bad.
func (i *instance) otherVMs(p *path) Tally {
	var t Tally
	for _, other := range i.paths {
		if other == p || other.broken || other.lastUsed.Before(p.since) {
			continue
		}
		t.add(other.lastReached.Before(p.since) || other.window.Total > 0)
	}
	return t
}

// observeRoute runs the test of the instance on the outcome's route. It returns a
// Failing when the instance fails more often than its peers.
func (j *Judge) observeRoute(i *instance, o Observation) Finding {
	r := j.route(o.Route)
	s := r.seriesOf(o.Instance)
	slow := o.Warm && j.Slow(o)
	peers := j.peerTally(r, s, o.At)
	bad := o.Outcome.Failed() || slow
	r.all.decayTo(o.At)
	s.own.decayTo(o.At)
	r.all.Long.add(bad)
	s.own.Long.add(bad)
	r.recent.add(o.At, bad)
	r.count.add(bad)
	s.count.add(bad)
	if o.Warm && o.Outcome.FirstByte > 0 && o.Outcome.Kind == Answered {
		r.all.FirstByte.add(o.Outcome.FirstByte)
		s.own.FirstByte.add(o.Outcome.FirstByte)
	}
	remote := j.remote[o.Route]
	peers.addScaled(remote.Long, 1)
	s.update(r, o, bad, badRate(peers, Tally{Total: priorWeight, Bad: priorWeight * priorRate}))
	if s.score < j.thresholds().Threshold {
		return nil
	}
	return j.judgeCrossing(i, r, s, o)
}

func (j *Judge) peerTally(r *route, s *series, now time.Time) Tally {
	r.all.decayTo(now)
	s.own.decayTo(now)
	t := r.all.Long
	t.addScaled(s.own.Long, -1)
	return t
}

// badRate returns the rate of bad outcomes, averaged with a prior.
func badRate(observed, prior Tally) float64 {
	return clampRate((observed.Bad + prior.Bad) / (observed.Total + prior.Total))
}

// update adds an outcome to the cumulative sum, for peers with rate p0.
func (s *series) update(r *route, o Observation, bad bool, p0 float64) {
	onBad, onGood := likelihoodRatios(p0)
	if s.window.Total == 0 && !bad {
		return
	}
	if s.window.Total == 0 {
		s.since = o.At
		s.peersBefore = r.count
		s.peersBefore.addScaled(s.count, -1)
	}
	s.window.add(bad)
	t := s.byVM[o.VM]
	if t == nil {
		t = new(Tally)
		s.byVM[o.VM] = t
	}
	t.add(bad)
	if bad {
		s.score += onBad
		return
	}
	s.score += onGood
	if s.score <= 0 {
		s.restart()
	}
}

// restart starts the test again at zero, with an empty window.
func (s *series) restart() {
	s.score = 0
	s.window = Tally{}
	clear(s.byVM)
}

// judgeCrossing is called when the score of a series has crossed the threshold. It
// returns a Failing, or nil if the peers' outcomes in the window, or the VMs that
// reported bad outcomes, point to another cause.
func (j *Judge) judgeCrossing(i *instance, r *route, s *series, o Observation) Finding {
	p0 := j.peerRate(r, s, o.Route, o.At, s.peersInWindow(r))
	if score := s.scoreAgainst(p0); score < j.thresholds().Threshold {
		s.score = max(0, score)
		if s.score == 0 {
			s.restart()
		}
		return nil
	}
	users := i.userCount(o.At)
	vms := s.badVMCount()
	if users > 1 && (vms < 2 || !s.failsWithoutWorstVM(p0)) {
		return nil
	}
	if i.looksLikeBrokenPaths(s) {
		return nil
	}
	return Failing{
		Instance: o.Instance, Route: o.Route, Window: s.window, Peers: s.peersInWindow(r),
		VMs: vms, Users: users, Since: s.since,
	}
}

// peerRate returns the rate of bad outcomes of the peers. Their outcomes since the
// instance's first bad one, given as window, weigh more than earlier ones, so that an
// overload of the whole service does not count against the instance that crosses first.
func (j *Judge) peerRate(r *route, s *series, name string, now time.Time, window Tally) float64 {
	long := j.peerTally(r, s, now)
	long.addScaled(j.remote[name].Long, 1)
	p0 := badRate(long, Tally{Total: priorWeight, Bad: priorWeight * priorRate})
	return max(p0, badRate(window, Tally{Total: windowWeight, Bad: windowWeight * p0}))
}

// peersInWindow returns the peers' outcomes since the window began.
func (s *series) peersInWindow(r *route) Tally {
	t := r.count
	t.addScaled(s.count, -1)
	t.addScaled(s.peersBefore, -1)
	return t
}

// scoreAgainst returns the window's log-likelihood ratio for peers with rate p0. It is
// 0 when the rates differ by less than minDifference, however many outcomes show the
// difference: otherwise every instance would cross the threshold in time during an
// outage of the whole service.
func (s *series) scoreAgainst(p0 float64) float64 {
	if s.window.Bad/max(1, s.window.Total)-p0 < minDifference {
		return 0
	}
	onBad, onGood := likelihoodRatios(p0)
	return onBad*s.window.Bad + onGood*(s.window.Total-s.window.Bad)
}

// userCount returns how many VMs with an unbroken path used the instance recently.
func (i *instance) userCount(now time.Time) int {
	n := 0
	for _, p := range i.paths {
		if !p.broken && now.Sub(p.lastUsed) < userTimeout {
			n++
		}
	}
	return n
}

func (s *series) badVMCount() int {
	n := 0
	for _, t := range s.byVM {
		if t.Bad > 0 {
			n++
		}
	}
	return n
}

// failsWithoutWorstVM reports whether the outcomes still look like those of a failing
// instance when the VM with the most bad outcomes is left out.
func (s *series) failsWithoutWorstVM(p0 float64) bool {
	var worst Tally
	for _, t := range s.byVM {
		if t.Bad > worst.Bad {
			worst = *t
		}
	}
	rest := s.window
	rest.addScaled(worst, -1)
	return rest.Bad >= 1 && rest.Bad/rest.Total >= (p0+failingRate(p0))/2
}

// looksLikeBrokenPaths reports whether at least two VMs have only good outcomes while
// all others have only transport failures. A network partition between racks or zones
// has this effect, and the test of each path will soon detect it.
func (i *instance) looksLikeBrokenPaths(s *series) bool {
	working := 0
	for vm, t := range s.byVM {
		switch {
		case t.Bad == 0:
			working++
		case t.Bad < t.Total, i.paths[vm] == nil, i.paths[vm].window.Total < t.Bad:
			return false
		}
	}
	return working >= 2
}

// Prune drops the paths that were not used for pathExpiry.
func (j *Judge) Prune(now time.Time) {
	for _, i := range j.instances {
		for vm, p := range i.paths {
			if now.Sub(p.lastUsed) > pathExpiry {
				delete(i.paths, vm)
			}
		}
	}
}

// MedianFirstByte returns an instance's median time to first byte on a route, or 0 if
// there is no measurement.
func (j *Judge) MedianFirstByte(routeName, address string) time.Duration {
	r := j.routes[routeName]
	if r == nil || r.series[address] == nil {
		return 0
	}
	return r.series[address].own.FirstByte.Quantile(0.5)
}

// Suspected reports whether the score of an instance has reached at least half of the
// threshold on any route.
func (j *Judge) Suspected(address string) bool {
	for _, r := range j.routes {
		if s := r.series[address]; s != nil && s.score >= j.thresholds().Threshold/2 {
			return true
		}
	}
	return false
}

// Confirm compares a failing instance with its peers again and reports whether it
// still fails more often. Call it after SetRemote has updated the records of the
// peers in other zones. Confirm returns false while the peers have fewer outcomes
// than the instance, because the whole service may be failing; it stops waiting for
// them confirmTimeout after the instance's first bad outcome.
func (j *Judge) Confirm(routeName, address string, now time.Time) bool {
	r := j.routes[routeName]
	if r == nil || r.series[address] == nil {
		return false
	}
	s := r.series[address]
	peers := s.peersInWindow(r)
	peers.addScaled(j.remote[routeName].Recent, 1)
	if peers.Total < s.window.Total && now.Sub(s.since) < confirmTimeout {
		return false
	}
	return s.scoreAgainst(j.peerRate(r, s, routeName, now, peers)) >= j.thresholds().Threshold
}

// Merge adds up the records of several pools by route.
func Merge(lists ...map[string]Record) map[string]Record {
	merged := make(map[string]Record)
	for _, list := range lists {
		for name, record := range list {
			sum := merged[name]
			sum.addScaled(record, 1)
			merged[name] = sum
		}
	}
	return merged
}
