package allowance_test

import (
	"flag"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"chestnutbay.dev/chestnutbay/internal/limit/allowance"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// TestBucketNeverExceedsItsRate guards against a bucket that gives out more
// tokens than it earned, under any order of takes, waits and resizes.
func TestBucketNeverExceedsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b allowance.Bucket
		var earned, rate float64
		taken := 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			wait := time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "wait"))
			b.Wait(wait)
			earned += rate * wait.Seconds()
			if rapid.Bool().Draw(t, "resize") {
				rate = rapid.Float64Range(0, 100).Draw(t, "rate")
				capacity := rapid.Float64Range(0, 50).Draw(t, "capacity")
				if surplus := b.Resize(rate, capacity); surplus < 0 || b.Tokens() > capacity {
					t.Fatalf("%g tokens in capacity %g, surplus %g", b.Tokens(), capacity, surplus)
				}
				continue
			}
			taken += b.Take(rapid.IntRange(0, 20).Draw(t, "n"))
			if float64(taken) > earned+1e-6 || b.Tokens() < 0 {
				t.Fatalf("%d taken, %g earned, %g remaining", taken, earned, b.Tokens())
			}
		}
	})
}

// TestWaterLevelSharesTheTotal guards the division of a rate: no share exceeds
// what is wanted, and the shares use up the total but never exceed it.
func TestWaterLevelSharesTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wants := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 50).Draw(t, "wants")
		total := rapid.Float64Range(0, 5000).Draw(t, "total")
		level := allowance.WaterLevel(wants, total)
		var sum, all float64
		for _, want := range wants {
			sum += min(want, level)
			all += want
		}
		if expected := min(total, all); math.Abs(sum-expected) > 1e-6*max(expected, 1) {
			t.Fatalf("shares sum to %g of %g, wants %g", sum, total, all)
		}
	})
}

// TestNeverLentPartGrowsWithTheContract guards against over-admission while two
// owners use different versions of a contract: what one of them lends and what
// the other never lends must fit the larger version.
func TestNeverLentPartGrowsWithTheContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := rapid.Float64Range(0, 1e6).Draw(t, "a")
		b := rapid.Float64Range(0, 1e6).Draw(t, "b")
		for _, lendable := range []func(float64) float64{allowance.LendableRate, allowance.LendableBurst} {
			if lendable(a)+b-lendable(b) > max(a, b)+1e-6 {
				t.Fatalf("contracts of %g and %g: %g lent and %g not lendable", a, b, lendable(a), b-lendable(b))
			}
		}
	})
}

// TestHistoryCheckIsExact guards against a history check that differs from the
// definition: it must find a window with more than rate·w + burst admissions if
// and only if there is one.
func TestHistoryCheckIsExact(t *testing.T) {
	is := is.New(t)
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 20).Draw(t, "rate")
		burst := rapid.Float64Range(1, 5).Draw(t, "burst")
		var history []admission
		at := time.Unix(0, 0)
		for range rapid.IntRange(1, 25).Draw(t, "admissions") {
			at = at.Add(time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "gap")))
			history = append(history, admission{at: at})
		}
		broken := false
		for i := range history {
			for j := i; j < len(history); j++ {
				bound := rate*history[j].at.Sub(history[i].at).Seconds() + burst
				broken = broken || float64(j-i+1) > bound+1e-6
			}
		}
		if index, _ := overAdmitted(history, limit{rate: rate, burst: burst}); (index >= 0) != broken {
			t.Fatalf("check says %v, definition says %v", index >= 0, broken)
		}
	})
	is.Equal(allowance.RoundDown(-1), 0.0) // messages carry no negative numbers
}
