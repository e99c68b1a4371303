package node_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chestnutbay.dev/chestnutbay/internal/fleet/node"
	"chestnutbay.dev/chestnutbay/internal/platform/roster"
)

// The seed is fixed so that the test result is the same on every run.
const seed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", seed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// makeNodes returns n nodes, spread over three zones in turn. The nodes with the
// indexes in leaving are leaving.
func makeNodes(n int, leaving ...int) []roster.Node {
	zones := []string{"north", "south", "east"}
	var nodes []roster.Node
	for i := range n {
		isLeaving := false
		for _, l := range leaving {
			isLeaving = isLeaving || l == i
		}
		nodes = append(nodes, roster.NewNode(fmt.Sprintf("vm-%d", i), "", zones[i%len(zones)], isLeaving))
	}
	return nodes
}

// ranksOf returns the rank of each node for a name, in the order of nodes.
func ranksOf(nodes []roster.Node, name string) []int {
	var all []int
	for _, n := range nodes {
		r := node.NewRanking(n.ID())
		r.Update(nodes)
		all = append(all, r.Rank(name))
	}
	return all
}

// Guards against two nodes with the same rank for a name, which would cause a split vote
// at every election, and against leaving nodes as candidates.
func TestRanksAreDistinct(t *testing.T) {
	is := is.New(t)
	nodes := makeNodes(48, 3, 7)
	for i := range 64 {
		seen := make(map[int]bool)
		for v, r := range ranksOf(nodes, fmt.Sprintf("account/%02d", i)) {
			is.Equal(r < 0, nodes[v].Leaving())
			is.True(r < 0 || !seen[r])
			seen[r] = true
		}
	}
}

// Guards against a pool whose owner is in another zone although the pool's zone has
// nodes.
func TestPoolPrefersItsZone(t *testing.T) {
	is := is.New(t)
	nodes := makeNodes(12)
	for v, r := range ranksOf(nodes, "pool/catalogue/south") {
		is.Equal(r < 4, nodes[v].Zone() == "south")
	}
}

// Guards against a hash that ranks a few nodes first for most names.
func TestNamesSpread(t *testing.T) {
	is := is.New(t)
	nodes := makeNodes(48)
	firstRanked := make(map[int]int)
	for i := range 4096 {
		for v, r := range ranksOf(nodes, fmt.Sprintf("account/%04d", i)) {
			if r == 0 {
				firstRanked[v]++
			}
		}
	}
	for v := range nodes {
		is.True(firstRanked[v] > 40 && firstRanked[v] < 140) // The average is 85 per node.
	}
}

// Guards against a node that leaves the list and changes the first-ranked node of names
// for which it was not ranked first itself.
func TestNodeLossMovesOnlyItsNames(t *testing.T) {
	is := is.New(t)
	nodes := makeNodes(48)
	remaining := append(append([]roster.Node(nil), nodes[:5]...), nodes[6:]...)
	for i := range 200 {
		name := fmt.Sprintf("account/%d", i)
		before, after := ranksOf(nodes, name), ranksOf(remaining, name)
		for v := range remaining {
			u := v
			if v >= 5 {
				u = v + 1
			}
			is.True(before[5] == 0 || (before[u] == 0) == (after[v] == 0))
		}
	}
}

// Guards against cached ranks that, after nodes join, disappear, start to leave or move
// to another zone, differ from those of a new Ranking.
func TestAdjustedRanksAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := node.NewRanking("vm-1")
		for range 6 {
			nodes := makeNodes(12)
			var current []roster.Node
			for i, n := range nodes {
				switch rapid.IntRange(0, 4).Draw(t, "state") {
				case 0:
				case 1:
					current = append(current, roster.NewNode(n.ID(), "", n.Zone(), true))
				case 2:
					current = append(current, roster.NewNode(n.ID(), "", nodes[(i+1)%12].Zone(), false))
				default:
					current = append(current, n)
				}
			}
			r.Update(current)
			fresh := node.NewRanking("vm-1")
			fresh.Update(current)
			for _, name := range []string{"account/01", "account/02", "pool/catalogue/south"} {
				if got, want := r.Rank(name), fresh.Rank(name); got != want {
					t.Fatalf("%s: rank %d after updates, but %d in a new Ranking", name, got, want)
				}
			}
		}
	})
}

// BenchmarkRanking measures the time that an Update with a changed list takes with all
// ranks cached.
func BenchmarkRanking(b *testing.B) {
	for _, size := range []struct{ nodes, names int }{{12, 73}, {48, 73}, {275, 1000}, {1100, 4134}} {
		b.Run(fmt.Sprintf("nodes=%d/names=%d", size.nodes, size.names), func(b *testing.B) {
			lists := [][]roster.Node{makeNodes(size.nodes), makeNodes(size.nodes, 5)}
			r := node.NewRanking("vm-1")
			r.Update(lists[0])
			for i := range size.names {
				r.Rank(fmt.Sprintf("account/%d", i))
			}
			for i := 1; b.Loop(); i++ {
				r.Update(lists[i%2])
			}
		})
	}
}
