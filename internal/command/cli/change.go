package cli

import (
	"errors"
	"fmt"
	"strings"

	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/operator/office"
)

// identity is the flag of the subcommands that submit a change.
type identity struct {
	ID string `help:"Identity of the change. After exit status 4, give the printed one, so that the change counts once." placeholder:"ID"`
}

// changeID returns the given ID or a new one. The client chooses the ID, so that it
// is known even when the response is lost.
func (i identity) changeID() string {
	if i.ID == "" {
		return ledger.NewID()
	}
	return i.ID
}

// printChange prints the result of a change. It returns err if the change failed.
func (a *app) printChange(o output, id string, accepted office.AcceptedChange, err error) error {
	if err != nil {
		return a.printChangeError(o, id, err)
	}
	if o.json() {
		return a.printJSON(accepted)
	}
	r := accepted.Receipt()
	fmt.Fprintf(a.Stdout, "accepted: %s is at version %d (change %s)\n", accepted.Subject(), r.Version(), accepted.ID())
	fmt.Fprintf(a.Stdout, "confirmed by nodes: %d\n", len(r.Confirmed()))
	if len(r.Missing()) > 0 {
		fmt.Fprintf(a.Stdout, "not confirmed by: %s\n", strings.Join(r.Missing(), ", "))
	}
	return nil
}

// changeError is the JSON output for a change that was not accepted or whose
// outcome is unknown.
type changeError struct {
	ID      string `json:"id"`
	Error   string `json:"error"`
	Status  int    `json:"exit_status"`
	Current *int64 `json:"current,omitempty"`
}

// printChangeError returns err after it has printed what the operator can do next
// and, for JSON output, the error itself.
func (a *app) printChangeError(o output, id string, err error) error {
	var failure *office.Failure
	version, conflict := ledger.NoVersion, false
	if errors.As(err, &failure) {
		version, conflict = failure.Current()
	}
	if o.json() {
		r := changeError{ID: id, Error: err.Error(), Status: int(statusOf(err))}
		if conflict {
			current := int64(version)
			r.Current = &current
		}
		if printErr := a.printJSON(r); printErr != nil {
			return printErr
		}
	}
	if conflict {
		fmt.Fprintf(a.Stderr, "version %d is in force; read it before you base a change on it with --base %d\n", version, version)
	}
	if errors.Is(err, office.ErrUnknown) {
		fmt.Fprintf(a.Stderr, "the change may be accepted; run the same command again with --id %s\n", id)
	}
	return err
}
