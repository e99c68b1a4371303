// Package departure spreads over the fleet which target instances said in a response that
// they are leaving. Such an instance gets no new requests from then on, although its
// registration may still say that it is ready.
//
// A notice names one run of an instance, by the instance's ID and start, so that an
// instance that starts again under its ID gets requests again.
//
// # Usage
//
//	n := departure.New(departure.Config{Directory: &directory, Changed: gossip.RequestSend})
//	n.Record(instance)        // a response of the instance said that it is leaving
//	datagram.Add(n.Reports()) // to the other VMs
//	n.Observe(notices)        // from another VM
package departure

import (
	"sync"

	"chestnutbay.dev/chestnutbay/internal/fleet/outbox"
	"chestnutbay.dev/chestnutbay/internal/target/directory"
)

// Notice says that one run of an instance is leaving.
type Notice struct {
	_        struct{} `cbor:",toarray"`
	Instance string
	// Started is the start of the run, as directory.Registration.Started.
	Started int64
}

// Config holds the dependencies of Notices. Directory is required.
type Config struct {
	Directory *directory.Directory
	// Changed is called when this VM has a new notice for the other VMs; urgent asks to
	// report it at once. It may be nil.
	Changed func(urgent bool)
}

// Notices records departures and reports them to the other VMs. It is safe for
// concurrent use.
type Notices struct {
	config Config

	mu      sync.Mutex
	started map[string]int64 // by instance, of the notices that are still to be reported
	changed outbox.Changes   // instances whose notices are to be reported
}

// New returns Notices without a departure.
func New(c Config) *Notices {
	return &Notices{config: c, started: make(map[string]int64)}
}

// Record notes that a response of the instance to this VM said that it is leaving.
func (n *Notices) Record(i *directory.Instance) {
	if !n.config.Directory.MarkLeaving(i.ID(), i.Started()) {
		return
	}
	n.mu.Lock()
	n.started[i.ID()] = i.Started()
	n.changed.Mark(i.ID())
	n.mu.Unlock()
	if n.config.Changed != nil {
		n.config.Changed(true)
	}
}

// Reports returns the notices that are to be reported to the other VMs. Each is returned
// by two calls, because one report of it may get lost.
func (n *Notices) Reports() []Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []Notice
	for _, id := range n.changed.Take() {
		list = append(list, Notice{Instance: id, Started: n.started[id]})
	}
	if n.changed.Len() == 0 {
		clear(n.started)
	}
	return list
}

// Dirty reports whether Reports would return anything.
func (n *Notices) Dirty() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed.Len() > 0
}

// Observe applies the notices of another VM. They are not reported any further.
func (n *Notices) Observe(list []Notice) {
	for _, notice := range list {
		n.config.Directory.MarkLeaving(notice.Instance, notice.Started)
	}
}
