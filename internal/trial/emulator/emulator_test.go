package emulator_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/trial/emulator"
)

// send sends n requests at once and returns the number of responses with each
// status, such as "[200:1 500:3]".
func send(h http.Handler, n int, path string) string {
	responses := make([]*httptest.ResponseRecorder, n)
	var eg errgroup.Group
	for i := range n {
		responses[i] = httptest.NewRecorder()
		eg.Go(func() error { h.ServeHTTP(responses[i], httptest.NewRequest(http.MethodGet, path, nil)); return nil })
	}
	_ = eg.Wait()
	counts := make(map[int]int)
	for _, w := range responses {
		counts[w.Code]++
	}
	return strings.TrimPrefix(fmt.Sprint(counts), "map")
}

func post(target *emulator.Target, path, body string) int {
	w := httptest.NewRecorder()
	target.Control().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return w.Code
}

// Guards against slots that do not limit concurrency, a queue that loses
// requests, and service times that differ between targets with the same seed.
func TestLatencyAndSlots(t *testing.T) {
	const n, mean = 400, 20 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var elapsed []time.Duration
		for _, concurrency := range []int{1, n} {
			target, start := emulator.New("t", 7), time.Now()
			is.NoErr(target.SetBehaviour(emulator.Behaviour{Latency: emulator.Duration(mean), Slots: 1}))
			for range n / concurrency {
				is.Equal(send(target, concurrency, "/"), fmt.Sprintf("[200:%d]", concurrency))
			}
			elapsed = append(elapsed, time.Since(start))
		}
		is.True(elapsed[0] > n*mean*8/10 && elapsed[0] < n*mean*12/10)
		is.Equal(elapsed[0], elapsed[1]) // With one slot, queued requests take as long as successive ones.
	})
}

// Guards against cold starts that accept full load or never end, flapping that
// misses its period, a health check that ignores LyingHealth, and behaviour
// changes that reset fields they do not name or that are accepted although
// invalid.
func TestChangesOverTime(t *testing.T) {
	const ramp = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		target := emulator.New("t", 7)
		is.Equal(post(target, emulator.BehaviourPath, `{"latency":"50ms","slots":4,"cold_start":"10s"}`), http.StatusOK)
		is.Equal(send(target, 4, "/"), "[200:1 500:3]")
		time.Sleep(ramp / 5)
		is.Equal(send(target, 4, "/"), "[200:1 500:3]")
		is.Equal(send(target, 1, emulator.HealthPath), "[503:1]")
		time.Sleep(ramp)
		is.Equal(send(target, 4, "/"), "[200:4]")
		is.Equal(send(target, 1, emulator.HealthPath), "[200:1]")
		is.Equal(post(target, emulator.RestartPath, ""), http.StatusNoContent)
		is.Equal(send(target, 4, "/"), "[200:1 500:3]")
		is.Equal(post(target, emulator.BehaviourPath, `{"lying_health":true}`), http.StatusOK)
		is.Equal(send(target, 1, emulator.HealthPath), "[200:1]")
		is.Equal(send(target, 4, "/"), "[200:1 500:3]") // The slots and the ramp are kept.
		for _, invalid := range []string{`{"colour":1}`, `{"slots":-1}`, `{"drop_share":0.6,"refuse_share":0.6}`, `{"slots":0}`} {
			is.Equal(post(target, emulator.BehaviourPath, invalid), http.StatusBadRequest)
		}
		is.Equal(post(target, emulator.BehaviourPath, `{"latency":"0s","cold_start":"0s","flap_period":"2s"}`), http.StatusOK)
		for _, want := range []string{"[200:1]", "[500:1]", "[200:1]", "[500:1]"} {
			is.Equal(send(target, 1, "/"), want)
			time.Sleep(time.Second)
		}
	})
}
