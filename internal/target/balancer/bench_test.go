package balancer_test

import (
	"fmt"
	"testing"

	"chestnutbay.dev/chestnutbay/internal/target/balancer"
)

// BenchmarkChoose measures one choice with reports from all VMs, at the current and the
// planned fleet sizes (15,000 instances in 370 services are 41 per service).
func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ vms, instances int }{{48, 15}, {133, 129}, {300, 41}, {1100, 41}} {
		b.Run(fmt.Sprintf("%d VMs, %d instances", size.vms, size.instances), func(b *testing.B) {
			f := newFleet(1, size.instances)
			for vm := range size.vms {
				var reports []balancer.Report
				for i := range size.instances {
					reports = append(reports, balancer.Report{Instance: fmt.Sprintf("i-%d", i), InFlight: (vm + i) % 50 / 49, Started: 9, Succeeded: 9})
				}
				f.vms[0].Observe(fmt.Sprintf("vm-%d", vm), 1, reports, false)
			}
			for b.Loop() {
				c, err := f.vms[0].Choose(balancer.Request{Service: "orders"})
				if err != nil {
					b.Fatal(err)
				}
				c.Done(good)
			}
		})
	}
}
