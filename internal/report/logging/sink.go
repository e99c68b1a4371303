// Package logging writes structured log lines without ever making a request wait:
// lines go to a bounded queue, and what does not fit is counted and left out.
//
// # Usage
//
//	sink := logging.NewSink(os.Stdout)
//	group.Go(func() error { return sink.Run(ctx) })
//	logger := logging.New(sink, zapcore.InfoLevel)
//
// Lines of one kind are sampled beyond a rate. Every second in which lines were
// left out ends with a line that says how many.
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
	// queueLines bounds the lines that wait for a slow reader of the output.
	queueLines = 4096
	// flushPeriod is how long a line may wait to be written together with others.
	flushPeriod = 100 * time.Millisecond
	// flushBytes is how many bytes are written at once.
	flushBytes = 16 << 10
	// sampleFirst is how many lines of one kind are written each second.
	sampleFirst = 100
	// sampleThereafter is which part of the further ones is written: one in so many.
	sampleThereafter = 50
	// reportPeriod is how often left-out lines are counted in a line of their own.
	reportPeriod = time.Second
)

// Sink queues lines for an output that may be slow or not be read at all.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64 // for want of room in the queue
	sampled atomic.Int64 // beyond the rate of their kind
}

// NewSink returns a sink. Nothing is written before Run.
func NewSink(out io.Writer) *Sink {
	return &Sink{out: out, lines: make(chan []byte, queueLines)}
}

// Write queues a line. It never blocks.
func (s *Sink) Write(p []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), p...):
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (s *Sink) Sync() error { return nil }

// Dropped returns how many lines found no room in the queue, and how many were
// left out by sampling.
func (s *Sink) Dropped() (queue, sampling int64) { return s.dropped.Load(), s.sampled.Load() }

// Run writes lines until ctx ends, and then what is queued.
func (s *Sink) Run(ctx context.Context) error {
	flush := time.NewTicker(flushPeriod)
	defer flush.Stop()
	report := time.NewTicker(reportPeriod)
	defer report.Stop()
	var told counts
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
		case <-report.C:
			buffer, told = s.leftOut(buffer, told)
		case <-flush.C:
		}
		if len(buffer) > 0 {
			s.out.Write(buffer) //nolint:errcheck // There is no place to report it.
			buffer = buffer[:0]
		}
	}
}

type counts struct {
	dropped int64
	sampled int64
}

// leftOut appends a line on what was left out since the last one.
func (s *Sink) leftOut(buffer []byte, told counts) ([]byte, counts) {
	now := counts{dropped: s.dropped.Load(), sampled: s.sampled.Load()}
	if now == told {
		return buffer, told
	}
	buffer = append(buffer, `{"level":"warn","time":"`...)
	buffer = time.Now().AppendFormat(buffer, time.RFC3339Nano)
	buffer = append(buffer, `","msg":"log lines left out","queue_full":`...)
	buffer = strconv.AppendInt(buffer, now.dropped-told.dropped, 10)
	buffer = append(buffer, `,"sampled":`...)
	buffer = strconv.AppendInt(buffer, now.sampled-told.sampled, 10)
	buffer = append(buffer, "}\n"...)
	return buffer, now
}

// drain writes what is queued.
func (s *Sink) drain(buffer []byte) {
	for {
		select {
		case line := <-s.lines:
			buffer = append(buffer, line...)
		default:
			s.out.Write(buffer) //nolint:errcheck // There is no place to report it.
			return
		}
	}
}

// New returns a logger that writes JSON lines to the sink.
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
