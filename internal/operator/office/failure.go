package office

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
)

// Errors that Client returns in addition to those of a Publisher.
var (
	// ErrUnauthorized reports that the operator's token is missing or unknown to the
	// node.
	ErrUnauthorized = merry.Sentinel("operator's token is missing or unknown")
	// ErrNotFound reports a document that does not exist.
	ErrNotFound = merry.Sentinel("no such document")
	// ErrUnreachable reports that no node could be reached, or that no node gave a
	// complete response to a read. No change was sent.
	ErrUnreachable = merry.Sentinel("no node could be reached")
)

// failureKind is the name of a kind of failure in responses.
type failureKind string

const (
	kindConflict     failureKind = "conflict"
	kindKeyTaken     failureKind = "key-taken"
	kindInvalid      failureKind = "invalid"
	kindUnknown      failureKind = "unknown"
	kindUnavailable  failureKind = "unavailable"
	kindUnauthorized failureKind = "unauthorized"
	kindNotFound     failureKind = "not-found"
	kindInternal     failureKind = "internal"
)

// failureKinds maps errors to their kind and HTTP status. The first entry that an error
// matches applies, so the most specific errors come first.
var failureKinds = []struct {
	err    error
	kind   failureKind
	status int
}{
	{err: ledger.ErrConflict, kind: kindConflict, status: http.StatusConflict},
	{err: ledger.ErrKeyTaken, kind: kindKeyTaken, status: http.StatusConflict},
	{err: contract.ErrInvalid, kind: kindInvalid, status: http.StatusUnprocessableEntity},
	{err: ledger.ErrInvalid, kind: kindInvalid, status: http.StatusUnprocessableEntity},
	{err: ErrUnknown, kind: kindUnknown, status: http.StatusGatewayTimeout},
	{err: journal.ErrUnknown, kind: kindUnknown, status: http.StatusGatewayTimeout},
	{err: ErrUnavailable, kind: kindUnavailable, status: http.StatusServiceUnavailable},
	{err: journal.ErrUnavailable, kind: kindUnavailable, status: http.StatusServiceUnavailable},
	{err: ErrUnauthorized, kind: kindUnauthorized, status: http.StatusUnauthorized},
	{err: ErrNotFound, kind: kindNotFound, status: http.StatusNotFound},
}

// kindOf returns the kind and the HTTP status of an error.
func kindOf(err error) (failureKind, int) {
	for _, f := range failureKinds {
		if errors.Is(err, f.err) {
			return f.kind, f.status
		}
	}
	return kindInternal, http.StatusInternalServerError
}

// wireFailure is the JSON form of an error in a response.
type wireFailure struct {
	Kind     failureKind   `json:"kind"`
	Message  string        `json:"message"`
	Subject  string        `json:"subject,omitempty"`
	Current  *int64        `json:"current,omitempty"`
	Problems []wireProblem `json:"problems,omitempty"`
	Change   *wireChange   `json:"change,omitempty"`
}

// wireProblem is the JSON form of one problem in a document or a query parameter.
type wireProblem struct {
	Line int    `json:"line,omitempty"`
	Key  string `json:"key,omitempty"`
	Text string `json:"text"`
}

// wireChange names the change that failed.
type wireChange struct {
	ID string `json:"id"`
}

// newWireFailure returns the response for an error and its HTTP status. id is the ID of
// the change that failed, or "".
func newWireFailure(err error, id string) (wireFailure, int) {
	kind, status := kindOf(err)
	f := wireFailure{Kind: kind, Message: err.Error()}
	if id != "" {
		f.Change = &wireChange{ID: id}
	}
	var conflict *ledger.Conflict
	if errors.As(err, &conflict) {
		current := int64(conflict.Current())
		f.Subject, f.Current = conflict.Subject(), &current
	}
	var problems *contract.Problems
	if errors.As(err, &problems) {
		for _, p := range problems.List() {
			f.Problems = append(f.Problems, wireProblem{Line: p.Line(), Key: p.Key(), Text: p.Text()})
		}
	}
	return f, status
}

// Failure is an error that a node returned in its response.
type Failure struct {
	wire wireFailure
}

// Message returns the node's error message.
func (f *Failure) Message() string { return f.wire.Message }

// Current returns the version in force that a change conflicts with. ok is false if the
// failure is not a conflict.
func (f *Failure) Current() (version ledger.Version, ok bool) {
	if f.wire.Current == nil {
		return ledger.NoVersion, false
	}
	return ledger.Version(*f.wire.Current), true
}

// Problems returns the problems that the node found in a document or a query parameter.
func (f *Failure) Problems() []contract.Problem {
	var list []contract.Problem
	for _, p := range f.wire.Problems {
		list = append(list, contract.NewProblem(p.Line, p.Key, p.Text))
	}
	return list
}

// Error returns the kind of the failure and the node's message.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s: %s", f.wire.Kind, strings.TrimSpace(f.wire.Message))
}

// Is makes errors.Is match the errors whose kind the node returned.
func (f *Failure) Is(target error) bool {
	for _, known := range failureKinds {
		if known.kind == f.wire.Kind && target == known.err {
			return true
		}
	}
	return false
}

// writeError writes the response for an error.
func (h *Handler) writeError(w http.ResponseWriter, err error) {
	h.writeChangeError(w, err, "")
}

// writeChangeError writes the response for the failure of the change with an ID.
func (h *Handler) writeChangeError(w http.ResponseWriter, err error, id string) {
	f, status := newWireFailure(err, id)
	writeJSON(w, status, f)
}

// writeJSON writes a response with v as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The status is already sent, so only the client can notice a broken connection.
	_ = json.NewEncoder(w).Encode(v)
}
