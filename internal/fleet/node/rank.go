package node

import (
	"hash/fnv"
	"strings"
	"sync"

	"chestnutbay.dev/chestnutbay/internal/platform/roster"
)

// Ranking computes a node's preference rank for lease names by rendezvous hashing over
// the listed nodes that are not leaving. Ranks are cached, because at 1,100 nodes and
// 4,000 names computing them takes more than four million hashes. A Ranking is safe for
// concurrent use.
type Ranking struct {
	self string

	mu       sync.Mutex
	nodes    []roster.Node
	selfNode roster.Node
	listed   bool
	ranks    map[string]int
}

// NewRanking returns the ranking for the node with ID self. Every rank is -1 until
// Update is called with a list that contains the node.
func NewRanking(self string) *Ranking {
	return &Ranking{self: self}
}

// Update sets the listed nodes. It adjusts cached ranks for the nodes that changed
// instead of computing them again, because at 1,100 nodes the list changes some ten
// thousand times a day.
func (k *Ranking) Update(nodes []roster.Node) {
	k.mu.Lock()
	defer k.mu.Unlock()
	removed, added := diffNodes(k.nodes, nodes)
	k.nodes = nodes
	if len(removed)+len(added) == 0 && k.ranks != nil {
		return
	}
	selfNode, listed := findCandidate(nodes, k.self)
	if !listed || selfNode != k.selfNode || k.ranks == nil {
		k.selfNode, k.listed = selfNode, listed
		k.ranks = make(map[string]int)
		return
	}
	for name, r := range k.ranks {
		zone, selfScore := poolZone(name), score(name, selfNode.ID())
		k.ranks[name] = r + k.countPreferred(added, name, zone, selfScore) - k.countPreferred(removed, name, zone, selfScore)
	}
}

// diffNodes returns the nodes that are only in previous and those that are only in
// current. A node whose entry changed is in both results.
func diffNodes(previous, current []roster.Node) (removed, added []roster.Node) {
	onlyPrevious := make(map[roster.Node]bool, len(previous))
	for _, n := range previous {
		onlyPrevious[n] = true
	}
	for _, n := range current {
		if !onlyPrevious[n] {
			added = append(added, n)
		}
		delete(onlyPrevious, n)
	}
	for n := range onlyPrevious {
		removed = append(removed, n)
	}
	return removed, added
}

// findCandidate returns the node with an ID if it is listed and not leaving, so that it
// may hold leases.
func findCandidate(nodes []roster.Node, id string) (roster.Node, bool) {
	for _, n := range nodes {
		if n.ID() == id && !n.Leaving() {
			return n, true
		}
	}
	return roster.Node{}, false
}

// Rank returns how many nodes are preferred to this one for a name, or -1 while this
// node is leaving or not listed.
func (k *Ranking) Rank(name string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r, ok := k.ranks[name]; ok {
		return r
	}
	r := k.compute(name)
	if k.ranks != nil {
		k.ranks[name] = r
	}
	return r
}

func (k *Ranking) compute(name string) int {
	if !k.listed {
		return -1
	}
	return k.countPreferred(k.nodes, name, poolZone(name), score(name, k.selfNode.ID()))
}

// countPreferred returns how many of the given nodes are not leaving and are preferred to
// this node for a name.
func (k *Ranking) countPreferred(nodes []roster.Node, name, zone string, selfScore uint64) int {
	count := 0
	for _, n := range nodes {
		if n.Leaving() || n.ID() == k.self {
			continue
		}
		if preferred(zone, n, k.selfNode, score(name, n.ID()), selfScore) {
			count++
		}
	}
	return count
}

// preferred reports whether node a is preferred to node b for a name. Nodes in the
// pool's zone come first, so that requests for permits rarely cross zones; then the
// higher score decides.
func preferred(zone string, a, b roster.Node, scoreA, scoreB uint64) bool {
	inA, inB := a.Zone() == zone, b.Zone() == zone
	if zone != "" && inA != inB {
		return inA
	}
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return a.ID() < b.ID()
}

// poolZone returns the zone of a lease name "pool/<service>/<zone>", or "" for other
// names.
func poolZone(name string) string {
	parts := strings.Split(name, "/")
	if len(parts) != 3 || parts[0] != "pool" {
		return ""
	}
	return parts[2]
}

// score returns the rendezvous hash of a lease name and a node.
func score(name, node string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	h.Write([]byte{0})
	h.Write([]byte(node))
	return mix(h.Sum64())
}

// mix spreads the low bits of a hash over all its bits with the 64-bit finalizer of
// MurmurHash3. With FNV alone, nodes whose names differ only in the last character are
// in the same order for most lease names.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
