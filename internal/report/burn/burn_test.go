package burn_test

import (
	"bytes"
	"flag"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/report/burn"
)

func TestMain(m *testing.M) {
	// The seed is fixed so that the test result is the same on every run.
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// objectives is a fake of the contracts: it holds the objective of each account.
type objectives map[string]float64

func (o objectives) Contract(account string) (*contract.Contract, ledger.Version, bool) {
	objective, ok := o[account]
	if !ok {
		return nil, ledger.NoVersion, false
	}
	text := fmt.Sprintf("account: %s\nrate: 1\nburst: 1\nobjective: %g\n", account, objective)
	d, err := contract.Decode(strings.NewReader(text))
	if err != nil {
		panic(err)
	}
	return d.(*contract.Contract), 0, true
}

func newSample(account string, v burn.Verdict) burn.Sample {
	return burn.Sample{Account: account, Service: "orders", Route: "place", Verdict: v, Duration: time.Millisecond}
}

// Guards against bad requests, refusals over the rate or cancelled requests that count
// against the error budget, and against failures of the fleet that do not.
func TestVerdicts(t *testing.T) {
	for _, tt := range []struct {
		verdict          burn.Verdict
		eligible, failed uint64
	}{
		{verdict: burn.Good, eligible: 1},
		{verdict: burn.OverRate},
		{verdict: burn.CallerDisconnected},
		{verdict: burn.BadRequest},
		{verdict: burn.NotRun, eligible: 1, failed: 1},
		{verdict: burn.Unknown, eligible: 1, failed: 1},
		{verdict: burn.Truncated, eligible: 1, failed: 1},
		{verdict: burn.TargetError, eligible: 1, failed: 1},
	} {
		t.Run(string(tt.verdict), func(t *testing.T) {
			is := is.New(t)
			var c burn.Counters
			c.Count(newSample("acme", tt.verdict))
			var sum burn.Sum
			for _, l := range c.Snapshot("a", burn.Query{}).Lines {
				sum = l.Windows[burn.FiveMinutes]
			}
			is.Equal(sum, burn.Sum{Eligible: tt.eligible, Failed: tt.failed})
		})
	}
}

// Guards against windows that drop failures early or keep them for longer than one cell
// beyond the window.
func TestWindowsExpire(t *testing.T) {
	for _, tt := range []struct {
		age  time.Duration
		want string
	}{
		{age: 0, want: "5m 1h 6h 3d"},
		{age: 4*time.Minute + 59*time.Second, want: "5m 1h 6h 3d"},
		{age: 5*time.Minute + 31*time.Second, want: "1h 6h 3d"},
		{age: 59 * time.Minute, want: "1h 6h 3d"},
		{age: 65*time.Minute + 31*time.Second, want: "6h 3d"},
		{age: 359 * time.Minute, want: "6h 3d"},
		{age: 391 * time.Minute, want: "3d"},
		{age: 71 * time.Hour, want: "3d"},
		{age: 79 * time.Hour, want: ""},
	} {
		t.Run(tt.age.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var c burn.Counters
				c.Count(newSample("acme", burn.NotRun))
				for range 10 { // Newer requests make the series merge its old cells.
					time.Sleep(tt.age / 10)
					c.Count(newSample("acme", burn.Good))
				}
				var windows []string
				for _, l := range c.Snapshot("a", burn.Query{}).Lines {
					for _, w := range burn.Windows() {
						if l.Windows[w].Failed > 0 {
							windows = append(windows, w.String())
						}
					}
				}
				is.Equal(strings.Join(windows, " "), tt.want)
			})
		})
	}
}

// Guards against requests that are lost or counted twice when cells are merged. Each
// window must hold all requests within its length, and none that is older by more than
// one cell.
func TestWindowsAgainstModel(t *testing.T) {
	cells := []time.Duration{30 * time.Second, 5 * time.Minute, 30 * time.Minute, 6 * time.Hour}
	rapid.Check(t, func(t *rapid.T) {
		var c burn.Counters
		now := time.Unix(1_800_000_000, 0)
		var times []time.Time
		steps := rapid.SliceOfN(rapid.OneOf(rapid.IntRange(0, 40), rapid.IntRange(0, 4000), rapid.IntRange(0, 40000)), 1, 120).Draw(t, "seconds")
		for _, s := range steps {
			now = now.Add(time.Duration(s) * time.Second)
			c.CountAt(newSample("acme", burn.NotRun), now)
			times = append(times, now)
		}
		lines := c.SnapshotAt("a", burn.Query{}, now).Lines
		for i, w := range burn.Windows() {
			var minWant, maxWant uint64
			for _, at := range times {
				if now.Sub(at) < w.Duration() {
					minWant++
				}
				if now.Sub(at) < w.Duration()+cells[i]+cells[0] {
					maxWant++
				}
			}
			got := lines[0].Windows[w].Failed
			if got < minWant || got > maxWant {
				t.Fatalf("window %s holds %d failures, want %d to %d", w, got, minWant, maxWant)
			}
		}
	})
}

// Guards against an overflow of the 16-bit counts of a cell for an account with many
// requests, when they are counted or when old cells are merged.
func TestBusyAccount(t *testing.T) {
	is := is.New(t)
	var c burn.Counters
	start := time.Unix(1_800_000_000, 0)
	want := burn.Sum{}
	for hour := range 24 {
		for i := range 15_000 {
			v := burn.Good
			if i%3 == 0 {
				v, want.Failed = burn.Unknown, want.Failed+1
			}
			want.Eligible++
			c.CountAt(newSample("busy", v), start.Add(time.Duration(hour)*time.Hour))
		}
	}
	for range 200_000 {
		want.Eligible++
		c.CountAt(newSample("busy", burn.Good), start.Add(30*time.Hour))
	}
	snap := c.SnapshotAt("a", burn.Query{}, start.Add(30*time.Hour))
	is.Equal(snap.Lines[0].Windows[burn.ThreeDays], want)
	is.Equal(snap.Lines[0].Windows[burn.FiveMinutes], burn.Sum{Eligible: 200_000})
}

// Guards against a fleet-wide report that depends on the order in which nodes reply, or
// that differs from the report of one node that served all requests.
func TestMergeEqualsOneNode(t *testing.T) {
	verdicts := []burn.Verdict{burn.Good, burn.NotRun, burn.OverRate, burn.Unknown}
	rapid.Check(t, func(t *rapid.T) {
		var single burn.Counters
		nodes := make([]burn.Counters, 3)
		now := time.Unix(1_800_000_000, 0)
		for range rapid.IntRange(0, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "seconds")) * time.Second)
			s := newSample(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), rapid.SampledFrom(verdicts).Draw(t, "verdict"))
			single.CountAt(s, now)
			nodes[rapid.IntRange(0, 2).Draw(t, "node")].CountAt(s, now)
		}
		var snapshots []burn.Snapshot
		for i := range nodes {
			snapshots = append(snapshots, nodes[i].SnapshotAt(fmt.Sprint(i), burn.Query{}, now))
		}
		want := burn.Merge(single.SnapshotAt("1", burn.Query{}, now))
		got := burn.Merge(snapshots...)
		swapped := burn.Merge(snapshots[2], burn.Merge(snapshots[1], snapshots[0]))
		if !reflect.DeepEqual(got, swapped) {
			t.Fatalf("the result depends on the order of the snapshots: %v and %v", got, swapped)
		}
		if fmt.Sprint(got.Lines, got.ThreeDays) != fmt.Sprint(want.Lines, want.ThreeDays) {
			t.Fatalf("merged snapshots hold %v, but one node with the same requests %v", got, want)
		}
	})
}

// Guards against alerts for a few single failures or for an outage that is over, and
// against a missing alert while an error budget is used up too fast.
func TestAlerts(t *testing.T) {
	for _, tt := range []struct {
		name           string
		bad, good      int
		age            time.Duration
		wantAlert      string
		wantBudgetLeft string
	}{
		{name: "two failures of a small account raise nothing", bad: 2, good: 1, wantAlert: "", wantBudgetLeft: "-66567%"},
		{name: "an outage that continues raises a page", bad: 50, good: 50, wantAlert: "BudgetBurnFast BudgetBurnSteady BudgetBurnSlow", wantBudgetLeft: "-49900%"},
		{name: "an outage that ended 10 minutes ago no longer raises BudgetBurnFast", bad: 50, good: 50, age: 10 * time.Minute, wantAlert: "BudgetBurnSteady BudgetBurnSlow", wantBudgetLeft: "-49900%"},
		{name: "failures within the objective raise nothing", bad: 9, good: 9991, wantAlert: "", wantBudgetLeft: "10%"},
		{name: "failures at twice the allowed rate raise a ticket", bad: 20, good: 9980, wantAlert: "BudgetBurnSlow", wantBudgetLeft: "-100%"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var c burn.Counters
				for range tt.bad {
					c.Count(newSample("acme", burn.NotRun))
				}
				for range tt.good {
					c.Count(newSample("acme", burn.Good))
				}
				time.Sleep(tt.age)
				r := burn.NewReport(c.Snapshot("a", burn.Query{}), nil, objectives{"acme": 0.999})
				var names []string
				for _, a := range r.Accounts[0].Alerts {
					names = append(names, a.Name)
				}
				is.Equal(strings.Join(names, " "), tt.wantAlert)
				is.Equal(fmt.Sprintf("%.0f%%", 100*r.Accounts[0].BudgetLeft), tt.wantBudgetLeft)
			})
		})
	}
}

// Guards against an order by number of failures, which would list a small account with a
// broken service below a large account with more failures.
func TestWorstServedFirst(t *testing.T) {
	is := is.New(t)
	var c burn.Counters
	for i := range 10_000 {
		v := burn.Good
		if i < 50 {
			v = burn.Unknown
		}
		c.Count(newSample("large", v))
	}
	for range 4 {
		c.Count(newSample("small", burn.Truncated))
	}
	c.Count(newSample("lucky", burn.Good))
	r := burn.NewReport(c.Snapshot("a", burn.Query{}), []string{"b"}, objectives{"small": 0.9})
	var order []string
	for _, a := range r.Accounts {
		order = append(order, a.Account)
	}
	is.Equal(order, []string{"small", "large", "lucky"})
	var text bytes.Buffer
	is.NoErr(r.WriteText(&text))
	is.True(strings.Contains(text.String(), "no answer from: b")) // an incomplete report says so
}

// Guards against an account name that runs as a script in the operator's browser or
// moves the cursor of a terminal, and against a page that loads other files.
func TestRenderingEscapes(t *testing.T) {
	is := is.New(t)
	var c burn.Counters
	c.Count(newSample("<script>alert(1)</script>\x1b[2J", burn.NotRun))
	r := burn.NewReport(c.Snapshot("a", burn.Query{}), nil, nil)
	var html, text bytes.Buffer
	is.NoErr(r.WriteHTML(&html))
	is.NoErr(r.WriteText(&text))
	is.True(strings.Contains(html.String(), "&lt;script&gt;alert(1)&lt;/script&gt;"))
	is.True(strings.Contains(html.String(), "<rect class=\"failed\"")) // the plot has a column
	for _, banned := range []string{"<script", "http:", "https:", "src=", "href=", "ZgotmplZ"} {
		is.True(!strings.Contains(html.String(), banned)) // no scripts and no references to other files
	}
	is.True(!strings.Contains(text.String(), "\x1b"))
}

// Guards against counters and reports that grow without bound, and against a report that
// does not say how many pairs it leaves out.
func TestLimits(t *testing.T) {
	is := is.New(t)
	var c burn.Counters
	for i := range burn.MaxPairs + 5000 {
		c.Count(newSample(fmt.Sprintf("account-%d", i), burn.NotRun))
	}
	all := c.Snapshot("a", burn.Query{Limit: 2 * burn.MaxPairs})
	is.True(len(all.Lines) <= burn.MaxPairs+64) // one shared counter in each of 64 shards
	var failed uint64
	for _, l := range burn.Merge(all).Lines {
		failed += l.Windows[burn.OneHour].Failed
	}
	is.Equal(failed, uint64(burn.MaxPairs+5000)) // requests beyond MaxPairs are in the shared counters
	limited := c.Snapshot("a", burn.Query{Limit: 10})
	is.Equal(len(limited.Lines), 10)
	is.Equal(limited.Dropped, len(all.Lines)-10)
	is.Equal(len(c.Snapshot("a", burn.Query{Account: "account-7"}).Lines), 1)
}

// Guards against metrics with a time series for each account, or for each of arbitrarily
// many services.
func TestMetricsAreBounded(t *testing.T) {
	is := is.New(t)
	var c burn.Counters
	for i := range 3000 {
		s := newSample(fmt.Sprintf("account-%d", i%10), burn.NotRun)
		s.Service = fmt.Sprintf("service-%d", i)
		c.Count(s)
	}
	registry := prometheus.NewPedanticRegistry()
	is.NoErr(registry.Register(burn.NewCollector(&c, nil)))
	families, err := registry.Gather()
	is.NoErr(err)
	series, requests := 0, 0.0
	for _, f := range families {
		series += len(f.GetMetric())
		for _, m := range f.GetMetric() {
			requests += m.GetCounter().GetValue()
			is.True(!strings.Contains(m.String(), "account-"))
		}
	}
	is.Equal(requests, 3000.0)
	is.True(series < 1100)
}

// Guards against requests that are lost when several goroutines count while snapshots
// are taken.
func TestConcurrentCounting(t *testing.T) {
	is := is.New(t)
	var c burn.Counters
	var eg errgroup.Group
	for w := range 8 {
		eg.Go(func() error {
			for i := range 2000 {
				c.Count(newSample(fmt.Sprint((i+w)%50), burn.Good))
				if i%500 == 0 {
					c.Snapshot("a", burn.Query{})
				}
			}
			return nil
		})
	}
	is.NoErr(eg.Wait())
	var eligible uint64
	for _, l := range c.Snapshot("a", burn.Query{}).Lines {
		eligible += l.Windows[burn.ThreeDays].Eligible
	}
	is.Equal(eligible, uint64(16000))
}
