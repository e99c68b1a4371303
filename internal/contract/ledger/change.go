package ledger

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"

	"github.com/ansel1/merry/v2"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
)

// Version is the offset of the record that set a document. NoVersion stands
// for a document that does not exist yet.
type Version = journal.Offset

// NoVersion is the base of the first publication of a document.
const NoVersion Version = -1

// Change is the content of a log record: an operator's PublishContract,
// PublishService, ZoneIn, ZoneOut or WithdrawKey, or a Restatement by a node.
type Change interface {
	// ID returns the change's identity. A second record with the same identity
	// has no effect.
	ID() string
	change()
}

// PublishContract sets an account's contract if base is still its version.
type PublishContract struct {
	id       string
	base     Version
	contract *contract.Contract
}

// NewPublishContract returns a strict change with an identity from NewID. base is
// the version that c replaces.
func NewPublishContract(id string, base Version, c *contract.Contract) PublishContract {
	return PublishContract{id: id, base: base, contract: c}
}

// PublishService sets a service if base is still its version.
type PublishService struct {
	id      string
	base    Version
	service *contract.Service
}

// NewPublishService returns a strict change with an identity from NewID. base is
// the version that s replaces.
func NewPublishService(id string, base Version, s *contract.Service) PublishService {
	return PublishService{id: id, base: base, service: s}
}

// ZoneIn returns an availability zone to service if base is still the version
// that took it out.
type ZoneIn struct {
	id   string
	base Version
	zone string
}

// NewZoneIn returns a strict change with an identity from NewID. base is the
// version that took the zone out.
func NewZoneIn(id string, base Version, zone string) ZoneIn {
	return ZoneIn{id: id, base: base, zone: zone}
}

// ZoneOut takes an availability zone out of service. It is never refused because of
// a concurrent change.
type ZoneOut struct {
	id   string
	zone string
}

// NewZoneOut returns a loose change with an identity from NewID.
func NewZoneOut(id, zone string) ZoneOut {
	return ZoneOut{id: id, zone: zone}
}

// WithdrawKey invalidates a key permanently. It is never refused because of a
// concurrent change.
type WithdrawKey struct {
	id   string
	hash contract.KeyHash
}

// NewWithdrawKey returns a loose change with an identity from NewID.
func NewWithdrawKey(id string, hash contract.KeyHash) WithdrawKey {
	return WithdrawKey{id: id, hash: hash}
}

// Restatement appends an entry in force again, before the entry's record expires.
// It keeps the entry's version, so it never replaces a newer version.
type Restatement struct {
	entry Entry
	asOf  journal.Offset
}

// NewRestatement returns a restatement of an entry by a node that has applied
// every record before asOf.
func NewRestatement(e Entry, asOf journal.Offset) Restatement {
	return Restatement{entry: e, asOf: asOf}
}

// ID returns the change's identity.
func (c PublishContract) ID() string { return c.id }

// ID returns the change's identity.
func (c PublishService) ID() string { return c.id }

// ID returns the change's identity.
func (c ZoneIn) ID() string { return c.id }

// ID returns the change's identity.
func (c ZoneOut) ID() string { return c.id }

// ID returns the change's identity.
func (c WithdrawKey) ID() string { return c.id }

// ID returns the identity of the change that is restated.
func (c Restatement) ID() string {
	if n := len(c.entry.IDs); n > 0 {
		return c.entry.IDs[n-1]
	}
	return ""
}

func (PublishContract) change() {}
func (PublishService) change()  {}
func (ZoneIn) change()          {}
func (ZoneOut) change()         {}
func (WithdrawKey) change()     {}
func (Restatement) change()     {}

// idBytes is the number of random bytes in a change's identity.
const idBytes = 12

// NewID returns a new random identity for a change.
func NewID() string {
	b := make([]byte, idBytes)
	rand.Read(b) //nolint:errcheck // crypto/rand.Read never fails.
	return hex.EncodeToString(b)
}

// kind is the type of a change in the log.
type kind string

const (
	kindContract    kind = "contract"
	kindService     kind = "service"
	kindZoneIn      kind = "zone-in"
	kindZoneOut     kind = "zone-out"
	kindWithdrawKey kind = "withdraw-key"
	kindRestatement kind = "restatement"
)

// envelope is the JSON form of a change in the log.
type envelope struct {
	Kind     kind               `json:"kind"`
	ID       string             `json:"id,omitempty"`
	Base     Version            `json:"base,omitempty"`
	Contract *contract.Contract `json:"contract,omitempty"`
	Service  *contract.Service  `json:"service,omitempty"`
	Zone     string             `json:"zone,omitempty"`
	Key      *contract.KeyHash  `json:"key,omitempty"`
	Entry    *Entry             `json:"entry,omitempty"`
	AsOf     journal.Offset     `json:"as_of,omitempty"`
}

// Encode returns the form of a change that is stored in the log.
func Encode(c Change) ([]byte, error) {
	e := envelope{ID: c.ID()}
	switch c := c.(type) {
	case PublishContract:
		e.Kind, e.Base, e.Contract = kindContract, c.base, c.contract
	case PublishService:
		e.Kind, e.Base, e.Service = kindService, c.base, c.service
	case ZoneIn:
		e.Kind, e.Base, e.Zone = kindZoneIn, c.base, c.zone
	case ZoneOut:
		e.Kind, e.Zone = kindZoneOut, c.zone
	case WithdrawKey:
		e.Kind, e.Key = kindWithdrawKey, &c.hash
	case Restatement:
		e.Kind, e.Entry, e.AsOf = kindRestatement, &c.entry, c.asOf
	default:
		return nil, merry.Errorf("ledger.Encode: %T: %w", c, ErrInvalid)
	}
	return json.Marshal(e)
}

// Decode parses the payload of a log record. The error matches ErrInvalid.
func Decode(payload []byte) (Change, error) {
	var e envelope
	if err := json.Unmarshal(payload, &e); err != nil {
		return nil, merry.Errorf("ledger.Decode: %w: %w", ErrInvalid, err)
	}
	if e.ID == "" && e.Kind != kindRestatement {
		return nil, merry.Errorf("ledger.Decode: record of kind %q without an identity: %w", e.Kind, ErrInvalid)
	}
	switch {
	case e.Kind == kindContract && e.Contract != nil:
		return PublishContract{id: e.ID, base: e.Base, contract: e.Contract}, nil
	case e.Kind == kindService && e.Service != nil:
		return PublishService{id: e.ID, base: e.Base, service: e.Service}, nil
	case e.Kind == kindZoneIn && e.Zone != "":
		return ZoneIn{id: e.ID, base: e.Base, zone: e.Zone}, nil
	case e.Kind == kindZoneOut && e.Zone != "":
		return ZoneOut{id: e.ID, zone: e.Zone}, nil
	case e.Kind == kindWithdrawKey && e.Key != nil:
		return WithdrawKey{id: e.ID, hash: *e.Key}, nil
	case e.Kind == kindRestatement && e.Entry != nil:
		return Restatement{entry: *e.Entry, asOf: e.AsOf}, nil
	}
	return nil, merry.Errorf("ledger.Decode: incomplete record of kind %q: %w", e.Kind, ErrInvalid)
}
