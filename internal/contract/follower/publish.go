package follower

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/base/clock"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

const (
	// publishTimeout is the timeout of a publication whose caller sets no earlier
	// deadline.
	publishTimeout = 20 * time.Second
	// appendTimeout is the timeout of one append.
	appendTimeout = 3 * time.Second
	// settleTime is how long a record may still take to enter the log after an
	// append of unknown outcome has returned. A read to the tail that begins later
	// shows whether it did.
	settleTime = time.Second
	// maxAppends is the maximum number of appends of one publication.
	maxAppends = 3
	// heartbeatRequestInterval is how often a publisher that waits for its quorum
	// requests heartbeats.
	heartbeatRequestInterval = 300 * time.Millisecond
	// confirmTimeout is how long the second confirmations may take. After that the
	// first ones are collected again, because a node that gave one may have
	// stopped.
	confirmTimeout = 3 * time.Second
)

// Unknown is the error of a change that may have been made. Publishing the same
// change again, with the same identity, is safe.
type Unknown struct {
	id     string
	reason error
}

// ID returns the change's identity.
func (u *Unknown) ID() string { return u.id }

// Error names the change's identity and why its outcome is not known.
func (u *Unknown) Error() string {
	return merry.Errorf("change %s: %w: %w", u.id, ErrUnknown, u.reason).Error()
}

// Is makes errors.Is(err, ErrUnknown) true.
func (u *Unknown) Is(target error) bool { return errors.Is(ErrUnknown, target) }

// Unwrap returns why the outcome is not known.
func (u *Unknown) Unwrap() error { return u.reason }

// Publish publishes a change and waits until it is accepted: in the log, certified if it
// is strict, and applied by a quorum. The error matches ledger.ErrConflict,
// ledger.ErrKeyTaken, ledger.ErrInvalid or ErrUnavailable if the change was not made, and
// ErrUnknown if the change may have been made. Without an earlier deadline in ctx, the
// timeout is 20 s.
func (f *Follower) Publish(ctx context.Context, c ledger.Change) (Receipt, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	begun := clock.Now()
	result, err := f.commit(ctx, c)
	if err == nil {
		err = f.awaitQuorum(ctx, result.Version())
		if err != nil {
			err = &Unknown{id: c.ID(), reason: err}
		}
	}
	var unknown *Unknown
	if errors.As(err, &unknown) {
		f.config.Events.Record(event.ChangeUnknown{Document: result.Subject(), ID: c.ID(), Reason: unknown.reason.Error()})
	}
	if err != nil {
		f.config.Logger.Warn("publishing a change failed", zap.String("change", c.ID()), zap.Error(err))
		return Receipt{ID: c.ID()}, merry.Prepend(err, "Follower.Publish")
	}
	receipt := Receipt{
		ID: c.ID(), Subject: result.Subject(), Version: result.Version(),
		Confirmed: f.InForce(result.Version()), Missing: f.Missing(result.Version()),
	}
	f.config.Events.Record(event.ChangeAccepted{
		Document: receipt.Subject, ID: receipt.ID, Version: int64(receipt.Version),
		Confirmed: len(receipt.Confirmed), Missing: receipt.Missing, Took: clock.Elapsed(begun),
	})
	f.config.Logger.Info("change accepted", zap.String("document", receipt.Subject), zap.String("change", receipt.ID),
		zap.Int64("version", int64(receipt.Version)), zap.Int("confirmed", len(receipt.Confirmed)), zap.Strings("missing", receipt.Missing))
	return receipt, nil
}

// commit appends the change to the log and waits for the ledger's decision on it.
func (f *Follower) commit(ctx context.Context, c ledger.Change) (ledger.Result, error) {
	payload, err := encode(c)
	if err != nil {
		return ledger.Result{}, err
	}
	if err := f.Fresh(); err != nil {
		return ledger.Result{}, merry.Errorf("%w: %w", ErrUnavailable, err)
	}
	decided, removeWaiter := f.awaitResult(c.ID())
	defer removeWaiter()
	// A record of an earlier publication of the same change may have been applied
	// before the waiter was registered.
	result, known := f.ledger.Preview(c)
	if known || result.Err() != nil {
		return result, result.Err()
	}
	return f.append(ctx, c, payload, decided)
}

// encode checks a change and returns its form in the log. The error matches
// ledger.ErrInvalid.
func encode(c ledger.Change) ([]byte, error) {
	if c == nil {
		return nil, merry.Errorf("no change: %w", ledger.ErrInvalid)
	}
	if _, restated := c.(ledger.Restatement); restated || c.ID() == "" {
		return nil, merry.Errorf("%T with identity %q: %w", c, c.ID(), ledger.ErrInvalid)
	}
	payload, err := ledger.Encode(c)
	if err != nil {
		return nil, merry.Errorf("%w: %w", ledger.ErrInvalid, err)
	}
	// Decoding makes the same checks as the nodes that will read the record.
	if _, err := ledger.Decode(payload); err != nil {
		return nil, err
	}
	return payload, nil
}

// awaitResult returns a channel that receives the result of the next record of the change
// with an identity, and a function that removes the channel.
func (f *Follower) awaitResult(id string) (<-chan ledger.Result, func()) {
	waiter := make(chan ledger.Result, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiters[id] = append(f.waiters[id], waiter)
	return waiter, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.waiters[id] = slices.DeleteFunc(f.waiters[id], func(w chan ledger.Result) bool { return w == waiter })
		if len(f.waiters[id]) == 0 {
			delete(f.waiters, id)
		}
	}
}

// append appends the change and waits for its result. If an append may have taken effect,
// the method appends again only after a read to the tail has shown that the record is not
// in the log. If the first record enters the log later nevertheless, it does no harm,
// because both records have the same identity.
func (f *Follower) append(ctx context.Context, c ledger.Change, payload []byte, decided <-chan ledger.Result) (ledger.Result, error) {
	var lastErr error
	for range maxAppends {
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := f.config.Log.Append(appendCtx, payload)
		cancel()
		f.readNow()
		if err == nil {
			return f.awaitDecision(ctx, c, decided, nil)
		}
		if errors.Is(err, journal.ErrUnavailable) && lastErr == nil {
			return ledger.Result{}, merry.Errorf("%w: %w", ErrUnavailable, err)
		}
		lastErr = err
		failedAt := clock.Now()
		result, err := f.awaitDecision(ctx, c, decided, func() bool {
			return !f.tailReadAt.IsZero() && clock.Elapsed(f.tailReadAt)+settleTime <= clock.Elapsed(failedAt)
		})
		if !errors.Is(err, errAbsent) {
			return result, err
		}
	}
	return ledger.Result{}, &Unknown{id: c.ID(), reason: lastErr}
}

// errAbsent reports that a read to the log's tail did not find an appended record.
var errAbsent = merry.Sentinel("record is not in the log")

// awaitDecision waits for the result of the change, or until absent reports that the log
// does not contain the record; the error is then errAbsent. absent is called with f.mu
// held and may be nil.
func (f *Follower) awaitDecision(ctx context.Context, c ledger.Change, decided <-chan ledger.Result, absent func() bool) (ledger.Result, error) {
	for {
		f.mu.Lock()
		progress := f.progress
		recordAbsent := absent != nil && absent()
		f.mu.Unlock()
		select {
		case result := <-decided:
			return result, result.Err()
		default:
		}
		// A merged snapshot may include the change, so that this node never applies
		// its record.
		if result, known := f.ledger.Preview(c); known {
			return result, nil
		}
		if recordAbsent {
			return ledger.Result{}, errAbsent
		}
		if ctx.Err() != nil {
			return ledger.Result{}, &Unknown{id: c.ID(), reason: merry.Errorf("record was not read back: %w", ctx.Err())}
		}
		if f.waitProgress(ctx, progress, superviseInterval) {
			f.readNow()
		}
	}
}

// awaitQuorum waits until a quorum of nodes has applied a version at the same moment.
// Confirmations from different moments are not enough: a node that confirmed may have
// been replaced since by one that lacks the change. Therefore the nodes of the quorum
// must confirm a second time, in the same incarnation, after all of them have
// confirmed once.
func (f *Follower) awaitQuorum(ctx context.Context, version ledger.Version) error {
	firstIncarnations := make(map[string]string)
	var firstConfirmedAt clock.Mark
	f.requestHeartbeats()
	for {
		if !firstConfirmedAt.IsZero() && clock.Elapsed(firstConfirmedAt) > confirmTimeout {
			firstConfirmedAt = clock.Mark{}
			clear(firstIncarnations)
		}
		f.mu.Lock()
		progress := f.progress
		count := f.countConfirmations(version, firstIncarnations, firstConfirmedAt)
		f.mu.Unlock()
		enough := count >= f.config.Quorum()
		if enough && !firstConfirmedAt.IsZero() || f.config.Quorum() <= 1 && count >= 1 {
			return nil
		}
		if enough && firstConfirmedAt.IsZero() {
			firstConfirmedAt = clock.Now()
			f.requestHeartbeats()
		}
		if ctx.Err() != nil {
			return merry.Errorf("%d of %d nodes confirmed version %d: %w", count, f.config.Quorum(), version, ctx.Err())
		}
		// Every reply to a heartbeat counts as progress. Requesting heartbeats after
		// each would flood the peers, so they are requested at an interval only.
		if f.waitProgress(ctx, progress, heartbeatRequestInterval) {
			f.requestHeartbeats()
		}
	}
}

// AwaitInForce waits until this node and all nodes in Config.Peers have applied an
// accepted change, or until ctx ends. It returns the receipt with Confirmed and Missing
// as of then.
func (f *Follower) AwaitInForce(ctx context.Context, r Receipt) Receipt {
	begun := clock.Now()
	for {
		f.mu.Lock()
		progress := f.progress
		f.mu.Unlock()
		r.Confirmed, r.Missing = f.InForce(r.Version), f.Missing(r.Version)
		if len(r.Missing) == 0 || ctx.Err() != nil {
			break
		}
		f.waitProgress(ctx, progress, heartbeatRequestInterval)
	}
	f.config.Events.Record(event.ChangeInForce{
		Document: r.Subject, ID: r.ID, Version: int64(r.Version), Missing: r.Missing, Took: clock.Elapsed(begun),
	})
	return r
}

// countConfirmations counts the nodes that have applied a version, including this one.
// While firstConfirmedAt is zero, it collects the first confirmations and stores the
// peers' incarnations in firstIncarnations. Afterwards it counts the second
// confirmations: replies to heartbeats sent after that mark, in the same incarnation.
// The caller holds f.mu.
func (f *Follower) countConfirmations(version ledger.Version, firstIncarnations map[string]string, firstConfirmedAt clock.Mark) int {
	count := 0
	if f.started && f.ledger.Next() > version {
		count++
	}
	for id, p := range f.peers {
		if !p.hasApplied(version) || !p.repliedRecently() {
			continue
		}
		if firstConfirmedAt.IsZero() {
			firstIncarnations[id] = p.position.Incarnation
			count++
			continue
		}
		if firstIncarnations[id] == p.position.Incarnation && newer(p.sent, firstConfirmedAt) {
			count++
		}
	}
	return count
}
