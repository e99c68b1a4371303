package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// BenchmarkLatency measures the latency that the gateway adds to a call, over
// persistent loopback connections. Each client calls the target directly and through
// the gateway in turn, so that the load of the machine affects both alike. An
// iteration makes two calls. The processor time includes caller, gateway and target.
// Without a pause the clients saturate the machine; with pauses of 10 ms on average
// 32 clients make about 3,000 requests/s, nearly 30 times a node's share of the
// design rate.
func BenchmarkLatency(b *testing.B) {
	for _, size := range []int{100, 10 << 10} {
		for _, tc := range []struct {
			clients int
			pause   time.Duration
		}{{1, 0}, {32, 0}, {32, 10 * time.Millisecond}} {
			name := fmt.Sprintf("%dB/%d/pause=%s", size, tc.clients, tc.pause)
			b.Run(name, func(b *testing.B) { benchmarkLatency(b, size, tc.clients, tc.pause) })
		}
	}
}

func benchmarkLatency(b *testing.B, size, clients int, pause time.Duration) {
	rawResponse := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	target := rawTarget(b, func(c net.Conn, br *bufio.Reader) {
		for {
			if _, err := readRequest(br); err != nil {
				return
			}
			io.WriteString(c, rawResponse)
		}
	})
	g := startGateway(b, newFakePool(target))
	var mu sync.Mutex
	var direct, proxied []time.Duration
	var directCPU, proxiedCPU time.Duration
	callsPerClient := max(b.N/clients, 1)
	measure := func(address string, times *[]time.Duration) {
		var group errgroup.Group
		for range clients {
			c := dial(b, address)
			c.SetDeadline(time.Time{})
			group.Go(func() error {
				br := bufio.NewReaderSize(c, 16<<10)
				raw := requestHead("GET", "/order")
				durations := make([]time.Duration, 0, callsPerClient)
				for range callsPerClient {
					time.Sleep(time.Duration(rand.Float64() * 2 * float64(pause)))
					start := time.Now()
					io.WriteString(c, raw)
					if r := readResponse(br, "GET"); r.err != nil {
						return r.err
					}
					durations = append(durations, time.Since(start))
				}
				mu.Lock()
				defer mu.Unlock()
				*times = append(*times, durations...)
				return nil
			})
		}
		if err := group.Wait(); err != nil {
			b.Fatal(err)
		}
	}
	b.ResetTimer()
	// Direct and proxied calls alternate in short rounds, so that other load on the
	// machine affects both alike.
	rounds := max(callsPerClient/200, 1)
	callsPerClient = max(callsPerClient/rounds, 1)
	for range rounds {
		t0 := processCPU()
		measure(target, &direct)
		t1 := processCPU()
		measure(g.address, &proxied)
		directCPU += t1 - t0
		proxiedCPU += processCPU() - t1
	}
	b.StopTimer()
	d50, d99 := percentiles(direct)
	p50, p99 := percentiles(proxied)
	b.ReportMetric(microseconds(d50), "direct-p50-µs")
	b.ReportMetric(microseconds(d99), "direct-p99-µs")
	b.ReportMetric(microseconds(p50-d50), "added-p50-µs")
	b.ReportMetric(microseconds(p99-d99), "added-p99-µs")
	b.ReportMetric(microseconds(directCPU)/float64(len(direct)), "direct-cpu-µs")
	b.ReportMetric(microseconds(proxiedCPU-directCPU)/float64(len(proxied)), "added-cpu-µs")
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }

func percentiles(times []time.Duration) (p50, p99 time.Duration) {
	slices.Sort(times)
	return times[len(times)/2], times[len(times)*99/100]
}

// processCPU returns the processor time that the process has used.
func processCPU() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkOpenRequests measures the memory of a request that waits for its target.
// The figure includes the stacks and buffers of caller, gateway and target, which run
// in the same process.
func BenchmarkOpenRequests(b *testing.B) {
	const requests = 2000
	arrived, release := make(chan bool, requests), make(chan struct{})
	target := rawTarget(b, func(c net.Conn, br *bufio.Reader) {
		if _, err := readRequest(br); err == nil {
			arrived <- true
			<-release
			io.WriteString(c, plainOK)
		}
	})
	defer close(release)
	g := startGateway(b, newFakePool(target))
	measure := func(address string) float64 {
		before := memoryInUse()
		for range requests {
			c := dial(b, address)
			c.SetDeadline(time.Time{})
			io.WriteString(c, requestHead("GET", "/order"))
		}
		for range requests {
			<-arrived
		}
		return float64(memoryInUse()-before) / requests
	}
	direct := measure(target)
	proxied := measure(g.address)
	b.ReportMetric(direct, "direct-B/request")
	b.ReportMetric(proxied-direct, "added-B/request")
}

// memoryInUse returns the bytes of heap and stacks in use after a collection.
func memoryInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
