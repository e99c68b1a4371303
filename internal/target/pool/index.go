package pool

import (
	"hash/fnv"
	"slices"
	"sort"
	"time"

	"chestnutbay.dev/chestnutbay/internal/platform/roster"
)

// nodeListEvery is the minimum interval between reads of the list of nodes.
const nodeListEvery = 250 * time.Millisecond

// index holds the list of instances grouped by pool. It is immutable.
type index struct {
	generation uint64
	list       []roster.Instance
	pools      map[poolKey][]roster.Instance
	zones      map[string][]string // zones of each service, sorted
	keys       []poolKey           // sorted by lease name
	names      []string            // lease names, in the order of keys
}

func newIndex(generation uint64, list []roster.Instance) *index {
	x := &index{
		generation: generation, list: list,
		pools: make(map[poolKey][]roster.Instance), zones: make(map[string][]string),
	}
	for _, i := range list {
		key := poolKey{service: i.Service(), zone: i.Zone()}
		x.pools[key] = append(x.pools[key], i)
	}
	for key := range x.pools {
		x.keys = append(x.keys, key)
		x.zones[key.service] = append(x.zones[key.service], key.zone)
	}
	for _, zones := range x.zones {
		sort.Strings(zones)
	}
	sort.Slice(x.keys, func(a, b int) bool { return x.keys[a].lease() < x.keys[b].lease() })
	for _, key := range x.keys {
		x.names = append(x.names, key.lease())
	}
	return x
}

// builtFrom reports whether the index was built from this very slice.
func (x *index) builtFrom(list []roster.Instance) bool {
	if len(list) != len(x.list) {
		return false
	}
	return len(list) == 0 || &list[0] == &x.list[0]
}

// update returns the index of a newer list. A list with the same instances keeps
// the groups and the generation of x. x may be nil.
func (x *index) update(list []roster.Instance) *index {
	if x == nil {
		return newIndex(1, list)
	}
	if slices.Equal(list, x.list) {
		relisted := *x
		relisted.list = list
		return &relisted
	}
	return newIndex(x.generation+1, list)
}

// started returns an instance's listed start time. It reports false if the
// instance is not listed or is leaving, and so must get no new requests.
func (x *index) started(key poolKey, address string) (time.Time, bool) {
	for _, i := range x.pools[key] {
		if i.Address() == address {
			return i.Started(), !i.Leaving()
		}
	}
	return time.Time{}, false
}

// index returns the index of the latest list of instances.
func (p *Pools) index() *index {
	list := p.config.Instances()
	x := p.cachedIndex.Load()
	if x != nil && x.builtFrom(list) {
		return x
	}
	p.indexMu.Lock()
	defer p.indexMu.Unlock()
	x = p.cachedIndex.Load()
	if x != nil && x.builtFrom(list) {
		return x
	}
	x = x.update(list)
	p.cachedIndex.Store(x)
	return x
}

// zoneOrder returns the zones of a service that are not taken out of service, the
// node's own zone first. The order of the other zones differs between nodes, so
// that requests that leave a zone are spread over the others.
func (p *Pools) zoneOrder(service string) []string {
	var zones []string
	for _, z := range p.index().zones[service] {
		if !p.config.Configuration.ZoneOut(z) {
			zones = append(zones, z)
		}
	}
	sort.Slice(zones, func(a, b int) bool {
		own, other := zones[a] == p.config.Zone, zones[b] == p.config.Zone
		if own != other {
			return own
		}
		return p.zoneRank(zones[a]) < p.zoneRank(zones[b])
	})
	return zones
}

func (p *Pools) zoneRank(zone string) uint32 {
	f := fnv.New32a()
	f.Write([]byte(p.config.Self + "/" + zone))
	return f.Sum32()
}

// nodeSet holds the names of the listed nodes and the time of the listing.
type nodeSet struct {
	at    time.Time
	names map[string]bool
}

// listedNodes returns the names of all listed nodes, including this one. It may
// be up to nodeListEvery old. The caller must not modify the map.
func (p *Pools) listedNodes() map[string]bool {
	now := time.Now()
	if s := p.cachedNodes.Load(); s != nil && now.Sub(s.at) < nodeListEvery {
		return s.names
	}
	names := map[string]bool{p.config.Self: true}
	for _, n := range p.config.Nodes() {
		names[n.ID()] = true
	}
	p.cachedNodes.Store(&nodeSet{at: now, names: names})
	return names
}
