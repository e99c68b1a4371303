package evidence_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/target/evidence"
)

// observeRounds passes rounds of outcomes of 4 VMs at 5 instances to a judge, 1 ms
// apart, and returns how often it reported each finding. outcomeOf returns the outcome
// of round n, or false when the VM does not use the instance.
func observeRounds(j *evidence.Judge, rounds int, outcomeOf func(vm, instance string, n int) (evidence.Outcome, bool)) map[string]int {
	found := make(map[string]int)
	at := time.Unix(0, 0)
	for n := range rounds {
		for v := range 4 {
			for i := range 5 {
				vm, instance := fmt.Sprint("vm", v), fmt.Sprint("i", i)
				at = at.Add(time.Millisecond)
				o, used := outcomeOf(vm, instance, n)
				if !used {
					continue
				}
				for _, f := range j.Observe(evidence.Observation{At: at, Instance: instance, Route: "lookup", VM: vm, Warm: true, Outcome: o}) {
					switch f := f.(type) {
					case evidence.Failing:
						if j.Confirm(f.Route, f.Instance, at) {
							found["failing "+f.Instance]++
						}
					case evidence.PathBroken:
						found["path "+f.VM+" "+f.Instance]++
					case evidence.PathWorks:
						found["works "+f.VM+" "+f.Instance]++
					case evidence.PossibleRestart:
						found["restart "+f.Instance]++
					}
				}
			}
		}
	}
	return found
}

var good = evidence.Outcome{Kind: evidence.Answered, Status: 200, FirstByte: 20 * time.Millisecond}

// TestJudge guards against findings from outcomes that are no evidence about the
// instance, and against gray failures without a finding. Each case is named after the
// fault that it detects.
func TestJudge(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	serverError := evidence.Outcome{Kind: evidence.Answered, Status: 500}
	for _, tt := range []struct {
		name      string
		outcomeOf func(vm, instance string, n int) (evidence.Outcome, bool)
		want      []string
		never     []string
	}{
		{"cancelled requests count as bad", func(_, instance string, _ int) (evidence.Outcome, bool) {
			return evidence.Outcome{Kind: evidence.Cancelled}, true
		}, nil, []string{"failing i0"}},
		{"responses with a 4xx status count as bad", func(_, instance string, _ int) (evidence.Outcome, bool) {
			return evidence.Outcome{Kind: evidence.Answered, Status: 404, FirstByte: time.Millisecond}, instance == "i0" || instance == "i1"
		}, nil, []string{"failing i0"}},
		{"failures that only one of several VMs reports count against the instance", func(vm, instance string, n int) (evidence.Outcome, bool) {
			if vm == "vm1" && instance == "i0" {
				return serverError, true
			}
			return good, true
		}, nil, []string{"failing i0"}},
		{"failures that the only VM using the instance reports are not noticed", func(vm, instance string, _ int) (evidence.Outcome, bool) {
			if instance == "i0" {
				return serverError, vm == "vm1"
			}
			return good, true
		}, []string{"failing i0"}, nil},
		{"an instance that fails a third of its requests is not noticed", func(_, instance string, _ int) (evidence.Outcome, bool) {
			if instance == "i0" && random.IntN(3) == 0 {
				return serverError, true
			}
			return good, true
		}, []string{"failing i0"}, []string{"failing i1", "failing i2"}},
		{"failures of all instances count against one of them", func(string, string, int) (evidence.Outcome, bool) {
			if random.IntN(3) == 0 {
				return serverError, true
			}
			return good, true
		}, nil, []string{"failing i0", "failing i1", "failing i2", "failing i3", "failing i4"}},
		{"slow responses are not noticed", func(_, instance string, n int) (evidence.Outcome, bool) {
			o := good
			if instance == "i0" && n > 50 {
				o.FirstByte = 300 * time.Millisecond
			}
			return o, true
		}, []string{"failing i0"}, []string{"failing i1"}},
		{"slow responses of all instances count against one of them", func(_, _ string, n int) (evidence.Outcome, bool) {
			o := good
			if n > 50 {
				o.FirstByte = 300 * time.Millisecond
			}
			return o, true
		}, nil, []string{"failing i0", "failing i1", "failing i2", "failing i3", "failing i4"}},
		{"a broken path counts against the instance, or its recovery is not noticed", func(vm, instance string, n int) (evidence.Outcome, bool) {
			if vm == "vm2" && instance == "i0" && n > 20 && n < 60 {
				return evidence.Outcome{Kind: evidence.ConnectFailed}, true
			}
			return good, true
		}, []string{"path vm2 i0", "works vm2 i0"}, []string{"failing i0"}},
		{"broken paths from half of the VMs count against the instance", func(vm, instance string, n int) (evidence.Outcome, bool) {
			if (vm == "vm2" || vm == "vm3") && instance == "i0" && n > 20 {
				return evidence.Outcome{Kind: evidence.TimedOut}, true
			}
			return good, true
		}, []string{"path vm2 i0", "path vm3 i0"}, []string{"failing i0"}},
		{"broken connections are not noticed", func(_, instance string, n int) (evidence.Outcome, bool) {
			if instance == "i0" && n == 30 {
				return evidence.Outcome{Kind: evidence.Reset}, true
			}
			return good, true
		}, []string{"restart i0"}, []string{"restart i1"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for _, p := range []evidence.Profile{evidence.Fast, evidence.Careful} {
				is := is.New(t)
				found := observeRounds(evidence.NewJudge(p), 200, tt.outcomeOf)
				for _, want := range tt.want {
					is.True(found[want] > 0) // expected finding is missing
				}
				for _, never := range tt.never {
					is.Equal(found[never], 0) // finding is wrong
				}
			}
		})
	}
}

// TestHistogramQuantile guards against quantiles that are off by more than one bucket.
func TestHistogramQuantile(t *testing.T) {
	j := evidence.NewJudge(evidence.Fast)
	observeRounds(j, 100, func(string, string, int) (evidence.Outcome, bool) { return good, true })
	got := j.MedianFirstByte("lookup", "i0")
	if got < 20*time.Millisecond || got > 25*time.Millisecond {
		t.Errorf("median %s of 20ms", got)
	}
}
