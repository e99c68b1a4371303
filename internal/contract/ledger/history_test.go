package ledger_test

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
)

// seed is the default of the flag -rapid.seed, so that every run draws the same
// histories.
const seed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", seed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var epoch = time.UnixMilli(1_800_000_000_000)

func key(i int) contract.KeyHash { return contract.HashKey(fmt.Sprint(i)) }

func account(name string, rate float64, keys ...contract.KeyHash) *contract.Contract {
	return contract.New(name, rate, 10, keys, []contract.ServiceAccess{contract.NewServiceAccess("orders", float64(int(rate)%4)/4)})
}

func service(name string, paths ...string) *contract.Service {
	var routes []contract.Route
	for i, path := range paths {
		routes = append(routes, contract.NewRoute(fmt.Sprintf("r%d", i), path))
	}
	return contract.NewService(name, 2, 400, 0, routes)
}

// history is a log and a ledger that has applied all of its records.
type history struct {
	t       *rapid.T
	now     time.Time
	full    ledger.Ledger
	records []journal.Record
	changes []ledger.Change
	// separateKeys restricts each account to keys that no other account lists.
	separateKeys bool
}

func (h *history) append(c ledger.Change) ledger.Result {
	payload, err := ledger.Encode(c)
	if err != nil {
		h.t.Fatal(err)
	}
	r := journal.NewRecord(journal.Offset(len(h.records)), h.now, payload)
	h.records = append(h.records, r)
	return h.full.Apply(r)
}

// appendRandom appends a random record. Bases may be current or stale, several
// accounts may list the same key, changes may be appended again, and some records
// are not valid changes.
func (h *history) appendRandom() {
	t := h.t
	h.now = h.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
	id := fmt.Sprintf("id%d", len(h.changes))
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
	_, current, _ := h.full.Contract(name)
	_, currentService, _ := h.full.Service("orders")
	_, currentZone := h.full.Zone("north")
	base := func(current ledger.Version) ledger.Version {
		// Bases beyond the current version are not drawn: a publisher refuses them
		// before the append.
		return rapid.SampledFrom([]ledger.Version{current, current, current, ledger.NoVersion, max(ledger.NoVersion, current-1)}).Draw(t, "base")
	}
	keys := rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 2, func(k int) int { return k / 3 }).Draw(t, "keys")
	var hashes []contract.KeyHash
	for _, k := range keys {
		if h.separateKeys {
			k = k/3*3 + int(name[0]-'a')
		}
		hashes = append(hashes, key(k))
	}
	var c ledger.Change
	switch rapid.IntRange(0, 11).Draw(t, "kind") {
	case 0:
		c = ledger.NewWithdrawKey(id, key(rapid.IntRange(0, 5).Draw(t, "key")))
	case 1:
		c = ledger.NewZoneOut(id, "north")
	case 2:
		c = ledger.NewZoneIn(id, base(currentZone), "north")
	case 3:
		c = ledger.NewPublishService(id, base(currentService), service("orders", "/orders", "/"+name))
	case 4:
		if len(h.changes) > 0 {
			c = rapid.SampledFrom(h.changes).Draw(t, "repeated")
			break
		}
		fallthrough
	case 5:
		h.records = append(h.records, journal.NewRecord(journal.Offset(len(h.records)), h.now, []byte("garbage")))
		h.full.Apply(h.records[len(h.records)-1])
		return
	default:
		c = ledger.NewPublishContract(id, base(current), account(name, float64(1+len(h.changes)), hashes...))
	}
	h.changes = append(h.changes, c)
	h.append(c)
}

// restate appends restatements of the entries for which match returns true.
func (h *history) restate(match func(subject string, e *ledger.Entry) bool) {
	due, asOf := h.full.FindEntries(match, 1000)
	for _, e := range due {
		h.append(ledger.NewRestatement(e, asOf))
	}
}

func encodeState(t interface{ Fatal(...any) }, l *ledger.Ledger) (string, journal.Offset) {
	entries, next := l.Entries()
	text, err := json.Marshal(entries)
	if err != nil {
		t.Fatal(err)
	}
	return string(text), next
}

// roundTrip returns a snapshot after a round trip through its JSON form.
func roundTrip(t *rapid.T, l *ledger.Ledger) ([]ledger.Entry, journal.Offset) {
	text, next := encodeState(t, l)
	var entries []ledger.Entry
	if err := json.Unmarshal([]byte(text), &entries); err != nil {
		t.Fatal(err)
	}
	return entries, next
}

func replay(records []journal.Record) *ledger.Ledger {
	l := new(ledger.Ledger)
	for _, r := range records {
		l.Apply(r)
	}
	return l
}

// TestReplayAndSnapshotAgree guards against nodes that decide differently because one
// replayed the log and another merged a snapshot, against merges whose result depends
// on their order, and against indexes that don't match the documents after a merge.
func TestReplayAndSnapshotAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{t: t, now: epoch}
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			h.appendRandom()
			if rapid.IntRange(0, 5).Draw(t, "restate") == 0 {
				h.restate(func(subject string, _ *ledger.Entry) bool { return len(subject)%2 == 0 })
			}
		}
		want, end := encodeState(t, &h.full)
		i := rapid.IntRange(0, len(h.records)).Draw(t, "first cut")
		j := rapid.IntRange(0, len(h.records)).Draw(t, "second cut")
		first, second := replay(h.records[:i]), replay(h.records[:j])
		for _, order := range [][]*ledger.Ledger{{first, second, first}, {second, first}} {
			var l ledger.Ledger
			for _, part := range order {
				l.Merge(roundTrip(t, part))
			}
			got, next := encodeState(t, &l)
			if longest, wantNext := encodeState(t, replay(h.records[:max(i, j)])); got != longest || next != wantNext {
				t.Fatalf("merge of cuts %d and %d:\n%s\nwant\n%s", i, j, got, longest)
			}
			for _, r := range h.records[next:] {
				l.Apply(r)
				l.Apply(r)
			}
			if got, next := encodeState(t, &l); got != want || next != end {
				t.Fatalf("snapshot at %d and replay:\n%s\nwant\n%s", max(i, j), got, want)
			}
			checkIndexes(t, &l)
		}
		checkIndexes(t, &h.full)
	})
}

// checkIndexes compares the indexes of keys, floors and routes with the documents.
func checkIndexes(t *rapid.T, l *ledger.Ledger) {
	floor := 0.0
	for _, c := range l.Contracts() {
		for _, u := range c.Services() {
			floor = max(floor, u.Floor())
		}
	}
	if got := l.Floor("orders"); got != floor {
		t.Fatalf("floor %g, want %g", got, floor)
	}
	s, _, known := l.Service("orders")
	if got, r, ok := l.Route("any", "/orders/7", "GET"); ok != known || ok && (got != s || r.Name() != "r0") {
		t.Fatalf("service known: %v, route to it found: %v", known, ok)
	}
	owners := make(map[contract.KeyHash]string)
	for _, c := range l.Contracts() {
		for _, k := range c.Keys() {
			if other, taken := owners[k]; taken {
				t.Fatalf("key is listed by both %s and %s", other, c.Account())
			}
			owners[k] = c.Account()
		}
	}
	for i := range 6 {
		c, ok := l.AccountByKey(key(i))
		owner, listed := owners[key(i)]
		if want := listed && !l.Withdrawn(key(i)); ok != want || ok && c.Account() != owner {
			t.Fatalf("key %d valid: %v, listed: %v, withdrawn: %v", i, ok, listed, l.Withdrawn(key(i)))
		}
	}
}

// TestShortenedReplay guards against documents that are lost, reverted, or accepted
// although their change had conflicted, when the whole fleet restarts after records
// have expired. Two accounts that list the same key are not tested: a replay that
// begins between their records can't know which account was first.
func TestShortenedReplay(t *testing.T) {
	const retention = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		h := &history{t: t, now: epoch, separateKeys: true}
		due := func(_ string, e *ledger.Entry) bool {
			return e.Certified() || h.now.Sub(e.Written()) > retention/2
		}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			h.appendRandom()
			h.restate(due)
		}
		h.now = h.now.Add(time.Duration(rapid.IntRange(0, int(retention/2/time.Millisecond)).Draw(t, "idle")) * time.Millisecond)
		earliest := 0
		for earliest < len(h.records) && h.now.Sub(h.records[earliest].Appended()) > retention {
			earliest++
		}
		var l ledger.Ledger
		l.BeginPartialReplay(journal.Offset(earliest))
		for _, r := range h.records[earliest:] {
			l.Apply(r)
		}
		l.EndPartialReplay()
		if got, want := formatDocuments(&l), formatDocuments(&h.full); got != want {
			t.Fatalf("replay from %d of %d:\n%s\nwant\n%s", earliest, len(h.records), got, want)
		}
		checkIndexes(t, &l)
	})
}

// TestShortenedDecisions guards against a replay, begun after a document's record
// has expired, that loses an accepted change of the document or keeps one that had
// conflicted.
func TestShortenedDecisions(t *testing.T) {
	publish := func(id string, base ledger.Version, rate float64) ledger.Change {
		return ledger.NewPublishContract(id, base, account("a", rate))
	}
	restate := func(version ledger.Version, rate float64, asOf journal.Offset, ids ...string) ledger.Change {
		return ledger.NewRestatement(ledger.Entry{Version: version, IDs: ids, Contract: account("a", rate)}, asOf)
	}
	tests := []struct {
		name string
		// changes have the offsets from 10 on.
		changes []ledger.Change
		want    string
	}{
		{"change based on an expired record is lost", []ledger.Change{publish("x", 5, 2)}, "contract/a@10 rate 2 out false\n"},
		{"second change based on an expired record wins", []ledger.Change{publish("x", 5, 2), publish("y", 5, 3)}, "contract/a@10 rate 2 out false\n"},
		{"change confirmed by a restatement is replaced", []ledger.Change{publish("x", 5, 2), publish("y", 10, 3), restate(5, 1, 9)}, "contract/a@11 rate 3 out false\n"},
		{"conflicting change is kept", []ledger.Change{publish("x", 3, 2), restate(5, 1, 11)}, "contract/a@5 rate 1 out false\n"},
		{"conflicting change that the restating node had not seen is kept", []ledger.Change{publish("x", 3, 2), restate(5, 1, 10)}, "contract/a@5 rate 1 out false\n"},
		{"accepted change after a conflicting one is lost", []ledger.Change{publish("x", 3, 2), publish("y", 5, 3), restate(11, 3, 12)}, "contract/a@11 rate 3 out false\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, rapid.MakeCheck(func(t *rapid.T) {
			var l ledger.Ledger
			l.BeginPartialReplay(10)
			for i, c := range tt.changes {
				payload, err := ledger.Encode(c)
				if err != nil {
					t.Fatal(err)
				}
				l.Apply(journal.NewRecord(journal.Offset(10+i), epoch, payload))
			}
			l.EndPartialReplay()
			if got := formatDocuments(&l); got != tt.want {
				t.Fatalf("%swant\n%s", got, tt.want)
			}
		}))
	}
}

// formatDocuments formats the documents and their versions. It prints version
// 0 for a zone that is out of service, because a replay that began late may
// give such a zone a later version: it does not know the identities of expired
// records, so it may apply a retry of the change. No change is lost by that.
func formatDocuments(l *ledger.Ledger) string {
	entries, _ := l.Entries()
	var b strings.Builder
	for _, e := range entries {
		rate := 0.0
		if e.Contract != nil {
			rate = e.Contract.Rate()
		}
		if e.OutOfService {
			e.Version = 0
		}
		fmt.Fprintf(&b, "%s@%d rate %g out %v\n", e.Subject(), e.Version, rate, e.OutOfService)
	}
	return b.String()
}

// TestWithdrawnKeyStaysInvalid guards against a withdrawn key that becomes valid again
// through a later change, restatement or snapshot that lists it.
func TestWithdrawnKeyStaysInvalid(t *testing.T) {
	tests := []struct {
		name  string
		after func(h *history, oldContract ledger.Entry)
	}{
		{"newer contract makes the key valid", func(h *history, oldContract ledger.Entry) {
			h.append(ledger.NewPublishContract("new", oldContract.Version, account("a", 2, key(1))))
		}},
		{"late copy of the older contract makes the key valid", func(h *history, oldContract ledger.Entry) {
			h.append(ledger.NewPublishContract("old", ledger.NoVersion, account("a", 1, key(1))))
		}},
		{"restatement of the older contract makes the key valid", func(h *history, oldContract ledger.Entry) {
			h.append(ledger.NewRestatement(oldContract, h.full.Next()))
		}},
		{"restatement by a node that lagged makes the key valid", func(h *history, oldContract ledger.Entry) {
			h.append(ledger.NewRestatement(oldContract, oldContract.Version+1))
		}},
		{"contract of another account makes the key valid", func(h *history, oldContract ledger.Entry) {
			h.append(ledger.NewPublishContract("free", oldContract.Version, account("a", 2)))
			h.append(ledger.NewPublishContract("b", ledger.NoVersion, account("b", 1, key(1))))
		}},
		{"snapshot from before the withdrawal makes the key valid", func(h *history, oldContract ledger.Entry) {
			h.full.Merge([]ledger.Entry{oldContract}, oldContract.Version+1)
		}},
		{"snapshot without the tombstone makes the key valid", func(h *history, oldContract ledger.Entry) {
			h.full.Merge([]ledger.Entry{oldContract}, h.full.Next()+10)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, rapid.MakeCheck(func(t *rapid.T) {
			h := &history{t: t, now: epoch}
			h.append(ledger.NewPublishContract("old", ledger.NoVersion, account("a", 1, key(1))))
			entries, _ := h.full.Entries()
			if _, ok := h.full.AccountByKey(key(1)); !ok {
				t.Fatal("key is not valid before its withdrawal")
			}
			h.append(ledger.NewWithdrawKey("out", key(1)))
			tt.after(h, entries[0])
			if c, ok := h.full.AccountByKey(key(1)); ok {
				t.Fatalf("withdrawn key is valid for %s", c.Account())
			}
			if !h.full.Withdrawn(key(1)) {
				t.Fatal("tombstone of the key was removed")
			}
		}))
	}
}

// TestApplyDecisions guards against changes that are accepted although they conflict
// or list another account's key, against changes that are applied twice, and against
// conflicts that don't name the version in force.
func TestApplyDecisions(t *testing.T) {
	publish := func(id string, base ledger.Version, c *contract.Contract) ledger.Change {
		return ledger.NewPublishContract(id, base, c)
	}
	first := publish("1", ledger.NoVersion, account("a", 1, key(1)))
	restated := ledger.Entry{Version: 0, IDs: []string{"1"}, Contract: account("a", 1, key(1))}
	tests := []struct {
		name    string
		changes []ledger.Change
		version ledger.Version
		err     error
	}{
		{"second publication without a base wins", []ledger.Change{first, publish("2", ledger.NoVersion, account("a", 2))}, 0, ledger.ErrConflict},
		{"publication based on the current version conflicts", []ledger.Change{first, publish("2", 0, account("a", 2))}, 1, nil},
		{"retried change is applied twice", []ledger.Change{first, publish("2", 0, account("a", 2)), first}, 1, nil},
		{"retried change is refused because of its key", []ledger.Change{
			first, publish("2", 0, account("a", 2)), publish("3", ledger.NoVersion, account("b", 1, key(1))), first,
		}, 1, nil},
		{"key of another account is accepted", []ledger.Change{first, publish("2", ledger.NoVersion, account("b", 1, key(1)))}, -1, ledger.ErrKeyTaken},
		{"key that its account no longer lists is refused for another account", []ledger.Change{first, publish("2", 0, account("a", 1)), publish("3", ledger.NoVersion, account("b", 1, key(1)))}, 2, nil},
		{"zone is returned to service based on a stale version", []ledger.Change{ledger.NewZoneOut("1", "n"), ledger.NewZoneOut("2", "n"), ledger.NewZoneIn("3", 0, "n")}, 1, ledger.ErrConflict},
		{"zone out conflicts with a concurrent change", []ledger.Change{ledger.NewZoneOut("1", "n"), ledger.NewZoneIn("2", 0, "n"), ledger.NewZoneOut("3", "n")}, 2, nil},
		{"late copy takes a zone out again", []ledger.Change{ledger.NewZoneOut("1", "n"), ledger.NewZoneIn("2", 0, "n"), ledger.NewZoneOut("1", "n")}, 1, nil},
		{"restatement replaces a newer version", []ledger.Change{first, publish("2", 0, account("a", 2)), ledger.NewRestatement(restated, 1)}, 1, nil},
		{"restatement of a future version is accepted", []ledger.Change{first, ledger.NewRestatement(ledger.Entry{Version: 9, Contract: account("a", 3)}, 1)}, -1, ledger.ErrInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, rapid.MakeCheck(func(t *rapid.T) {
			h := &history{t: t, now: epoch}
			var last ledger.Result
			for _, c := range tt.changes {
				last = h.append(c)
			}
			if !errors.Is(last.Err(), tt.err) || (last.Err() == nil) != (tt.err == nil) || last.Version() != tt.version {
				t.Fatalf("version %d, error %v; want version %d, error %v", last.Version(), last.Err(), tt.version, tt.err)
			}
			var conflict *ledger.Conflict
			if errors.As(last.Err(), &conflict) && conflict.Current() != tt.version {
				t.Fatalf("conflict names version %d", conflict.Current())
			}
		}))
	}
}

// TestDecodeRefuses guards against incomplete or invalid records that are decoded as
// changes.
func TestDecodeRefuses(t *testing.T) {
	tests := []struct {
		name    string
		payload string
	}{
		{"not JSON", "\x00"},
		{"no kind", `{"id":"1"}`},
		{"unknown kind", `{"kind":"magic","id":"1"}`},
		{"no identity", `{"kind":"zone-out","zone":"n"}`},
		{"no document", `{"kind":"contract","id":"1"}`},
		{"contract with problems", `{"kind":"contract","id":"1","contract":{"account":"a","rate":-1,"burst":1}}`},
		{"contract with an unknown key", `{"kind":"contract","id":"1","contract":{"account":"a","rate":1,"burst":1,"x":1}}`},
		{"short key hash", `{"kind":"withdraw-key","id":"1","key":"ab"}`},
		{"restatement of nothing", `{"kind":"restatement","entry":{"version":1},"as_of":2}`},
		{"restatement of two documents", `{"kind":"restatement","entry":{"version":1,"zone":"n","contract":{"account":"a","rate":1,"burst":1}},"as_of":2}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if c, err := ledger.Decode([]byte(tt.payload)); !errors.Is(err, ledger.ErrInvalid) {
				t.Fatalf("decoded %#v, error %v", c, err)
			}
		})
	}
}
