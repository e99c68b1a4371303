package roster

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrInvalid reports a listing with problems.
var ErrInvalid = merry.Sentinel("invalid VM list")

// File is the serialized form of a Listing, in settings (YAML) and in responses of
// the platform's HTTP service (JSON).
type File struct {
	Nodes     []NodeFile     `yaml:"nodes" json:"nodes"`
	Instances []InstanceFile `yaml:"instances" json:"instances"`
}

// NodeFile is an entry VM in a File.
type NodeFile struct {
	ID      string `yaml:"id" json:"id"`
	Address string `yaml:"address" json:"address"`
	Zone    string `yaml:"zone" json:"zone"`
	Leaving bool   `yaml:"leaving,omitempty" json:"leaving,omitempty"`
}

// InstanceFile is an instance of a target in a File.
type InstanceFile struct {
	Service string    `yaml:"service" json:"service"`
	Address string    `yaml:"address" json:"address"`
	Zone    string    `yaml:"zone" json:"zone"`
	Leaving bool      `yaml:"leaving,omitempty" json:"leaving,omitempty"`
	Started time.Time `yaml:"started,omitempty" json:"started,omitzero"`
}

// Listing checks the file and returns its content. The error lists every
// problem and matches ErrInvalid.
func (f File) Listing() (Listing, error) {
	var problems []error
	addf := func(format string, args ...any) {
		problems = append(problems, fmt.Errorf(format, args...))
	}
	nodes := make([]Node, 0, len(f.Nodes))
	seenIDs := make(map[string]bool, len(f.Nodes))
	for i, n := range f.Nodes {
		if n.ID == "" || seenIDs[n.ID] {
			addf("nodes[%d].id: must be set and unique, is %q", i, n.ID)
		}
		if _, err := netip.ParseAddrPort(n.Address); err != nil {
			addf("nodes[%d].address: must be ip:port, is %q", i, n.Address)
		}
		seenIDs[n.ID] = true
		nodes = append(nodes, NewNode(n.ID, n.Address, n.Zone, n.Leaving))
	}
	instances := make([]Instance, 0, len(f.Instances))
	for i, instance := range f.Instances {
		if instance.Service == "" {
			addf("instances[%d].service: must be set", i)
		}
		if _, err := netip.ParseAddrPort(instance.Address); err != nil {
			addf("instances[%d].address: must be ip:port, is %q", i, instance.Address)
		}
		instances = append(instances, NewInstance(instance.Service, instance.Address, instance.Zone, instance.Leaving, instance.Started))
	}
	if len(problems) > 0 {
		return Listing{}, merry.Errorf("%w: %w", ErrInvalid, errors.Join(problems...))
	}
	return NewListing(nodes, instances), nil
}
