package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/target/evidence"
)

// ErrSuperseded is the cause with which the caller of Send cancels the context of an
// attempt because another instance responded first.
var ErrSuperseded = merry.Sentinel("transport: another instance responded first")

// ErrInterrupted is the error that Read of a request's body must return after the call
// of Options.Interrupt. The attempt does not count it as an error of the body.
var ErrInterrupted = merry.Sentinel("transport: the request's body is no longer needed")

var (
	errSwitchedProtocols    = merry.Sentinel("transport: the target switched protocols without being asked to")
	errStatusBelow100       = merry.Sentinel("transport: the response's status is below 100")
	errTooManyInformational = merry.Sentinel("transport: the target sent too many 1xx responses")
	errEnded                = merry.Sentinel("transport: the attempt has ended")
	errStray                = merry.Sentinel("transport: the response belongs to another request")
)

// lastWriteTimeout is how long to wait, once the target has responded, until the
// goroutine that writes the request reports its last write. After that the request
// counts as not fully written, and the connection is not reused.
const lastWriteTimeout = 10 * time.Millisecond

const (
	// maxStray bounds the responses to earlier requests that are dropped.
	maxStray = 2
	// maxStrayBytes bounds the body of each of them.
	maxStrayBytes = 1 << 20
)

// maxInformational bounds the number of 1xx responses to one request.
const maxInformational = 16

// Attempt is a request that was sent once, and its response.
type Attempt struct {
	transport *Transport
	ctx       context.Context
	conn      *conn
	options   Options
	method    string

	written   atomic.Bool
	reused    bool // the connection had carried an earlier request
	stray     int  // responses to earlier requests that were dropped
	response  *http.Response
	body      *responseBody
	err       error
	kind      evidence.Kind
	firstByte time.Duration

	upload          *upload
	uploadGroup     errgroup.Group
	stopCloseOnDone func() bool
	endOnce         sync.Once
}

// Send writes the request once to the instance at address and reads the response's
// head. It never retries. It always returns an attempt; Err reports whether it failed. A
// body from MemoryBody is written before the response is read; any other body is
// streamed by a goroutine of its own.
func (t *Transport) Send(ctx context.Context, address string, r *http.Request, o Options) *Attempt {
	a := &Attempt{transport: t, ctx: ctx, options: o, method: r.Method}
	c, err := t.connect(ctx, address, o.Retryable)
	if err != nil {
		a.fail(err, evidence.ConnectFailed)
		return a
	}
	a.conn = c
	a.reused = c.previousMethod != ""
	c.begin(&a.written)
	// When the context is done, the connection is closed. Setting a deadline in the
	// past instead would not work, since the next read sets a new deadline.
	a.stopCloseOnDone = context.AfterFunc(ctx, func() { c.Close() })
	a.upload = newUpload(r)
	if a.upload.streamed {
		a.uploadGroup.Go(func() error { return a.writeRequest(r) })
	} else if err := a.writeRequest(r); err != nil {
		// The target may have responded before it reset the connection. That response is
		// not read, since the target did not read the whole request.
		a.fail(err, evidence.Reset)
		return a
	}
	a.readHead(r)
	return a
}

// writeRequest writes the request with its body and records when it was fully written.
// If the body fails, it closes the connection.
func (a *Attempt) writeRequest(r *http.Request) error {
	w := writerPool.Get().(*bufio.Writer)
	w.Reset(a.conn)
	err := r.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	writerPool.Put(w)
	if a.upload.bodyError() != nil {
		// A body that was cut off must not look complete to the target.
		a.conn.Close()
	}
	if err == nil {
		a.upload.writtenAt.Store(time.Now().UnixNano())
	}
	if a.upload.writeDone != nil {
		close(a.upload.writeDone)
	}
	return err
}

// readHead reads the heads of 1xx responses and of the final response.
func (a *Attempt) readHead(r *http.Request) {
	if _, err := a.conn.reader.Peek(1); err != nil {
		a.fail(err, evidence.Reset)
		return
	}
	a.measureFirstByte()
	for range maxInformational {
		resp, err := http.ReadResponse(a.conn.reader, r) //nolint:bodyclose // Closing would read the rest of the body.
		if err != nil {
			a.fail(err, evidence.Malformed)
			return
		}
		if resp.StatusCode >= http.StatusOK && a.options.Stray != nil && a.options.Stray(resp) {
			if err := a.dropStray(r, resp); err != nil {
				a.fail(err, evidence.Malformed)
				return
			}
			continue
		}
		if resp.StatusCode >= http.StatusOK {
			a.acceptResponse(resp)
			return
		}
		switch {
		case resp.StatusCode < http.StatusContinue:
			a.fail(errStatusBelow100, evidence.Malformed)
			return
		case resp.StatusCode == http.StatusContinue:
			a.upload.proceed()
		case resp.StatusCode == http.StatusSwitchingProtocols:
			a.fail(errSwitchedProtocols, evidence.Malformed)
			return
		case a.options.Informational != nil:
			a.options.Informational(resp.StatusCode, resp.Header)
		}
	}
	a.fail(errTooManyInformational, evidence.Malformed)
}

// dropStray reads a response to an earlier request to its end. It returns an error if
// the end cannot be known for certain: only on a connection that has carried a request,
// if neither that request nor this one is a HEAD, whose response has no body, and if the
// response does not end with the connection.
func (a *Attempt) dropStray(r *http.Request, resp *http.Response) error {
	a.stray++
	previous := a.conn.previousMethod
	if previous == "" || previous == http.MethodHead || r.Method == http.MethodHead || resp.Close || a.stray > maxStray {
		return errStray
	}
	a.conn.headRemaining = -1
	n, err := io.CopyN(io.Discard, resp.Body, maxStrayBytes+1)
	if !errors.Is(err, io.EOF) || n > maxStrayBytes {
		return errStray
	}
	a.conn.headRemaining = MaxHeadBytes
	return nil
}

// measureFirstByte records the time from the end of the request to the first byte of the
// response. It records nothing for a response that began before the request was fully
// written.
func (a *Attempt) measureFirstByte() {
	now := time.Now().UnixNano()
	if a.upload.fullyWritten() {
		a.firstByte = max(time.Duration(now-a.upload.writtenAt.Load()), 1)
	}
}

// acceptResponse takes the head of the final response. An attempt whose response has no
// body ends here.
func (a *Attempt) acceptResponse(resp *http.Response) {
	a.conn.headRemaining = -1
	a.upload.withhold()
	a.kind = evidence.Answered
	a.response = resp
	if resp.Body == http.NoBody {
		a.finish()
		return
	}
	a.body = &responseBody{attempt: a, src: resp.Body}
	resp.Body = a.body
}

// finish ends an attempt whose response has been read completely. The connection becomes
// idle if it can be reused, and is closed otherwise.
func (a *Attempt) finish() {
	a.endOnce.Do(func() {
		a.conn.headRemaining = 0
		reusable := a.upload.fullyWritten() && !a.response.Close && a.stray == 0 && a.conn.reader.Buffered() == 0
		if !a.stopCloseOnDone() || !reusable {
			a.terminate()
			return
		}
		a.conn.SetDeadline(time.Time{}) //nolint:errcheck // A connection that fails here fails at its next use.
		c := a.conn
		c.previousMethod = a.method
		a.conn = nil // The next attempt may own it from here on.
		a.transport.putIdle(c, a.options.MaxIdle)
	})
}

// terminate closes the connection and waits for the upload to end.
func (a *Attempt) terminate() {
	a.stopCloseOnDone()
	a.conn.discard()
	if a.body != nil && a.body.err == nil {
		a.body.err = errEnded // The read buffer may belong to another connection from here on.
	}
	if !a.upload.streamed {
		a.conn.release()
		return
	}
	if a.upload.cancel() && a.options.Interrupt != nil {
		a.options.Interrupt()
	}
	a.uploadGroup.Wait() //nolint:errcheck // The upload records its own error.
	a.conn.release()
}

// fail ends an attempt without a complete response. The attempt gets the given kind
// unless classify finds a more specific one.
func (a *Attempt) fail(err error, kind evidence.Kind) {
	a.err = err
	a.kind = a.classify(err, kind)
	if a.conn == nil {
		return
	}
	a.endOnce.Do(a.terminate)
	if a.BodyError() != nil {
		// The failed read of the caller's body, not the target, ended the attempt. net/http
		// cancels the request's context before that read returns, so the error may be
		// recorded only now.
		a.kind = evidence.Cancelled
	}
}

// classify returns the kind of a failed attempt. It returns the given kind unless the
// end of the context, a timeout of the connection or a broken connection explains err
// better.
func (a *Attempt) classify(err error, kind evidence.Kind) evidence.Kind {
	if a.ctx.Err() != nil {
		return a.classifyContextDone()
	}
	var timeout net.Error
	if kind != evidence.ConnectFailed && errors.As(err, &timeout) && timeout.Timeout() {
		return evidence.TimedOut
	}
	if kind == evidence.Malformed && connectionEnded(err) {
		return evidence.Reset
	}
	return kind
}

// classifyContextDone returns the kind of an attempt whose context is done. The target
// counts as too slow only if it had the whole request or did not read the rest of it,
// and not while the attempt was connecting or waiting for the caller's body.
func (a *Attempt) classifyContextDone() evidence.Kind {
	cause := context.Cause(a.ctx)
	if a.conn == nil || a.upload.readingBody.Load() {
		return evidence.Cancelled
	}
	if errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, ErrSuperseded) {
		return evidence.TimedOut
	}
	return evidence.Cancelled
}

// connectionEnded reports whether err means that the connection ended, rather than that
// the response could not be parsed.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || errors.Is(err, net.ErrClosed)
}

// Close ends the attempt. It closes the connection unless the response was read to its
// end, and waits until the request's body is no longer being read.
func (a *Attempt) Close() {
	if a.conn != nil {
		a.endOnce.Do(a.terminate)
	}
}

// Discard ends an attempt whose response is not needed. The connection is kept for reuse
// if the rest of the response has been received already.
func (a *Attempt) Discard() {
	r := a.response
	if a.conn != nil && r != nil && r.ContentLength > 0 && r.ContentLength <= int64(a.conn.buffered()) {
		io.Copy(io.Discard, r.Body) //nolint:errcheck // Nothing is read from the network.
	}
	a.Close()
}

// Abandon ends an attempt because the caller does not read its response. Unless the
// attempt has failed already, its kind becomes evidence.Cancelled.
func (a *Attempt) Abandon() {
	if a.err == nil {
		a.err = context.Canceled
		a.kind = evidence.Cancelled
	}
	a.Close()
}

// Reject ends an attempt whose response the caller of Send found to be invalid. The
// attempt's error becomes err and its kind evidence.Malformed.
func (a *Attempt) Reject(err error) {
	a.err = err
	a.kind = evidence.Malformed
	a.Close()
}

// Response returns the response, or nil if there is none.
func (a *Attempt) Response() *http.Response { return a.response }

// Status returns the response's status, or 0 if there is no response.
func (a *Attempt) Status() int {
	if a.response == nil {
		return 0
	}
	return a.response.StatusCode
}

// Header returns the first value of a response header, or "" if there is none.
func (a *Attempt) Header(name string) string {
	if a.response == nil {
		return ""
	}
	return a.response.Header.Get(name)
}

// Err returns why there is no response or why its body could not be read completely. It
// is nil as long as nothing failed.
func (a *Attempt) Err() error { return a.err }

// Written reports whether any byte of the request may have reached the target.
// If not, the request did not run.
func (a *Attempt) Written() bool { return a.written.Load() }

// Reused reports whether the connection had carried an earlier request. The response may
// then be a late copy of the response to that one.
func (a *Attempt) Reused() bool { return a.reused }

// Kind returns the outcome of the attempt as far as it is known. A later failure in
// reading the response's body changes it.
func (a *Attempt) Kind() evidence.Kind { return a.kind }

// FirstByte returns the time from the end of the request to the response's first byte.
// It is 0 if the response began before the end of the request, or did not begin.
func (a *Attempt) FirstByte() time.Duration { return a.firstByte }

// Sent returns the time at which the whole request had been written, or the zero time if
// it was not written completely.
func (a *Attempt) Sent() time.Time {
	if !a.Uploaded() {
		return time.Time{}
	}
	return time.Unix(0, a.upload.writtenAt.Load())
}

// Uploaded reports whether the whole request was written.
func (a *Attempt) Uploaded() bool { return a.upload != nil && a.upload.writtenAt.Load() != 0 }

// BodyError returns the error with which reading the request's body failed, or nil.
func (a *Attempt) BodyError() error {
	if a.upload == nil {
		return nil
	}
	return a.upload.bodyError()
}
