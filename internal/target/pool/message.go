package pool

import (
	"encoding/json"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
)

// Names of the methods that nodes call on each other.
const (
	methodAcquire = "permit.acquire"
	methodRelease = "permit.release"
	methodHeld    = "permit.held"
	methodState   = "permit.state"
	methodRelay   = "permit.relay"
)

// sender is the part of a message that identifies the calling node to an owner and
// states what the node has received from that owner.
type sender struct {
	Node        string `json:"node"`
	Incarnation string `json:"inc"`
	// Stamp is the latest reply stamp that the node received from this owner.
	Stamp int64 `json:"stamp,omitempty"`
	// View is the version of the view that the node holds, or 0 for none.
	View uint64 `json:"view,omitempty"`
	// Renounce is true if the node has dropped its view and uses no static slot.
	Renounce bool `json:"renounce,omitempty"`
	// Static lists the permits that the node holds on its static slots.
	Static []heldPermit `json:"static,omitempty"`
}

// replyHeader is the part that all replies of an owner have in common.
type replyHeader struct {
	// NotOwner is true if the called node does not own the pool. Owner is then the
	// owner that the called node knows of, or "".
	NotOwner bool   `json:"not_home,omitempty"`
	Owner    string `json:"home,omitempty"`
	// Stamp is the owner's clock at the time of the reply, in Unix nanoseconds.
	// The node sends it back with its next message.
	Stamp int64 `json:"stamp,omitempty"`
	// View is set when the node's view is out of date.
	View *view `json:"view,omitempty"`
	// SlotsScarce asks the node to release permits without delay, because few
	// slots are free.
	SlotsScarce bool `json:"tight,omitempty"`
}

// view is the state of a pool that an owner sends to a node in advance, for use
// while no owner is reachable.
type view struct {
	Version uint64 `json:"version"`
	// Usable lists the warm instances that are not ejected.
	Usable []string `json:"usable,omitempty"`
	// Slots lists the static slots that are assigned to the node.
	Slots []staticSlot `json:"slots,omitempty"`
}

// staticSlot is a slot of an instance that is assigned to one node, which may
// use it while no owner is reachable.
type staticSlot struct {
	Address string `json:"address"`
	Slot    int    `json:"slot"`
}

type acquireParams struct {
	sender
	ID      uint64         `json:"id"`
	Service string         `json:"service"`
	Zone    string         `json:"zone"`
	Route   string         `json:"route"`
	Class   contract.Class `json:"class"`
	Account string         `json:"account,omitempty"`
	// WaitMillis is how long the request may wait in the queue, WaitedMillis how
	// long it has waited already.
	WaitMillis   int64    `json:"wait_ms"`
	WaitedMillis int64    `json:"waited_ms,omitempty"`
	Exclude      []string `json:"exclude,omitempty"`
}

type acquireReply struct {
	replyHeader
	Address string `json:"address,omitempty"`
	Warm    bool   `json:"warm,omitempty"`
	Refusal string `json:"refusal,omitempty"`
	// RetryMillis is the estimated time until a slot is free.
	RetryMillis int64 `json:"retry_ms,omitempty"`
	// Final is true if no instance can take the request, however long it waits.
	Final bool `json:"final,omitempty"`
	// QueueFull is true if the queue accepts no more requests.
	QueueFull bool `json:"full,omitempty"`
}

func (q acquireParams) key() permitKey {
	return permitKey{node: q.Node, incarnation: q.Incarnation, id: q.ID}
}

type releaseParams struct {
	sender
	Service string   `json:"service"`
	Zone    string   `json:"zone"`
	Done    []result `json:"done,omitempty"`
	// Held lists the IDs of the permits that the node holds. The list is valid
	// only with Reconcile; it is complete then.
	Held      []uint64 `json:"held,omitempty"`
	Reconcile bool     `json:"reconcile,omitempty"`
}

// result reports the outcome of one permit.
type result struct {
	ID      uint64           `json:"id"`
	Address string           `json:"address"`
	Route   string           `json:"route"`
	Outcome evidence.Outcome `json:"outcome"`
}

type releaseReply struct {
	replyHeader
}

// heldPermit is a permit in use, as a node reports it.
type heldPermit struct {
	ID      uint64         `json:"id"`
	Address string         `json:"address"`
	Route   string         `json:"route"`
	Class   contract.Class `json:"class"`
}

type heldParams struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Owner   string `json:"home"`
}

type heldReply struct {
	Incarnation string       `json:"inc"`
	Permits     []heldPermit `json:"permits,omitempty"`
	// Recent lists the node's recent experience with instances.
	Recent []recentInstance `json:"recent,omitempty"`
	// Handover is the state that the node saved as the pool's former owner.
	Handover *handover `json:"former,omitempty"`
}

// recentInstance tells how long ago a node last got a good response from an
// instance under full load, and how long ago it last had a reason to doubt that
// the instance is warm. 0 stands for never.
type recentInstance struct {
	Address string `json:"address"`
	// Started is the listed start time of the process that responded, in Unix
	// nanoseconds.
	Started     int64 `json:"started,omitempty"`
	WarmMillis  int64 `json:"warm_ms,omitempty"`
	DoubtMillis int64 `json:"doubt_ms,omitempty"`
}

// handover is the state of a pool that a former owner passes to the next one.
type handover struct {
	Permits   []handoverPermit   `json:"permits,omitempty"`
	Instances []handoverInstance `json:"instances,omitempty"`
	HoldNanos int64              `json:"hold_ns,omitempty"`
	// AgeMillis is how long ago the former owner last confirmed its lease.
	AgeMillis int64 `json:"age_ms,omitempty"`
}

type handoverPermit struct {
	heldPermit
	Node        string `json:"node"`
	Incarnation string `json:"inc"`
}

type handoverInstance struct {
	Address   string `json:"address"`
	Started   int64  `json:"started,omitempty"`
	State     state  `json:"state"`
	Step      int    `json:"step,omitempty"`
	Ejections int    `json:"ejections,omitempty"`
	// RemainingMillis is the remaining time of the instance's ejection.
	RemainingMillis int64 `json:"back_ms,omitempty"`
}

type stateParams struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// WindowMillis is the period whose recent outcomes are asked for. The
	// value of capacityOnly asks for no outcomes.
	WindowMillis int64 `json:"window_ms"`
}

type stateReply struct {
	NotOwner bool                       `json:"not_home,omitempty"`
	Total    int                        `json:"total"`
	Healthy  int                        `json:"healthy"`
	Routes   map[string]evidence.Record `json:"routes,omitempty"`
}

type relayParams struct {
	Node   string          `json:"node"`
	Method string          `json:"method"`
	Params json.RawMessage `json:"params"`
}
