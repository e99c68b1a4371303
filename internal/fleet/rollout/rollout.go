// Package rollout shows which VMs run which configuration and settings. Every VM reports
// the version of its configuration and a digest of its settings to the others, so that
// each of them can tell, for every availability zone, how many VMs run what, since when,
// and which VMs lag.
//
// # Usage
//
//	t := rollout.New(rollout.Config{Changed: gossip.RequestSend})
//	t.SetVersion(7)
//	report, ok := t.Report()        // goes to the other VMs
//	t.Observe("vm-2", report)       // from another VM
//	status := t.Status(self, members) // for operators
package rollout

import (
	"sync"
	"time"

	"chestnutbay.dev/chestnutbay/internal/fleet/gossip"
)

const (
	// reportsPerChange is how often a change is reported at once, since a datagram may
	// get lost.
	reportsPerChange = 2
	// repeatPeriod is the interval at which an unchanged report is repeated, for VMs that
	// started later.
	repeatPeriod = 5 * time.Second
	// maxNames bounds the VMs that a Status names for each zone.
	maxNames = 5
)

// Running is what one VM runs.
type Running struct {
	_ struct{} `cbor:",toarray"`
	// Version is the version of the configuration in force, or 0 before the first.
	Version int64
	// Settings is a digest of the settings that all VMs of a fleet share.
	Settings string
	// Age is the time since the last change of one of them.
	Age time.Duration
}

// same reports whether two VMs run the same.
func (r Running) same(other Running) bool {
	return r.Version == other.Version && r.Settings == other.Settings
}

// Config holds the dependencies of a Tracker.
type Config struct {
	// Changed is called when this VM has a change to report; urgent asks to report it at
	// once. It may be nil.
	Changed func(urgent bool)
}

// Tracker knows what the VMs of the fleet run. It is safe for concurrent use.
type Tracker struct {
	config Config

	mu         sync.Mutex
	own        Running
	since      time.Time // when own changed
	due        int       // reports of the last change that are still to be sent
	lastReport time.Time
	vms        map[string]observed
}

// observed is the last report of another VM.
type observed struct {
	running Running
	since   time.Time
}

// New returns a tracker of a VM that runs nothing yet.
func New(c Config) *Tracker {
	return &Tracker{config: c, vms: make(map[string]observed), since: time.Now()}
}

// SetVersion records the version of the configuration that this VM has put in force.
func (t *Tracker) SetVersion(version int64) {
	t.change(func(r *Running) { r.Version = version })
}

// SetSettings records the digest of the settings that this VM has read.
func (t *Tracker) SetSettings(digest string) {
	t.change(func(r *Running) { r.Settings = digest })
}

// change applies f to what this VM runs, and makes the change due for a report.
func (t *Tracker) change(f func(r *Running)) {
	t.mu.Lock()
	before := t.own
	f(&t.own)
	changed := !before.same(t.own)
	if changed {
		t.since, t.due = time.Now(), reportsPerChange
	}
	t.mu.Unlock()
	if changed && t.config.Changed != nil {
		t.config.Changed(false)
	}
}

// Report returns what this VM runs if a report of it is due.
func (t *Tracker) Report() (Running, bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.due == 0 && now.Sub(t.lastReport) < repeatPeriod {
		return Running{}, false
	}
	t.due = max(t.due-1, 0)
	t.lastReport = now
	r := t.own
	r.Age = now.Sub(t.since)
	return r, true
}

// Observe records the report of another VM.
func (t *Tracker) Observe(vm string, r Running) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vms[vm] = observed{running: r, since: time.Now().Add(-r.Age)}
}

// ForgetVM drops the report of a VM that is no longer a member.
func (t *Tracker) ForgetVM(vm string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.vms, vm)
}

// Status returns what the members run, self included, as this VM knows it.
func (t *Tracker) Status(self gossip.Member, members []gossip.Member) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Status{VM: self.Name, Version: t.own.Version, Settings: t.own.Settings, Since: t.since}
	known := make(map[string]observed, len(members))
	for _, m := range members {
		if o, ok := t.vms[m.Name]; ok && m.Name != self.Name {
			known[m.Name] = o
		}
	}
	known[self.Name] = observed{running: t.own, since: t.since}
	s.Zones = zonesOf(members, known)
	return s
}
