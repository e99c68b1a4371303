package retry

// MaxAttempts bounds how often one request is sent, hedges not counted.
const MaxAttempts = 3

// Request is the state of a request that decides whether it may be retried.
type Request struct {
	// Idempotent is true when executing the request twice does no harm.
	Idempotent bool
	// Replayable is true when the whole body can still be sent.
	Replayable bool
	// Attempts is how often the request was sent.
	Attempts int
	// MayHaveRun is true unless it is certain that no attempt so far was executed.
	MayHaveRun bool
}

// Allows reports whether the request may be retried. A request that is not idempotent
// may be retried only if it is certain that none of its attempts was executed.
func (r Request) Allows() bool {
	if r.Attempts >= MaxAttempts || !r.Replayable {
		return false
	}
	return r.Idempotent || !r.MayHaveRun
}
