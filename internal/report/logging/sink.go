// Package logging writes structured log lines without blocking requests: lines are put
// in a bounded queue, and lines that do not fit are dropped and counted.
//
// # Usage
//
//	sink := logging.NewSink(os.Stdout)
//	group.Go(func() error { return sink.Run(ctx) })
//	logger := logging.New(sink, zapcore.InfoLevel)
//
// Lines with the same level and message are sampled beyond a rate. Each second in which
// lines were dropped or sampled out is followed by a line with their numbers.
package logging

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueLines is the capacity of the queue, in lines that wait for a slow output.
	queueLines = 4096
	// flushPeriod is the maximum time that a line waits to be written together with
	// others.
	flushPeriod = 100 * time.Millisecond
	// flushBytes is the amount of buffered output that is written without waiting for
	// flushPeriod.
	flushBytes = 16 << 10
	// sampleFirst is the number of lines with the same level and message that are
	// written in full each second.
	sampleFirst = 100
	// sampleThereafter is the sampling interval beyond sampleFirst: one of this many
	// lines is written.
	sampleThereafter = 50
	// reportPeriod is the interval at which the numbers of dropped and sampled lines
	// are written, if there are any.
	reportPeriod = time.Second
)

// Sink queues lines for an output that may be slow or may block indefinitely. It
// implements zapcore.WriteSyncer.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64 // lines dropped because the queue was full
	sampled atomic.Int64 // lines left out by sampling
}

// NewSink returns a sink for an output. Lines are queued until Run writes them.
func NewSink(out io.Writer) *Sink {
	return &Sink{out: out, lines: make(chan []byte, queueLines)}
}

// Write queues a copy of the line p, or drops and counts it if the queue is full. It
// never blocks and never returns an error.
func (s *Sink) Write(p []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), p...):
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Sync does nothing; Run flushes the queue.
func (s *Sink) Sync() error { return nil }

// Dropped returns how many lines were dropped since the start because the queue was full,
// and how many were left out by sampling.
func (s *Sink) Dropped() (queue, sampling int64) { return s.dropped.Load(), s.sampled.Load() }

// Run writes queued lines until ctx ends, and then the lines that remain in the queue. It
// returns nil.
func (s *Sink) Run(ctx context.Context) error {
	flushTicker := time.NewTicker(flushPeriod)
	defer flushTicker.Stop()
	reportTicker := time.NewTicker(reportPeriod)
	defer reportTicker.Stop()
	var reported dropCounts
	buffer := make([]byte, 0, 2*flushBytes)
	for {
		select {
		case <-ctx.Done():
			s.drain(buffer)
			return nil
		case line := <-s.lines:
			buffer = append(buffer, line...)
			if len(buffer) < flushBytes {
				continue
			}
		case <-reportTicker.C:
			buffer, reported = s.appendReport(buffer, reported)
		case <-flushTicker.C:
		}
		if len(buffer) > 0 {
			s.out.Write(buffer) //nolint:errcheck // There is no other output to report it on.
			buffer = buffer[:0]
		}
	}
}

// dropCounts are the numbers of dropped and sampled lines at one time.
type dropCounts struct {
	dropped int64
	sampled int64
}

// appendReport appends a line with the numbers of lines dropped and sampled since the
// counts of the previous report, if there are any. It returns the counts now reported.
func (s *Sink) appendReport(buffer []byte, reported dropCounts) ([]byte, dropCounts) {
	now := dropCounts{dropped: s.dropped.Load(), sampled: s.sampled.Load()}
	if now == reported {
		return buffer, reported
	}
	buffer = append(buffer, `{"level":"warn","time":"`...)
	buffer = time.Now().AppendFormat(buffer, time.RFC3339Nano)
	buffer = append(buffer, `","msg":"log lines left out","queue_full":`...)
	buffer = strconv.AppendInt(buffer, now.dropped-reported.dropped, 10)
	buffer = append(buffer, `,"sampled":`...)
	buffer = strconv.AppendInt(buffer, now.sampled-reported.sampled, 10)
	buffer = append(buffer, "}\n"...)
	return buffer, now
}

// drain writes the buffer and all lines that remain in the queue.
func (s *Sink) drain(buffer []byte) {
	for {
		select {
		case line := <-s.lines:
			buffer = append(buffer, line...)
		default:
			s.out.Write(buffer) //nolint:errcheck // There is no other output to report it on.
			return
		}
	}
}

// New returns a logger that writes JSON lines of at least the given level to the sink,
// with sampling and without stack traces of errors.
func New(s *Sink, level zapcore.Level) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.TimeKey = "time"
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.MillisDurationEncoder
	core := PlainErrors(zapcore.NewCore(zapcore.NewJSONEncoder(c), s, level))
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter,
		zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				s.sampled.Add(1)
			}
		}))
	return zap.New(sampled)
}
