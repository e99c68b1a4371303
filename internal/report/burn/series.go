package burn

import (
	"math"
	"time"
)

// Window is a period that a report covers.
type Window int

// Windows of a report.
const (
	FiveMinutes Window = iota
	OneHour
	SixHours
	ThreeDays
	windowCount
)

// Windows returns all windows, the shortest first.
func Windows() []Window { return []Window{FiveMinutes, OneHour, SixHours, ThreeDays} }

// Duration returns the window's length.
func (w Window) Duration() time.Duration { return time.Duration(spans[w].window) * unit }

// String returns the window's name, such as "5m".
func (w Window) String() string { return [...]string{"5m", "1h", "6h", "3d"}[w] }

// unit is the length of the shortest cell. Times are counted in units since the Unix
// epoch.
const unit = 30 * time.Second

// span holds the length of a window and the length of the cells that are kept for that
// window, both in units.
type span struct {
	window uint32
	cell   uint32
}

// spans are the spans of the windows. Each cell length divides the next, so that cells
// merge without being split.
var spans = [windowCount]span{
	FiveMinutes: {window: 10, cell: 1},
	OneHour:     {window: 120, cell: 10},
	SixHours:    {window: 720, cell: 60},
	ThreeDays:   {window: 8640, cell: 720},
}

// unitOf returns the unit that contains t.
func unitOf(t time.Time) uint32 { return uint32(t.Unix() / int64(unit/time.Second)) }

// cell is a time bucket: it counts the eligible requests that finished within a period.
// Its level is the window for which it is kept, and determines the length of the period.
// A cell takes only 8 bytes, because 82,000 accounts have about 30 cells each. When the
// 16-bit count of a cell is full, another cell with the same stamp follows it.
type cell struct {
	// stamp holds the start in units and, in the two highest bits, the level.
	stamp    uint32
	eligible uint16
	failed   uint16
}

const (
	levelShift = 30
	startMask  = 1<<levelShift - 1
)

func stampOf(start uint32, level Window) uint32 { return uint32(level)<<levelShift | start }

func (c cell) start() uint32 { return c.stamp & startMask }

func (c cell) level() Window { return Window(c.stamp >> levelShift) }

// end returns the first unit after the cell.
func (c cell) end() uint32 { return c.start() + spans[c.level()].cell }

// moveFrom moves counts from another cell to this one, as many as fit. The rest stays in
// the other cell.
func (c *cell) moveFrom(other *cell) {
	moved := min(other.eligible, math.MaxUint16-c.eligible)
	failed := min(other.failed, moved)
	c.eligible += moved
	c.failed += failed
	other.eligible -= moved
	other.failed -= failed
}

// series counts requests over time. The cells are in chronological order; older cells
// are merged into longer ones.
type series struct {
	cells []cell
}

// add counts an eligible request.
func (s *series) add(now uint32, failed bool) {
	n := len(s.cells)
	// After the clock stepped back, requests are counted in the newest cell.
	if n == 0 || s.cells[n-1].end() <= now {
		s.compact(now)
		s.appendCell(stampOf(now, FiveMinutes))
	}
	c := &s.cells[len(s.cells)-1]
	if c.eligible == math.MaxUint16 {
		s.appendCell(c.stamp)
		c = &s.cells[len(s.cells)-1]
	}
	c.eligible++
	if failed {
		c.failed++
	}
}

// appendCell appends an empty cell.
func (s *series) appendCell(stamp uint32) {
	s.grow()
	s.cells = append(s.cells, cell{stamp: stamp})
}

// growStep is by how many cells the capacity of a series grows. Doubling it would leave
// a third of the memory of all accounts unused.
const growStep = 4

// grow makes room for one more cell.
func (s *series) grow() {
	if len(s.cells) < cap(s.cells) {
		return
	}
	larger := make([]cell, len(s.cells), len(s.cells)+growStep)
	copy(larger, s.cells)
	s.cells = larger
}

// compact merges the cells that only longer windows still need and drops the cells that
// no window includes any more.
func (s *series) compact(now uint32) {
	kept := s.cells[:0]
	for _, c := range s.cells {
		level, ok := levelFor(c, now)
		if !ok {
			continue
		}
		c.stamp = stampOf(aligned(c.start(), level), level)
		last := len(kept) - 1
		if last >= 0 && kept[last].stamp == c.stamp {
			kept[last].moveFrom(&c)
		}
		if c.eligible > 0 {
			kept = append(kept, c)
		}
	}
	s.cells = kept
}

// levelFor returns the level that a cell should have at its age, or false when no window
// includes the cell. A cell is merged into a longer cell only when the whole longer cell
// is outside the shorter window, so that merging never changes what the shorter window
// includes.
func levelFor(c cell, now uint32) (Window, bool) {
	for w := c.level(); w < ThreeDays; w++ {
		if !outsideWindow(c, w, w+1, now) {
			return w, true
		}
	}
	return ThreeDays, !outsideWindow(c, ThreeDays, ThreeDays, now)
}

// outsideWindow reports whether the cell of the given level that contains c ended before
// the window w began.
func outsideWindow(c cell, w, level Window, now uint32) bool {
	return aligned(c.start(), level)+spans[level].cell+spans[w].window <= now
}

// inWindow reports whether a window includes a cell. A window includes every cell of its
// level that overlaps it, so the period that it covers is longer than its length by less
// than one cell. The result does not depend on which cells were already merged, so it is
// the same on all nodes.
func inWindow(c cell, w Window, now uint32) bool {
	return c.level() <= w && !outsideWindow(c, w, w, now)
}

// aligned returns the start of the cell of a level that contains start.
func aligned(start uint32, level Window) uint32 {
	return start - start%spans[level].cell
}

// empty reports whether no window includes any of the cells.
func (s *series) empty(now uint32) bool {
	n := len(s.cells)
	return n == 0 || !inWindow(s.cells[n-1], ThreeDays, now)
}

// hasFailures reports whether any cell counts a failure.
func (s *series) hasFailures() bool {
	for _, c := range s.cells {
		if c.failed > 0 {
			return true
		}
	}
	return false
}

// sums returns the counts of each window.
func (s *series) sums(now uint32) [windowCount]Sum {
	var sums [windowCount]Sum
	for _, c := range s.cells {
		for w := range windowCount {
			if inWindow(c, w, now) {
				sums[w].Eligible += uint64(c.eligible)
				sums[w].Failed += uint64(c.failed)
			}
		}
	}
	return sums
}

// Sum counts the requests of a window.
type Sum struct {
	// Eligible counts the requests that count towards the objective.
	Eligible uint64 `json:"owed"`
	// Failed counts the eligible requests that failed.
	Failed uint64 `json:"failed"`
}

func (s *Sum) add(other Sum) {
	s.Eligible += other.Eligible
	s.Failed += other.Failed
}

// FailedShare returns the share of the eligible requests that failed, or 0 if there were
// none.
func (s Sum) FailedShare() float64 {
	if s.Eligible == 0 {
		return 0
	}
	return float64(s.Failed) / float64(s.Eligible)
}
