package ledger_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
)

// sizes are the numbers of contracts at which the benchmarks measure the cost of one
// contract, to show whether it grows with their number.
var sizes = []int{1000, 10000, 40000, 82000}

// contractRecord returns a record that publishes a contract with two keys and three
// services.
func contractRecord(b *testing.B, i int) journal.Record {
	services := []contract.ServiceAccess{contract.NewServiceAccess("catalogue", 0.5), contract.NewServiceAccess("orders", 0.7), contract.NewServiceAccess("custom-shop", 0.5)}
	keys := []contract.KeyHash{key(2 * i), key(2*i + 1)}
	c := contract.New(fmt.Sprintf("account-%d", i), 10, 20, keys, services)
	payload, err := ledger.Encode(ledger.NewPublishContract(ledger.NewID(), ledger.NoVersion, c))
	if err != nil {
		b.Fatal(err)
	}
	return journal.NewRecord(journal.Offset(i), epoch, payload)
}

// heap returns the bytes of live heap objects, after garbage collection.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkApply reports the time to apply a contract's record and the memory
// that the ledger takes for it, for docs/capacity-nodes.md.
func BenchmarkApply(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("contracts=%d", n), func(b *testing.B) {
			records := make([]journal.Record, n)
			size := 0
			for i := range records {
				records[i] = contractRecord(b, i)
				size += len(records[i].Payload())
			}
			before := heap()
			var l *ledger.Ledger
			b.ResetTimer()
			for b.Loop() {
				l = new(ledger.Ledger)
				for _, r := range records {
					if err := l.Apply(r).Err(); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.StopTimer()
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/record")
			b.ReportMetric(float64(heap()-before)/float64(n), "heap-B/contract")
			b.ReportMetric(float64(size)/float64(n), "payload-B/contract")
			runtime.KeepAlive(l)
			runtime.KeepAlive(records)
		})
	}
}

// BenchmarkSnapshot reports the size of a snapshot and the time to write, read
// and merge it, per contract.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("contracts=%d", n), func(b *testing.B) {
			var l ledger.Ledger
			for i := range n {
				l.Apply(contractRecord(b, i))
			}
			var size int
			for b.Loop() {
				entries, next := l.Entries()
				data, err := json.Marshal(entries)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				var read []ledger.Entry
				if err := json.Unmarshal(data, &read); err != nil {
					b.Fatal(err)
				}
				new(ledger.Ledger).Merge(read, next)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/contract")
			b.ReportMetric(float64(size)/float64(n), "wire-B/contract")
		})
	}
}
