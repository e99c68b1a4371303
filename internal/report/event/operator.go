package event

import (
	"fmt"
	"strings"
)

// OperatorChange records a change that an operator sent to this node, and its outcome.
type OperatorChange struct {
	// Operator is the operator's name in the settings.
	Operator string
	// ID identifies the change.
	ID string
	// Subject is the document, such as "contract/acme".
	Subject string
	// Outcome is "accepted", or the kind of the failure, such as "conflict".
	Outcome string
	// Version is the document's new version, or -1 if the change was not accepted.
	Version int64
}

// Subjects names the document, the operator, the change and the client account.
func (e OperatorChange) Subjects() []string {
	list := []string{e.Subject, "operator/" + e.Operator, "change/" + e.ID}
	if account, ok := strings.CutPrefix(e.Subject, "contract/"); ok {
		list = append(list, "account/"+account)
	}
	return list
}

// Summary implements Event.
func (e OperatorChange) Summary() string {
	return fmt.Sprintf("operator %s changed %s: %s (change %s, version %d)", e.Operator, e.Subject, e.Outcome, e.ID, e.Version)
}

func (OperatorChange) event() {}
