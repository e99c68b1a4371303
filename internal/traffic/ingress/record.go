package ingress

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// record logs the request with its result and attempts, and updates the metrics.
func (x *exchange) record() {
	took := time.Since(x.start)
	if m := x.server.config.Metrics; m != nil {
		m.observe(x, took)
	}
	level := zapcore.InfoLevel
	entry := x.server.config.Logger.Check(level, "request")
	if entry == nil {
		return
	}
	fields := make([]zap.Field, 0, 12)
	fields = append(fields,
		zap.String("request", x.id),
		zap.Int("status", x.result.status),
		zap.String("reason", string(x.result.reason)),
		zap.Duration("took", took),
	)
	if x.table != nil {
		fields = append(fields, zap.Int64("configuration", x.table.Version()))
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name()), zap.String("service", x.service))
	}
	if !x.deadline.IsZero() {
		fields = append(fields, zap.Duration("allowed", x.deadline.Sub(x.start)))
	}
	if x.account != nil {
		fields = append(fields, zap.String("account", x.account.Name()))
		if x.result.reason == overRate {
			fields = append(fields, zap.Float64("tokens", x.server.config.Quota.Tokens(x.account.Name())))
		}
	}
	if x.result.reason == retryBudgetSpent {
		requests, retries := x.server.config.RetryBudget.Counts(x.service)
		fields = append(fields, zap.Int("service_requests", requests), zap.Int("service_repeats", retries))
	}
	if len(x.attempts) > 0 {
		fields = append(fields, zap.Array("attempts", attemptList(x.attempts)))
	}
	entry.Write(fields...)
}

// attemptList is the "attempts" array of a request's log line.
type attemptList []*attempt

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l attemptList) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for _, a := range l {
		if err := e.AppendObject(a); err != nil {
			return err
		}
	}
	return nil
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (a *attempt) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("instance", a.choice.Instance().ID())
	e.AddString("end", string(a.upstream.Kind()))
	if s := a.upstream.Status(); s != 0 {
		e.AddInt("status", s)
	}
	if a.refused {
		e.AddBool("refused", true)
	}
	if err := a.upstream.Err(); err != nil {
		e.AddString("error", err.Error())
	}
	e.AddDuration("took", a.took)
	v := a.choice.View()
	e.AddFloat64("cost", a.choice.Cost())
	e.AddInt("in_flight", v.InFlight)
	e.AddFloat64("gray", v.Gray)
	if v.LastFailure > 0 {
		e.AddDuration("last_failure", v.LastFailure)
	}
	return nil
}
