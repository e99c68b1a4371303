package burn_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chestnutbay.dev/chestnutbay/internal/report/burn"
)

// designAccounts is the number of client accounts that the fleet is designed for.
const designAccounts = 82_000

func accountNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("account-%05d", i)
	}
	return names
}

// BenchmarkCount measures the time to count a finished request, with counters for all
// accounts of the design.
func BenchmarkCount(b *testing.B) {
	names := accountNames(designAccounts)
	var c burn.Counters
	for _, n := range names {
		c.Count(newSample(n, burn.Good))
	}
	b.Run("one-core", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			c.Count(newSample(names[i*7919%designAccounts], burn.Good))
		}
	})
	b.Run("all-cores", func(b *testing.B) {
		b.RunParallel(func(pb *testing.PB) {
			for i := 0; pb.Next(); i++ {
				c.Count(newSample(names[i*7919%designAccounts], burn.Good))
			}
		})
	})
}

// BenchmarkCollect measures the time of a scrape of the metrics, with failures in 1% of
// the accounts.
func BenchmarkCollect(b *testing.B) {
	for _, n := range []int{10_250, 20_500, 41_000, designAccounts} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var c burn.Counters
			for i, name := range accountNames(n) {
				c.Count(newSample(name, burn.Good))
				if i%100 == 0 {
					c.Count(newSample(name, burn.NotRun))
				}
			}
			registry := prometheus.NewRegistry()
			registry.MustRegister(burn.NewCollector(&c, nil))
			for b.Loop() {
				if _, err := registry.Gather(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkMemory counts a node's share of the design load, 109 requests/s, over three
// days. It reports the memory for each account and in total, the time of a snapshot and
// the encoded size of a line.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{10_250, 20_500, 41_000, designAccounts} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			names := accountNames(n)
			for b.Loop() {
				before := heapBytes()
				c, now := countThreeDays(names, 109)
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/account")
				b.ReportMetric(float64(heapBytes()-before)/1e6, "MB")
				start := time.Now()
				snap := c.SnapshotAt("a", burn.Query{}, now)
				b.ReportMetric(float64(time.Since(start))/1e6, "snapshot-ms")
				text, err := json.Marshal(snap)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(text))/float64(len(snap.Lines)), "wire-B/line")
			}
		})
	}
}

// countThreeDays counts perSecond requests in each second of three days, distributed
// evenly over the accounts in pseudo-random order. It returns the time of the last one.
func countThreeDays(names []string, perSecond int) (*burn.Counters, time.Time) {
	c := new(burn.Counters)
	now := time.Unix(1_800_000_000, 0)
	i := uint64(1)
	for range 3 * 24 * 3600 {
		now = now.Add(time.Second)
		for range perSecond {
			i = i*6364136223846793005 + 1442695040888963407
			c.CountAt(newSample(names[(i>>33)%uint64(len(names))], burn.Good), now)
		}
	}
	return c, now
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
