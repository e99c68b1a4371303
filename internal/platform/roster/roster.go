// Package roster defines the interface of the platform's VM list, which contains
// the entry VMs of the fleet and the instances of the targets. Changes appear in
// the list with a delay.
//
// # Usage
//
//	listing, err := list.Read(ctx)
//	for _, n := range listing.Nodes() {
//		connect(n.PeerAddress())
//	}
//
// Plug-ins register under the kind in PluginKind.
package roster

import (
	"context"
	"time"
)

// PluginKind is the registry kind of VM list plug-ins.
const PluginKind = "roster"

// Node is an entry VM of the fleet.
type Node struct {
	id      string
	address string
	zone    string
	leaving bool
}

// NewNode returns a node. address is the ip:port that its peers connect to.
func NewNode(id, address, zone string, leaving bool) Node {
	return Node{id: id, address: address, zone: zone, leaving: leaving}
}

// ID returns the node's name.
func (n Node) ID() string { return n.id }

// PeerAddress returns the ip:port for connections between nodes.
func (n Node) PeerAddress() string { return n.address }

// Zone returns the node's availability zone.
func (n Node) Zone() string { return n.zone }

// Leaving reports whether the platform is about to stop the VM.
func (n Node) Leaving() bool { return n.leaving }

// Instance is a VM of a target.
type Instance struct {
	service string
	address string
	zone    string
	leaving bool
	started time.Time
}

// NewInstance returns an instance. address is its ip:port. started is zero when the
// platform does not report the start time.
func NewInstance(service, address, zone string, leaving bool, started time.Time) Instance {
	return Instance{service: service, address: address, zone: zone, leaving: leaving, started: started}
}

// Service returns the name of the service that the instance belongs to.
func (i Instance) Service() string { return i.service }

// Address returns the instance's ip:port.
func (i Instance) Address() string { return i.address }

// Zone returns the instance's availability zone.
func (i Instance) Zone() string { return i.zone }

// Leaving reports whether the instance must get no new work.
func (i Instance) Leaving() bool { return i.leaving }

// Started returns the start time that the platform reports, or zero.
func (i Instance) Started() time.Time { return i.started }

// Listing is the content of the VM list at one time.
type Listing struct {
	nodes     []Node
	instances []Instance
}

// NewListing returns a listing. The slices are not copied.
func NewListing(nodes []Node, instances []Instance) Listing {
	return Listing{nodes: nodes, instances: instances}
}

// Nodes returns the entry VMs.
func (l Listing) Nodes() []Node { return l.nodes }

// Instances returns the instances of all targets.
func (l Listing) Instances() []Instance { return l.instances }

// List is the platform's VM list.
type List interface {
	// Read returns the current listing.
	Read(ctx context.Context) (Listing, error)
}
