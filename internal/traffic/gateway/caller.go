package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"chestnutbay.dev/chestnutbay/internal/traffic/message"
)

// bodyFailure returns the failure for an error while the caller's request body is
// read. outcome says what became of the request so far.
func bodyFailure(err error, outcome Outcome) *Failure {
	f := badRequest(http.StatusBadRequest, "the request's body broke off")
	var framing *message.FramingError
	var timeout net.Error
	switch {
	case errors.As(err, &framing):
		f.Reason = framing.Reason()
	case errors.As(err, &timeout) && timeout.Timeout():
		f.Status, f.Reason = http.StatusRequestTimeout, "the request's body made no progress"
	case errors.Is(err, context.Canceled), errors.Is(err, io.ErrUnexpectedEOF):
		f = callerDisconnected()
	}
	f.Outcome = outcome
	return f
}
