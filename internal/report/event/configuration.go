package event

import (
	"fmt"
	"strings"
	"time"
)

// ChangeApplied reports a configuration change from the log that this node applied.
type ChangeApplied struct {
	// Document is the changed document, such as "contract/acme".
	Document string
	// ID identifies the change.
	ID string
	// Version is the document's new version.
	Version int64
	// Delay is the time from the append to the log until this node applied the change.
	Delay time.Duration
}

// ChangeRefused reports a configuration change in the log that is not applied, because
// it conflicts with an earlier one or is not valid.
type ChangeRefused struct {
	// Document is the document that the change was for.
	Document string
	// ID identifies the change.
	ID string
	// Offset is the record's position in the log.
	Offset int64
	// Reason says why the change was refused.
	Reason string
}

// RecordSkipped alerts operators to a log record that is not a valid change.
type RecordSkipped struct {
	// Offset is the record's position in the log.
	Offset int64
	// Reason says why the record is not a valid change.
	Reason string
}

// ChangeAccepted reports a change that this node published and a quorum applied.
type ChangeAccepted struct {
	// Document is the changed document.
	Document string
	// ID identifies the change.
	ID string
	// Version is the document's version that holds the change.
	Version int64
	// Confirmed is the number of nodes known to have applied it.
	Confirmed int
	// Missing lists the listed nodes not known to have applied it.
	Missing []string
	// Took is the time from the request to publish the change until it was accepted.
	Took time.Duration
}

// ChangeInForce reports on which nodes an accepted change is in force. The node that
// published the change records this event when all listed nodes have applied the change
// or the wait for them has ended.
type ChangeInForce struct {
	// Document is the changed document.
	Document string
	// ID identifies the change.
	ID string
	// Version is the document's version that holds the change.
	Version int64
	// Missing lists the listed nodes not known to have applied it. It is empty when the
	// change is in force on every listed node.
	Missing []string
	// Took is the time since the change was accepted.
	Took time.Duration
}

// ChangeUnknown reports a published change whose outcome is not known.
type ChangeUnknown struct {
	// Document is the document that the change is for.
	Document string
	// ID identifies the change.
	ID string
	// Reason says why the outcome could not be determined.
	Reason string
}

// FreshnessLost reports that the node stopped accepting new requests, because it has no
// recent evidence that its configuration is up to date.
type FreshnessLost struct {
	// Reason says which evidence is missing.
	Reason string
}

// FreshnessGained reports that the node began to accept new requests.
type FreshnessGained struct {
	// Next is the first offset that the node has not applied.
	Next int64
	// Refused is how long the node accepted no new requests, or 0 at its start.
	Refused time.Duration
}

// NodeStarted reports that a node began to serve, and the condition that allowed it.
type NodeStarted struct {
	// Rule is the condition, such as "replayed the log to its tail".
	Rule string
	// Next is the first offset that the node has not applied.
	Next int64
}

// LogLost reports that reads of the log began to fail.
type LogLost struct {
	// Reason is the error of the first read that failed.
	Reason string
}

// LogFound reports that reads of the log succeed again.
type LogFound struct {
	// Missing is how long the reads failed.
	Missing time.Duration
}

// SnapshotMerged reports that a node merged the configuration of a peer into its own.
type SnapshotMerged struct {
	// Peer is the node that the snapshot came from.
	Peer string
	// Next is the first offset that the snapshot doesn't include.
	Next int64
	// Entries is the number of documents and tombstones.
	Entries int
}

// DocumentRestated reports a document that was appended to the log again before its
// record expires.
type DocumentRestated struct {
	// Document is the restated document.
	Document string
	// Version is its version, which the restatement keeps.
	Version int64
	// Age is the age of the record that held the document before.
	Age time.Duration
}

const subjectConfiguration = "configuration"

// Subjects names the document and the change.
func (e ChangeApplied) Subjects() []string { return documentSubjects(e.Document, e.ID) }

// Subjects names the document and the change.
func (e ChangeRefused) Subjects() []string { return documentSubjects(e.Document, e.ID) }

// Subjects names the configuration.
func (RecordSkipped) Subjects() []string { return []string{subjectConfiguration, "alert"} }

// Subjects names the document and the change.
func (e ChangeAccepted) Subjects() []string { return documentSubjects(e.Document, e.ID) }

// Subjects names the document and the change.
func (e ChangeInForce) Subjects() []string { return documentSubjects(e.Document, e.ID) }

// Subjects names the document and the change.
func (e ChangeUnknown) Subjects() []string { return documentSubjects(e.Document, e.ID) }

// Subjects names the configuration.
func (FreshnessLost) Subjects() []string { return []string{subjectConfiguration} }

// Subjects names the configuration.
func (FreshnessGained) Subjects() []string { return []string{subjectConfiguration} }

// Subjects names the configuration.
func (NodeStarted) Subjects() []string { return []string{subjectConfiguration} }

// Subjects names the configuration and the log.
func (LogLost) Subjects() []string { return []string{subjectConfiguration, "log"} }

// Subjects names the configuration and the log.
func (LogFound) Subjects() []string { return []string{subjectConfiguration, "log"} }

// Subjects names the configuration.
func (SnapshotMerged) Subjects() []string { return []string{subjectConfiguration} }

// Subjects names the document.
func (e DocumentRestated) Subjects() []string { return documentSubjects(e.Document, "") }

// documentSubjects returns the subjects of a change to a document; id may be "". For a
// contract they include the account, as in "account/acme", because operators look for
// events by account.
func documentSubjects(document, id string) []string {
	subjects := []string{subjectConfiguration, document}
	if account, ok := strings.CutPrefix(document, "contract/"); ok {
		subjects = append(subjects, "account/"+account)
	}
	if id != "" {
		subjects = append(subjects, "change/"+id)
	}
	return subjects
}

// Summary implements Event.
func (e ChangeApplied) Summary() string {
	return fmt.Sprintf("change %s set %s to version %d, %s after the append", e.ID, e.Document, e.Version, e.Delay.Round(time.Millisecond))
}

// Summary implements Event.
func (e ChangeRefused) Summary() string {
	return fmt.Sprintf("change %s of %s at offset %d was refused: %s", e.ID, e.Document, e.Offset, e.Reason)
}

// Summary implements Event.
func (e RecordSkipped) Summary() string {
	return fmt.Sprintf("record at offset %d was skipped: %s", e.Offset, e.Reason)
}

// Summary implements Event.
func (e ChangeAccepted) Summary() string {
	text := fmt.Sprintf("change %s of %s at version %d was applied by %d nodes within %s", e.ID, e.Document, e.Version, e.Confirmed, e.Took.Round(time.Millisecond))
	if len(e.Missing) > 0 {
		text += "; not confirmed by " + strings.Join(e.Missing, ", ")
	}
	return text
}

// Summary implements Event.
func (e ChangeInForce) Summary() string {
	text := fmt.Sprintf("change %s of %s at version %d, %s after acceptance: ", e.ID, e.Document, e.Version, e.Took.Round(time.Millisecond))
	if len(e.Missing) > 0 {
		return text + "not confirmed by " + strings.Join(e.Missing, ", ")
	}
	return text + "in force on every listed node"
}

// Summary implements Event.
func (e ChangeUnknown) Summary() string {
	return fmt.Sprintf("outcome of change %s of %s is unknown: %s", e.ID, e.Document, e.Reason)
}

// Summary implements Event.
func (e FreshnessLost) Summary() string {
	return "new work is refused: " + e.Reason
}

// Summary implements Event.
func (e FreshnessGained) Summary() string {
	return fmt.Sprintf("new work is taken at log offset %d after %s without", e.Next, e.Refused.Round(time.Millisecond))
}

// Summary implements Event.
func (e NodeStarted) Summary() string {
	return fmt.Sprintf("node serves from log offset %d: %s", e.Next, e.Rule)
}

// Summary implements Event.
func (e LogLost) Summary() string {
	return "log can't be read: " + e.Reason
}

// Summary implements Event.
func (e LogFound) Summary() string {
	return fmt.Sprintf("log can be read again after %s", e.Missing.Round(time.Millisecond))
}

// Summary implements Event.
func (e SnapshotMerged) Summary() string {
	return fmt.Sprintf("took %d entries up to log offset %d from %s", e.Entries, e.Next, e.Peer)
}

// Summary implements Event.
func (e DocumentRestated) Summary() string {
	return fmt.Sprintf("%s at version %d was appended again; its record was %s old", e.Document, e.Version, e.Age.Round(time.Second))
}

func (ChangeApplied) event()    {}
func (ChangeRefused) event()    {}
func (RecordSkipped) event()    {}
func (ChangeAccepted) event()   {}
func (ChangeInForce) event()    {}
func (ChangeUnknown) event()    {}
func (FreshnessLost) event()    {}
func (FreshnessGained) event()  {}
func (NodeStarted) event()      {}
func (LogLost) event()          {}
func (LogFound) event()         {}
func (SnapshotMerged) event()   {}
func (DocumentRestated) event() {}
