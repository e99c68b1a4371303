package burn

import (
	"cmp"
	"slices"
	"sort"
	"strings"
	"time"
)

// DefaultLimit is the largest number of pairs that a node reports if the query names no
// limit. A line takes about 170 bytes, so the replies of 1,100 nodes stay under 100 MB.
const DefaultLimit = 500

// Query selects the counters for a snapshot.
type Query struct {
	// Account selects one client account. "" selects all accounts.
	Account string `json:"account,omitempty"`
	// Limit is the largest number of pairs that a node reports, or 0 for DefaultLimit.
	// A node reports the pairs with the most failures. The sums of a pair that some
	// nodes leave out are incomplete.
	Limit int `json:"limit,omitempty"`
}

// Line holds the sums of one counter, or of one pair over several nodes.
type Line struct {
	Pair
	Windows [4]Sum `json:"windows"`
}

// Point is the sum of all counters over the length of one cell, which begins at Start.
type Point struct {
	Start time.Time `json:"start"`
	Sum
}

// Snapshot holds the sums of one node's counters, or of several nodes' after Merge.
type Snapshot struct {
	// Nodes are the IDs of the nodes whose counters are included.
	Nodes []string `json:"nodes"`
	// Lines has one entry for each pair with an eligible request within three days, up
	// to the query's limit on each node.
	Lines []Line `json:"lines"`
	// Dropped counts the pairs beyond the query's limit, summed over nodes.
	Dropped int `json:"dropped,omitempty"`
	// LastHour and ThreeDays are the sums of all accounts over time.
	LastHour  []Point `json:"last_hour"`
	ThreeDays []Point `json:"three_days"`
}

// Snapshot returns the sums of this node's counters that the query selects.
func (c *Counters) Snapshot(node string, q Query) Snapshot {
	return c.snapshot(node, q, unitOf(time.Now()))
}

func (c *Counters) snapshot(node string, q Query, now uint32) Snapshot {
	snap := Snapshot{Nodes: []string{node}}
	var lastHour, threeDays timeline
	for i := range c.shards {
		sh := &c.shards[i]
		sh.mu.Lock()
		snap.Lines = sh.lines(snap.Lines, q.Account, now)
		lastHour.addSeries(&sh.total, OneHour, now)
		threeDays.addSeries(&sh.total, ThreeDays, now)
		sh.mu.Unlock()
	}
	snap.LastHour, snap.ThreeDays = lastHour.points(), threeDays.points()
	snap.limit(q.Limit)
	return snap
}

// lines appends the lines of an account, or of all accounts for "", to list.
func (sh *shard) lines(list []Line, account string, now uint32) []Line {
	for p, s := range sh.series {
		if account != "" && p.Account != account {
			continue
		}
		sums := s.sums(now)
		if sums[ThreeDays].Eligible > 0 {
			list = append(list, Line{Pair: p, Windows: sums})
		}
	}
	return list
}

// limit sorts the lines and keeps at most limit of them, those with the most failures.
func (s *Snapshot) limit(limit int) {
	if limit <= 0 {
		limit = DefaultLimit
	}
	if len(s.Lines) > limit {
		slices.SortFunc(s.Lines, worstFirst)
		s.Dropped += len(s.Lines) - limit
		s.Lines = s.Lines[:limit]
	}
	slices.SortFunc(s.Lines, byName)
}

func worstFirst(x, y Line) int {
	a, b := x.Windows[ThreeDays], y.Windows[ThreeDays]
	if n := cmp.Or(cmp.Compare(b.Failed, a.Failed), cmp.Compare(b.Eligible, a.Eligible)); n != 0 {
		return n
	}
	return byName(x, y)
}

func byName(x, y Line) int {
	if n := strings.Compare(x.Account, y.Account); n != 0 {
		return n
	}
	return cmp.Or(strings.Compare(x.Service, y.Service), strings.Compare(x.Route, y.Route))
}

// Merge returns the sum of the snapshots of several nodes. Their order does not matter.
func Merge(snapshots ...Snapshot) Snapshot {
	var merged Snapshot
	lines := make(map[Pair]*Line)
	var lastHour, threeDays timeline
	for _, snapshot := range snapshots {
		merged.Nodes = append(merged.Nodes, snapshot.Nodes...)
		merged.Dropped += snapshot.Dropped
		lastHour.addPoints(snapshot.LastHour)
		threeDays.addPoints(snapshot.ThreeDays)
		for _, l := range snapshot.Lines {
			mergeLine(lines, l)
		}
	}
	for _, l := range lines {
		merged.Lines = append(merged.Lines, *l)
	}
	sort.Strings(merged.Nodes)
	slices.SortFunc(merged.Lines, byName)
	merged.LastHour, merged.ThreeDays = lastHour.points(), threeDays.points()
	return merged
}

func mergeLine(lines map[Pair]*Line, l Line) {
	sum := lines[l.Pair]
	if sum == nil {
		sum = &Line{Pair: l.Pair}
		lines[l.Pair] = sum
	}
	for w := range sum.Windows {
		sum.Windows[w].add(l.Windows[w])
	}
}

// timeline sums the counts of cells by the aligned start of the cell, in seconds since
// the Unix epoch.
type timeline struct {
	sums map[int64]Sum
}

func (t *timeline) addSeries(s *series, w Window, now uint32) {
	for _, c := range s.cells {
		if !inWindow(c, w, now) {
			continue
		}
		start := time.Duration(aligned(c.start(), w)) * unit
		t.addSum(int64(start/time.Second), Sum{Eligible: uint64(c.eligible), Failed: uint64(c.failed)})
	}
}

func (t *timeline) addPoints(points []Point) {
	for _, p := range points {
		t.addSum(p.Start.Unix(), p.Sum)
	}
}

func (t *timeline) addSum(start int64, sum Sum) {
	if t.sums == nil {
		t.sums = make(map[int64]Sum)
	}
	s := t.sums[start]
	s.add(sum)
	t.sums[start] = s
}

func (t *timeline) points() []Point {
	var list []Point
	for start, sum := range t.sums {
		list = append(list, Point{Start: time.Unix(start, 0).UTC(), Sum: sum})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Start.Before(list[j].Start) })
	return list
}
