// Package ledger holds the configuration of the fleet as a deterministic state
// machine. Every node applies the log's records in offset order, so all nodes make
// the same decision on each change.
//
// There are two kinds of changes, as in the SIRC protocol, which orders certified
// and uncertified writes in one total order. A strict change names the version it
// is based on and is certified: it is accepted only if that version is still
// current, so that the first of several concurrent changes wins. A loose change
// (withdrawing a key, taking an availability zone out) is not certified and never
// conflicts: a withdrawn key stays withdrawn whatever contract lists it.
//
// # Usage
//
//	var l ledger.Ledger
//	result := l.Apply(record)
//	c, ok := l.AccountByKey(contract.HashKey(key))
//
// A ledger is safe for concurrent use. The zero value is empty.
package ledger

import (
	"slices"
	"sync"

	"github.com/ansel1/merry/v2"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
)

// Errors of a change.
var (
	// ErrConflict reports a strict change whose base is no longer the current
	// version. The error is a *Conflict.
	ErrConflict = merry.Sentinel("another change came first")
	// ErrInvalid reports a record that is not a valid change.
	ErrInvalid = merry.Sentinel("invalid change")
	// ErrKeyTaken reports a contract that lists another account's key.
	ErrKeyTaken = merry.Sentinel("key belongs to another client account")
)

// Conflict is the error of a strict change whose base is no longer the current
// version.
type Conflict struct {
	subject string
	current Version
}

// Subject returns the name of the document, such as "contract/acme".
func (c *Conflict) Subject() string { return c.subject }

// Current returns the document's version in force.
func (c *Conflict) Current() Version { return c.current }

// Error names the document and its version in force.
func (c *Conflict) Error() string {
	return merry.Errorf("%s is at version %d: %w", c.subject, c.current, ErrConflict).Error()
}

// Is makes errors.Is(err, ErrConflict) true.
func (c *Conflict) Is(target error) bool { return target == ErrConflict }

// Result is the decision on a record.
type Result struct {
	change  Change
	subject string
	version Version
	err     error
}

// Change returns the decoded change, or nil if the record is not a valid change.
func (r Result) Change() Change { return r.change }

// Subject returns the name of the changed document, such as "contract/acme". It is
// "" if the record was skipped.
func (r Result) Subject() string { return r.subject }

// Version returns the document's version after the record, or NoVersion.
func (r Result) Version() Version { return r.version }

// Err returns nil if the change is accepted, also if an earlier record of the same
// change was accepted. Otherwise the error matches ErrConflict, ErrInvalid or
// ErrKeyTaken.
func (r Result) Err() error { return r.err }

// Ledger is the configuration at an offset of the log.
type Ledger struct {
	mu   sync.RWMutex
	next journal.Offset
	// entries holds the documents by subject.
	entries map[string]*Entry
	// keys maps each key to the account whose contract lists it.
	keys map[contract.KeyHash]string
	// floors counts, by service, the contracts that set each floor.
	floors map[string]map[float64]int
	routes routeIndex
	// replayStart is the offset at which a replay of a log with expired records
	// began, or 0 if no such replay is going on.
	replayStart journal.Offset
}

// Next returns the first offset that is not applied yet.
func (l *Ledger) Next() journal.Offset {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.next
}

// Apply applies one record. A record before Next has no effect, and its result has
// no subject.
func (l *Ledger) Apply(r journal.Record) Result {
	c, err := Decode(r.Payload())
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Offset() < l.next {
		return Result{change: c, version: NoVersion}
	}
	l.next = r.Offset() + 1
	if err != nil {
		return Result{version: NoVersion, err: err}
	}
	return l.apply(c, r)
}

// BeginPartialReplay begins a replay of a log with expired records. earliest is the
// first offset that has not expired; the state before it is unknown. Until
// EndPartialReplay, a strict change whose base has expired is accepted if its document
// is unknown. A later restatement confirms or replaces it.
func (l *Ledger) BeginPartialReplay(earliest journal.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if earliest > l.next {
		l.next = earliest
		l.replayStart = earliest
	}
}

// EndPartialReplay ends the replay that BeginPartialReplay began, when it has reached
// the log's tail.
func (l *Ledger) EndPartialReplay() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replayStart = 0
}

// Preview returns the result that a change would have as the next record. If
// known is true, the change need not be appended: it was accepted before, or
// its key is already withdrawn.
func (l *Ledger) Preview(c Change) (result Result, known bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	e, base, strict := proposedEntry(c)
	subject := e.Subject()
	existing := l.entries[subject]
	if existing != nil && (existing.hasID(c.ID()) || e.Key != nil) {
		return Result{change: c, subject: subject, version: existing.Version}, true
	}
	var err error
	if strict {
		err = l.certify(e, base)
	}
	return Result{change: c, subject: subject, version: l.version(subject), err: err}, false
}

// proposedEntry returns the entry that a change sets, the base that it names, and
// whether it is strict.
func proposedEntry(c Change) (e Entry, base Version, strict bool) {
	switch c := c.(type) {
	case PublishContract:
		return Entry{Contract: c.contract}, c.base, true
	case PublishService:
		return Entry{Service: c.service}, c.base, true
	case ZoneIn:
		return Entry{Zone: c.zone}, c.base, true
	case ZoneOut:
		return Entry{Zone: c.zone, OutOfService: true}, NoVersion, false
	case WithdrawKey:
		return Entry{Key: &c.hash}, NoVersion, false
	case Restatement:
		return c.entry, NoVersion, false
	}
	return Entry{}, NoVersion, false
}

func (l *Ledger) apply(c Change, r journal.Record) Result {
	if restated, ok := c.(Restatement); ok {
		return l.restate(restated, r)
	}
	e, base, strict := proposedEntry(c)
	subject := e.Subject()
	existing := l.entries[subject]
	// Withdrawing a key again has no effect: there is one tombstone for each key.
	if existing != nil && (existing.hasID(c.ID()) || e.Key != nil) {
		return Result{change: c, subject: subject, version: existing.Version}
	}
	if strict {
		if err := l.certify(e, base); err != nil {
			return Result{change: c, subject: subject, version: l.version(subject), err: err}
		}
	} else {
		base = anyBase
	}
	e.unproven = l.unprovenVersions(existing, base, r.Offset())
	return l.setEntry(c, e, r)
}

// certify returns nil if a strict change to e, based on base, may be accepted now.
// Otherwise the error matches ErrConflict or ErrKeyTaken.
func (l *Ledger) certify(e Entry, base Version) error {
	subject := e.Subject()
	current := l.version(subject)
	if current != base && !l.baseExpired(subject, base) {
		return &Conflict{subject: subject, current: current}
	}
	if e.Contract != nil {
		return l.checkKeys(e.Contract)
	}
	return nil
}

// baseExpired reports whether a base can't be checked because the replay began after
// the record of the base.
func (l *Ledger) baseExpired(subject string, base Version) bool {
	return l.entries[subject] == nil && base < l.replayStart
}

// anyBase stands in Entry.unproven for the base of a loose change, because a
// loose change names no base.
const anyBase Version = NoVersion - 1

// unprovenVersions returns the value of Entry.unproven after a change. If the
// document's earlier state was unknown, the value lists the base of the first
// change that was accepted without that state, and all versions since;
// otherwise it is nil. A restatement of one of these versions confirms the
// change.
func (l *Ledger) unprovenVersions(existing *Entry, base, version Version) []Version {
	if existing == nil && l.replayStart > 0 {
		return []Version{base, version}
	}
	if existing != nil && existing.unproven != nil {
		return append(slices.Clone(existing.unproven), version)
	}
	return nil
}

// checkKeys refuses a contract that lists a key of another account: the first
// account to list a key owns it.
func (l *Ledger) checkKeys(c *contract.Contract) error {
	for _, k := range c.Keys() {
		if owner, ok := l.keys[k]; ok && owner != c.Account() {
			return merry.Errorf("key %s belongs to %s: %w", k, owner, ErrKeyTaken)
		}
	}
	return nil
}

func (l *Ledger) setEntry(c Change, e Entry, r journal.Record) Result {
	subject := e.Subject()
	e.Version = r.Offset()
	if existing := l.entries[subject]; existing != nil {
		e.IDs = existing.IDs
	}
	e.IDs = appendID(e.IDs, c.ID())
	e.written = r.Appended()
	e.record = r.Offset()
	l.store(subject, &e)
	return Result{change: c, subject: subject, version: e.Version}
}

// restate applies a restatement. A restated entry replaces an unknown, older
// or disproved entry. Otherwise the restatement confirms an unproven entry,
// and, if both have the same version, the entry's record and time become those
// of the restatement.
func (l *Ledger) restate(c Restatement, r journal.Record) Result {
	e := c.entry
	subject := e.Subject()
	if subject == "" || e.Version >= r.Offset() || c.asOf > r.Offset() || e.Version >= c.asOf {
		return Result{change: c, version: NoVersion, err: ErrInvalid}
	}
	e.written, e.record, e.unproven = r.Appended(), r.Offset(), nil
	existing := l.entries[subject]
	switch {
	case existing == nil || existing.Version < e.Version || existing.disproved(&e, c.asOf):
		l.store(subject, &e)
	case existing.Version == e.Version:
		renewed := existing.proven(&e)
		renewed.written, renewed.record = e.written, e.record
		l.entries[subject] = &renewed
	case existing.unproven != nil:
		confirmed := existing.proven(&e)
		l.entries[subject] = &confirmed
	}
	return Result{change: c, subject: subject, version: l.version(subject)}
}

// disproved reports whether a restatement shows that an unproven entry is not the one
// in force. The restated entry was in force on a node that had applied every record
// before the offset asOf.
func (e *Entry) disproved(restated *Entry, asOf journal.Offset) bool {
	switch {
	case e.unproven == nil || e.Version == restated.Version:
		return false
	case e.Version < asOf || e.Key != nil:
		return true
	case e.unproven[0] == anyBase:
		// A loose change that the restating node had not seen is accepted unless it
		// is a retry of a change that the restated entry includes.
		return slices.ContainsFunc(e.IDs, restated.hasID)
	}
	return !slices.Contains(e.unproven, restated.Version)
}

// proven returns a copy of the entry that is no longer unproven. The copy also
// has the identities of earlier changes that the restated entry lists; the
// replay began after the records of those changes.
func (e *Entry) proven(restated *Entry) Entry {
	confirmed := *e
	if e.unproven == nil {
		return confirmed
	}
	confirmed.unproven = nil
	confirmed.IDs = restated.IDs
	firstNew := 0
	if n := len(restated.IDs); n > 0 {
		firstNew = slices.Index(e.IDs, restated.IDs[n-1]) + 1
	}
	for _, id := range e.IDs[firstNew:] {
		if !restated.hasID(id) {
			confirmed.IDs = appendID(confirmed.IDs, id)
		}
	}
	return confirmed
}

func (l *Ledger) store(subject string, e *Entry) {
	if l.entries == nil {
		l.entries = make(map[string]*Entry)
		l.keys = make(map[contract.KeyHash]string)
		l.floors = make(map[string]map[float64]int)
	}
	old := l.entries[subject]
	l.entries[subject] = e
	switch {
	case e.Contract != nil:
		l.unindexContract(old)
		l.indexContract(e.Contract)
	case e.Service != nil:
		if old != nil {
			l.routes.remove(old.Service)
		}
		l.routes.add(e.Service)
	}
}

func (l *Ledger) unindexContract(old *Entry) {
	if old == nil {
		return
	}
	account := old.Contract.Account()
	for _, k := range old.Contract.Keys() {
		// A restatement may have assigned the key to another account already.
		if l.keys[k] == account {
			delete(l.keys, k)
		}
	}
	for _, u := range old.Contract.Services() {
		floors := l.floors[u.Service()]
		floors[u.Floor()]--
		if floors[u.Floor()] == 0 {
			delete(floors, u.Floor())
		}
		if len(floors) == 0 {
			delete(l.floors, u.Service())
		}
	}
}

func (l *Ledger) indexContract(c *contract.Contract) {
	for _, k := range c.Keys() {
		l.keys[k] = c.Account()
	}
	for _, u := range c.Services() {
		floors := l.floors[u.Service()]
		if floors == nil {
			floors = make(map[float64]int)
			l.floors[u.Service()] = floors
		}
		floors[u.Floor()]++
	}
}

func (l *Ledger) version(subject string) Version {
	if e := l.entries[subject]; e != nil {
		return e.Version
	}
	return NoVersion
}

// Entries returns a snapshot of all entries, sorted by subject, and the first
// offset that it does not include.
func (l *Ledger) Entries() ([]Entry, journal.Offset) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	subjects := make([]string, 0, len(l.entries))
	for subject := range l.entries {
		subjects = append(subjects, subject)
	}
	slices.Sort(subjects)
	list := make([]Entry, len(subjects))
	for i, subject := range subjects {
		list[i] = *l.entries[subject]
	}
	return list, l.next
}

// FindEntries returns at most limit entries for which match returns true, in no
// particular order, and the first offset that they don't include. match is called with
// the ledger locked and must not call its methods.
func (l *Ledger) FindEntries(match func(subject string, e *Entry) bool, limit int) ([]Entry, journal.Offset) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var list []Entry
	for subject, e := range l.entries {
		if len(list) == limit {
			break
		}
		if match(subject, e) {
			list = append(list, *e)
		}
	}
	return list, l.next
}

// Merge merges a snapshot that includes all offsets before next. All nodes decide
// alike, so if the snapshot includes more offsets than the ledger, it replaces all
// documents. Otherwise only its tombstones of withdrawn keys are added. Tombstones
// are never removed.
func (l *Ledger) Merge(entries []Entry, next journal.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newer := next > l.next
	if newer {
		l.clear()
		l.next = next
		l.replayStart = 0
	}
	for i := range entries {
		e := entries[i]
		subject := e.Subject()
		if subject == "" || !newer && (e.Key == nil || l.entries[subject] != nil) {
			continue
		}
		l.store(subject, &e)
	}
}

// clear removes all entries except the tombstones of withdrawn keys.
func (l *Ledger) clear() {
	kept := make(map[string]*Entry)
	for subject, e := range l.entries {
		if e.Key != nil {
			kept[subject] = e
		}
	}
	l.entries = kept
	l.keys = make(map[contract.KeyHash]string)
	l.floors = make(map[string]map[float64]int)
	l.routes = routeIndex{}
}
