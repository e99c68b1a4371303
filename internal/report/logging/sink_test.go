package logging_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/report/logging"
)

// output is a standard output that can stop being read.
type output struct {
	mu      sync.Mutex
	b       bytes.Buffer
	blocked chan struct{} // a write waits until it is closed
}

func (o *output) Write(p []byte) (int, error) {
	if o.blocked != nil {
		<-o.blocked
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *output) lines(t *testing.T) []map[string]any {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []map[string]any
	for _, line := range strings.Split(strings.TrimSpace(o.b.String()), "\n") {
		if line == "" {
			continue
		}
		var m map[string]any
		if err := json.Unmarshal([]byte(line), &m); err != nil {
			t.Fatalf("%q is no JSON object: %v", line, err)
		}
		list = append(list, m)
	}
	return list
}

// run writes lines with f and returns the output after the sink's end.
func run(out *output, f func(*zap.Logger, *logging.Sink)) {
	sink := logging.NewSink(out)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return sink.Run(ctx) })
	f(logging.New(sink, zapcore.InfoLevel), sink)
	cancel()
	group.Wait() //nolint:errcheck // Run returns nil.
}

// TestLines guards against lines that are lost at the end or joined.
func TestLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &output{}
		run(out, func(l *zap.Logger, _ *logging.Sink) {
			l.Info("first", zap.Int("n", 1))
			l.Info("second", zap.Int("n", 2))
		})
		lines := out.lines(t)
		is.Equal(len(lines), 2)
		is.Equal(lines[0]["msg"], "first")
		is.Equal(lines[1]["n"], 2.0)
	})
}

// TestErrors guards against lines of several kilobytes with the stack of an error.
func TestErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &output{}
		run(out, func(l *zap.Logger, _ *logging.Sink) {
			l.With(zap.Error(merry.New("outer"))).Warn("failed", zap.NamedError("cause", merry.New("store away")))
		})
		line := out.lines(t)[0]
		is.Equal(line["cause"], "store away")
		is.Equal(line["error"], "outer")
		is.Equal(len(line), 5) // with level, time and msg
	})
}

// TestNotRead guards against requests that wait because nobody reads standard
// output.
func TestNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &output{blocked: make(chan struct{})}
		run(out, func(l *zap.Logger, sink *logging.Sink) {
			l.Info("this write blocks")
			time.Sleep(time.Second)
			before := time.Now()
			for i := range 50 {
				for range 200 {
					l.Info(strings.Repeat("x", i+1)) // many kinds, so that sampling leaves enough
				}
			}
			is.Equal(time.Since(before), time.Duration(0))
			queue, _ := sink.Dropped()
			is.True(queue > 0)
			close(out.blocked)
		})
	})
}

// TestVolume guards against a volume that grows with the load, and against lines
// that are left out without a word.
func TestVolume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &output{}
		const each, seconds = 5000, 3
		run(out, func(l *zap.Logger, _ *logging.Sink) {
			for range seconds {
				for range each {
					l.Info("request")
				}
				time.Sleep(time.Second)
			}
			time.Sleep(2 * time.Second)
		})
		written, leftOut := 0, 0
		for _, line := range out.lines(t) {
			if line["msg"] == "log lines left out" {
				leftOut += int(line["sampled"].(float64)) + int(line["queue_full"].(float64))
				continue
			}
			written++
		}
		is.True(written <= 250*seconds)
		is.Equal(written+leftOut, each*seconds) // every line is accounted for
	})
}
