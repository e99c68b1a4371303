package main_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// ticksPerSecond is the unit of processor time in /proc/PID/stat.
	ticksPerSecond = 100
	// settleTime is the time in which a new fleet elects the owners of leases and
	// warms up its targets.
	settleTime = 12 * time.Second
	// measureTime is the length of one measurement.
	measureTime = 20 * time.Second
)

// usage holds the processor time, peer traffic and peer calls of a node since its
// start, and its current resident memory.
type usage struct {
	cpuSeconds float64
	bytesIn    float64
	bytesOut   float64
	calls      float64
	residentMB float64
}

// usage reads a node's usage from /proc and its metrics.
func (f *fleet) usage(t testing.TB, n *fleetNode) usage {
	t.Helper()
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	// The fields after the program's name: state is the first, user time the
	// 12th, system time the 13th, resident pages the 22nd.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	u.cpuSeconds = (user + system) / ticksPerSecond
	u.residentMB = pages * float64(os.Getpagesize()) / (1 << 20)
	for name, value := range f.metrics(t, n) {
		switch name {
		case "chestnutbay_peer_bytes_in_total":
			u.bytesIn = value
		case "chestnutbay_peer_bytes_out_total":
			u.bytesOut = value
		case "chestnutbay_peer_calls_total":
			u.calls = value
		}
	}
	return u
}

// metrics returns the metrics of a node that have no labels.
func (f *fleet) metrics(t testing.TB, n *fleetNode) map[string]float64 {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+n.operators+"/metrics", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("metrics of %s: %s, %v", n.id, resp.Status, err)
	}
	values := make(map[string]float64)
	for line := range strings.Lines(string(text)) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			values[name] = v
		}
	}
	return values
}

// BenchmarkControl measures the control traffic and resources of a node in an idle
// fleet, for the slopes of docs/capacity-nodes.md. It runs one fleet of processes for
// each size.
func BenchmarkControl(b *testing.B) {
	for _, size := range []int{2, 6, 12, 24, 48} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			f := newFleet(b, size)
			for _, zone := range []string{"north", "south", "east"} {
				f.startTarget(b, zone, "target-"+zone)
			}
			f.startNodes(b)
			f.publish(b, f.nodes[0], serviceDocument)
			f.publish(b, f.nodes[0], contractDocument(200, callerKey))
			<-time.After(settleTime)
			for b.Loop() {
				f.report(b, measureTime)
			}
		})
	}
}

// report measures the fleet for the duration d and reports the means over all nodes.
func (f *fleet) report(b *testing.B, d time.Duration) {
	b.Helper()
	before := make([]usage, len(f.nodes))
	for i, n := range f.nodes {
		before[i] = f.usage(b, n)
	}
	start := time.Now()
	<-time.After(d)
	seconds := time.Since(start).Seconds()
	var sum usage
	for i, n := range f.nodes {
		u := f.usage(b, n)
		sum.cpuSeconds += u.cpuSeconds - before[i].cpuSeconds
		sum.bytesIn += u.bytesIn - before[i].bytesIn
		sum.bytesOut += u.bytesOut - before[i].bytesOut
		sum.calls += u.calls - before[i].calls
		sum.residentMB += u.residentMB
	}
	perNode := func(v float64) float64 { return v / float64(len(f.nodes)) }
	b.ReportMetric(100*perNode(sum.cpuSeconds)/seconds, "core%/node")
	b.ReportMetric(perNode(sum.bytesIn+sum.bytesOut)/seconds/1000, "KB/s/node")
	b.ReportMetric(perNode(sum.calls)/seconds, "calls/s/node")
	b.ReportMetric(perNode(sum.residentMB), "MB/node")
}

// BenchmarkRequests measures the resources that a request takes on a node, including
// the control messages for its token and its permit, for the slopes of
// docs/capacity-nodes.md.
func BenchmarkRequests(b *testing.B) {
	f := newFleet(b, 6)
	for _, zone := range []string{"north", "south", "east"} {
		f.startTarget(b, zone, "target-"+zone)
	}
	f.startNodes(b)
	f.publish(b, f.nodes[0], serviceDocument)
	f.publish(b, f.nodes[0], contractDocument(10000, callerKey))
	for _, n := range f.nodes {
		f.waitStatus(b, n, callerKey, "/lookup/1", http.StatusOK)
	}
	<-time.After(settleTime)
	for _, rate := range []int{0, 25, 50, 109, 200} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for b.Loop() {
				var g errgroup.Group
				ctx, cancel := context.WithCancel(context.Background())
				var failed atomic.Int64
				for _, n := range f.nodes {
					g.Go(func() error { return sendAtRate(ctx, n, rate, &failed) })
				}
				f.report(b, measureTime)
				cancel()
				if err := g.Wait(); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(failed.Load()), "failed")
			}
		})
	}
}

// sendAtRate sends rate requests per second to a node until ctx ends, without waiting
// for responses, and counts those that fail.
func sendAtRate(ctx context.Context, n *fleetNode, rate int, failed *atomic.Int64) error {
	if rate == 0 {
		<-ctx.Done()
		return nil
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	var g errgroup.Group
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case <-ticker.C:
		}
		g.Go(func() error {
			if _, err := timeRequest(client, "http://"+n.callers+"/lookup/1", callerKey); err != nil {
				failed.Add(1)
			}
			return nil
		})
	}
}
