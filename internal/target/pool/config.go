package pool

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/platform/roster"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

// Leases tells which node holds the lease of a name.
type Leases interface {
	// Holds reports whether this node holds the lease. The duration is the
	// minimum time for which the lease remains valid.
	Holds(name string) (time.Duration, bool)
	// Holder returns the node that holds the lease, as far as this node knows.
	Holder(name string) (string, bool)
}

// Caller calls a method of another node.
type Caller interface {
	Call(ctx context.Context, node, method string, params, result any) error
}

// Configuration is the subset of the ledger that pools read.
type Configuration interface {
	Service(name string) (*contract.Service, ledger.Version, bool)
	Services() []*contract.Service
	ZoneOut(zone string) bool
	Floor(service string) float64
}

// Handlers registers functions that handle calls from other nodes. A handler's
// result is sent as the reply.
type Handlers interface {
	Handle(method string, handler func(ctx context.Context, from string, params json.RawMessage) (any, error))
}

// Config holds the dependencies of Pools.
type Config struct {
	// Self is this node's name.
	Self string
	// Incarnation is a random identifier of this process. It differs after a
	// restart.
	Incarnation string
	// Zone is this node's availability zone.
	Zone string
	// VMs returns the declared fleet size.
	VMs func() int
	// Leases tells which node owns a pool.
	Leases Leases
	// Caller calls methods of the other nodes.
	Caller Caller
	// Configuration is the applied configuration.
	Configuration Configuration
	// Instances returns the latest list of target instances. The slice must never
	// be modified in place, and the same slice must be returned until there is a
	// new list.
	Instances func() []roster.Instance
	// Nodes returns the latest list of the other entry VMs.
	Nodes func() []roster.Node
	// Probe checks that an instance responds; if nil, every probe succeeds.
	Probe func(ctx context.Context, address string) error
	// Events records the events of the pools.
	Events *event.Ring
	// Logger receives log lines; nil discards them.
	Logger *zap.Logger
}

func (c *Config) defaults() {
	if c.VMs == nil {
		c.VMs = func() int { return 1 }
	}
	if c.Nodes == nil {
		c.Nodes = func() []roster.Node { return nil }
	}
	if c.Instances == nil {
		c.Instances = func() []roster.Instance { return nil }
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
}
