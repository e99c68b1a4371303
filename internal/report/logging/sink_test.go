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

// output is an in-memory output whose writes can block, like those of a standard output
// that no process reads.
type output struct {
	mu      sync.Mutex
	buffer  bytes.Buffer
	blocked chan struct{} // if not nil, writes wait until it is closed
}

func (o *output) Write(p []byte) (int, error) {
	if o.blocked != nil {
		<-o.blocked
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.Write(p)
}

// lines returns the decoded lines written so far.
func (o *output) lines(t *testing.T) []map[string]any {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []map[string]any
	for _, line := range strings.Split(strings.TrimSpace(o.buffer.String()), "\n") {
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

// runSink calls write with a logger and its running sink, and returns after the sink has
// written all lines to out.
func runSink(out *output, write func(*zap.Logger, *logging.Sink)) {
	sink := logging.NewSink(out)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return sink.Run(ctx) })
	write(logging.New(sink, zapcore.InfoLevel), sink)
	cancel()
	group.Wait() //nolint:errcheck // Run returns nil.
}

// TestLines guards against lines that are joined, or lost when the sink stops.
func TestLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &output{}
		runSink(out, func(l *zap.Logger, _ *logging.Sink) {
			l.Info("first", zap.Int("n", 1))
			l.Info("second", zap.Int("n", 2))
		})
		lines := out.lines(t)
		is.Equal(len(lines), 2)
		is.Equal(lines[0]["msg"], "first")
		is.Equal(lines[1]["n"], 2.0)
	})
}

// TestErrors guards against lines of several kilobytes that contain the stack trace of an
// error.
func TestErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &output{}
		runSink(out, func(l *zap.Logger, _ *logging.Sink) {
			l.With(zap.Error(merry.New("outer"))).Warn("failed", zap.NamedError("cause", merry.New("store unavailable")))
		})
		line := out.lines(t)[0]
		is.Equal(line["cause"], "store unavailable")
		is.Equal(line["error"], "outer")
		is.Equal(len(line), 5) // cause, error, level, time and msg; no stack trace
	})
}

// TestBlockedOutput guards against requests that block in logging because no process
// reads the standard output.
func TestBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &output{blocked: make(chan struct{})}
		runSink(out, func(l *zap.Logger, sink *logging.Sink) {
			l.Info("this write blocks")
			time.Sleep(time.Second)
			before := time.Now()
			for i := range 50 {
				for range 200 {
					l.Info(strings.Repeat("x", i+1)) // 50 messages, so that sampling leaves enough to fill the queue
				}
			}
			is.Equal(time.Since(before), time.Duration(0))
			queue, _ := sink.Dropped()
			is.True(queue > 0)
			close(out.blocked)
		})
	})
}

// TestVolume guards against a log volume that grows with the load, and against lines that
// are left out without being counted.
func TestVolume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &output{}
		const perSecond, seconds = 5000, 3
		runSink(out, func(l *zap.Logger, _ *logging.Sink) {
			for range seconds {
				for range perSecond {
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
		is.Equal(written+leftOut, perSecond*seconds) // every line is accounted for
	})
}
