package ledger

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
)

// rememberedIDs is how many identities of changes an entry keeps. A change that is
// appended again after this many newer changes of its document is no longer
// recognized as a retry. A strict change then conflicts. A loose change is applied
// again, which can only take something out of service.
const rememberedIDs = 8

// Entry is one document with its version: the unit of snapshots, merges and
// restatements. Exactly one of Contract, Service, Zone and Key is set. An entry
// with a Key is the tombstone of a withdrawn key.
type Entry struct {
	Version Version
	// IDs lists the identities of the newest changes of the document, oldest first.
	IDs      []string
	Contract *contract.Contract
	Service  *contract.Service
	Zone     string
	// OutOfService reports whether Zone is out of service.
	OutOfService bool
	Key          *contract.KeyHash

	// written is when the newest record that holds the entry was appended.
	written time.Time
	// record is the offset of that record.
	record journal.Offset
	// unproven is set if a replay of a log with expired records accepted the
	// document without knowing its earlier state. It lists the base of the first
	// such change (anyBase for a loose change) and all versions since. A
	// restatement confirms or replaces such a document.
	unproven []Version
}

// entryFile is the JSON form of an entry in snapshots and restatements. Written is
// in milliseconds since the Unix epoch.
type entryFile struct {
	Version      Version            `json:"version"`
	IDs          []string           `json:"ids,omitempty"`
	Contract     *contract.Contract `json:"contract,omitempty"`
	Service      *contract.Service  `json:"service,omitempty"`
	Zone         string             `json:"zone,omitempty"`
	OutOfService bool               `json:"out,omitempty"`
	Key          *contract.KeyHash  `json:"key,omitempty"`
	Written      int64              `json:"written,omitempty"`
	Record       journal.Offset     `json:"record,omitempty"`
	Unproven     []Version          `json:"unproven,omitempty"`
}

// MarshalJSON returns the form of an entry in snapshots and restatements.
func (e Entry) MarshalJSON() ([]byte, error) {
	f := entryFile{
		Version: e.Version, IDs: e.IDs, Contract: e.Contract, Service: e.Service, Zone: e.Zone,
		OutOfService: e.OutOfService, Key: e.Key, Record: e.record, Unproven: e.unproven,
	}
	if !e.written.IsZero() {
		f.Written = e.written.UnixMilli()
	}
	return json.Marshal(f)
}

// UnmarshalJSON reads the form of an entry in snapshots and restatements and checks
// it.
func (e *Entry) UnmarshalJSON(data []byte) error {
	var f entryFile
	if err := json.Unmarshal(data, &f); err != nil {
		return err
	}
	*e = Entry{
		Version: f.Version, IDs: f.IDs, Contract: f.Contract, Service: f.Service, Zone: f.Zone,
		OutOfService: f.OutOfService, Key: f.Key, record: f.Record, unproven: f.Unproven,
	}
	if f.Written != 0 {
		e.written = time.UnixMilli(f.Written)
	}
	documents := 0
	for _, set := range []bool{e.Contract != nil, e.Service != nil, e.Zone != "", e.Key != nil} {
		if set {
			documents++
		}
	}
	if documents != 1 || e.Version < 0 {
		return merry.Errorf("entry at version %d holds %d documents: %w", e.Version, documents, ErrInvalid)
	}
	return nil
}

// Subject returns the entry's name, which is unique among documents of all kinds,
// such as "contract/acme". An entry without a document has the subject "".
func (e *Entry) Subject() string {
	switch {
	case e.Contract != nil:
		return contractSubject(e.Contract.Account())
	case e.Service != nil:
		return serviceSubject(e.Service.Name())
	case e.Zone != "":
		return zoneSubject(e.Zone)
	case e.Key != nil:
		return keySubject(*e.Key)
	}
	return ""
}

// Written returns when the newest record that holds the entry was appended.
func (e *Entry) Written() time.Time { return e.written }

// Record returns the offset of the newest record that holds the entry.
func (e *Entry) Record() journal.Offset { return e.record }

// Certified reports whether the entry was set by a strict change and has not been
// restated since. A replay that starts after the record of the change's base can't
// certify the change.
func (e *Entry) Certified() bool {
	return e.record == e.Version && e.Key == nil && !e.OutOfService
}

func (e *Entry) hasID(id string) bool {
	return slices.Contains(e.IDs, id)
}

func contractSubject(account string) string   { return "contract/" + account }
func serviceSubject(service string) string    { return "service/" + service }
func zoneSubject(zone string) string          { return "zone/" + zone }
func keySubject(hash contract.KeyHash) string { return "key/" + hash.String() }

func appendID(previous []string, id string) []string {
	ids := append(slices.Clone(previous), id)
	if len(ids) > rememberedIDs {
		ids = slices.Clone(ids[len(ids)-rememberedIDs:])
	}
	return ids
}
