package transport

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// upload wraps the request's body while it is sent. It records errors and completion,
// waits for 100 Continue if the request expects it, and can stop further reads.
type upload struct {
	src         io.ReadCloser
	streamed    bool
	writtenAt   atomic.Int64 // when the request had been written, in Unix ns, or 0
	readingBody atomic.Bool  // a Read of the caller's body is in progress

	mu              sync.Mutex
	err             error
	ended           bool
	started         bool
	expectContinue  bool          // used only by the goroutine that writes the request
	continueDecided chan struct{} // closed when the target accepted or refused the body, or the attempt ended
	decideOnce      sync.Once
	withheld        atomic.Bool
	bodyRead        atomic.Bool   // the caller's body was read to its end
	writeDone       chan struct{} // closed when the request was written or has failed
}

// newUpload returns the upload of r's body and makes r read from it. A body from
// MemoryBody is not wrapped, since it cannot fail.
func newUpload(r *http.Request) *upload {
	u := &upload{}
	if r.Body == nil || r.Body == http.NoBody {
		return u
	}
	if _, ok := r.Body.(memoryBody); ok {
		r.Body = io.NopCloser(r.Body.(memoryBody).Reader)
		return u
	}
	u.src = r.Body
	u.streamed = true
	u.expectContinue = strings.EqualFold(r.Header.Get("Expect"), "100-continue")
	u.continueDecided = make(chan struct{})
	u.writeDone = make(chan struct{})
	r.Body = u
	return u
}

// proceed ends the wait for 100 Continue, so that the body is sent.
func (u *upload) proceed() {
	if u.continueDecided != nil {
		u.decideOnce.Do(func() { close(u.continueDecided) })
	}
}

// withhold ends the wait for 100 Continue without sending the body. A body that is being
// sent already is not affected.
func (u *upload) withhold() {
	u.withheld.Store(true)
	u.proceed()
}

func (u *upload) bodyError() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err
}

// fullyWritten reports whether the whole request was written. Since the response may
// arrive before the writing goroutine has recorded its last write, fullyWritten waits up
// to lastWriteTimeout for that if the body has been read to its end.
func (u *upload) fullyWritten() bool {
	if u.writtenAt.Load() != 0 || !u.bodyRead.Load() {
		return u.writtenAt.Load() != 0
	}
	timer := time.NewTimer(lastWriteTimeout)
	defer timer.Stop()
	select {
	case <-u.writeDone:
	case <-timer.C:
	}
	return u.writtenAt.Load() != 0
}

// cancel makes further reads of the body fail, and reports whether one may be in
// progress.
func (u *upload) cancel() bool {
	u.mu.Lock()
	u.ended = true
	started := u.started
	u.mu.Unlock()
	u.withhold()
	return started && u.writtenAt.Load() == 0
}

// Read implements io.Reader. It reads the caller's body, after 100 Continue if the
// request expects it.
func (u *upload) Read(p []byte) (int, error) {
	if err := u.beginRead(); err != nil {
		return 0, err
	}
	u.readingBody.Store(true)
	n, err := u.src.Read(p)
	u.readingBody.Store(false)
	if errors.Is(err, io.EOF) {
		u.bodyRead.Store(true)
	} else if err != nil {
		u.recordError(err)
	}
	return n, err
}

// beginRead returns nil if the caller's body may be read now, and errEnded if the
// attempt has ended or the target refused the body. If the request has an Expect header,
// the first call waits for the target's decision.
func (u *upload) beginRead() error {
	if u.expectContinue {
		u.awaitContinue()
		u.expectContinue = false
		if u.withheld.Load() {
			return errEnded
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		return errEnded
	}
	u.started = true
	return nil
}

// awaitContinue waits for the target's decision on the body. After ContinueTimeout it
// assumes that the target does not support the Expect header.
func (u *upload) awaitContinue() {
	timer := time.NewTimer(ContinueTimeout)
	defer timer.Stop()
	select {
	case <-u.continueDecided:
	case <-timer.C:
	}
}

// recordError keeps an error of the caller's body, unless the attempt caused it by
// interrupting the read.
func (u *upload) recordError(err error) {
	if errors.Is(err, ErrInterrupted) {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.err = err
}

// Close does nothing, since the caller of Send owns the body.
func (u *upload) Close() error { return nil }
