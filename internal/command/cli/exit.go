package cli

import (
	"errors"

	"github.com/ansel1/merry/v2"

	"chestnutbay.dev/chestnutbay/internal/base/settings"
	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/operator/office"
)

// ExitStatus is the process's exit status.
type ExitStatus int

// Exit statuses.
const (
	// ExitOK means success; a change was accepted.
	ExitOK ExitStatus = 0
	// ExitFailure means a failure that none of the other statuses covers.
	ExitFailure ExitStatus = 1
	// ExitInvalid means wrong usage, settings or documents. Nothing was started or sent.
	ExitInvalid ExitStatus = 2
	// ExitRefused means that the fleet refused the command. Nothing was changed.
	ExitRefused ExitStatus = 3
	// ExitUnknown means that it is unknown whether a change was accepted. The same
	// command can be run again with the same ID.
	ExitUnknown ExitStatus = 4
	// ExitUnreachable means that no node could be reached, or that no node gave a
	// complete response to a read. No change was sent.
	ExitUnreachable ExitStatus = 5
)

// errPrinted marks a failure whose text has already been printed.
var errPrinted = merry.Sentinel("already printed")

// usageError is an error in the arguments or in a file that they name. Its exit
// status is ExitInvalid.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// refusedErrors are the errors of a fleet that refuses a command and would refuse
// the same command again. Their exit status is ExitRefused.
var refusedErrors = []error{
	ledger.ErrConflict,
	ledger.ErrKeyTaken,
	office.ErrUnauthorized,
	office.ErrNotFound,
}

func statusOf(err error) ExitStatus {
	var usage usageError
	var failure *office.Failure
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage), errors.Is(err, settings.ErrInvalid):
		return ExitInvalid
	case errors.Is(err, office.ErrUnknown):
		return ExitUnknown
	case errors.Is(err, office.ErrUnreachable):
		return ExitUnreachable
	case isAny(err, refusedErrors):
		return ExitRefused
	case errors.Is(err, contract.ErrInvalid) && errors.As(err, &failure):
		return ExitRefused
	case errors.Is(err, contract.ErrInvalid):
		return ExitInvalid
	}
	return ExitFailure
}

func isAny(err error, list []error) bool {
	for _, candidate := range list {
		if errors.Is(err, candidate) {
			return true
		}
	}
	return false
}
