package entry

import (
	"context"
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
	"github.com/sourcegraph/jsonrpc2"

	"chestnutbay.dev/chestnutbay/internal/fleet/feed"
	"chestnutbay.dev/chestnutbay/internal/fleet/gossip"
)

// Receive merges a payload as if another VM had sent it.
func (v *VM) Receive(from gossip.Sender, b []byte) { v.receive(from, b) }

// Compose returns the payloads of the next datagrams.
func (v *VM) Compose() [][]byte { return v.compose() }

// EncodePayload encodes a payload with an announcement.
func EncodePayload(a feed.Announcement) ([]byte, error) {
	return cbor.Marshal(&payload{Announcements: []feed.Announcement{a}})
}

// AddMembers adds VMs to the members of the gossip.
func (v *VM) AddMembers(list []gossip.Member) { v.gossip.AddMembers(list) }

// ZoneOrder returns the VMs of the own zone in the order of their ranks for a topic.
func (v *VM) ZoneOrder(t feed.Topic) []gossip.Member { return v.gossip.ZoneOrder(t.String()) }

// Call calls a method as another VM does.
func (v *VM) Call(ctx context.Context, method string, params []byte) (any, error) {
	raw := json.RawMessage(params)
	return v.handleCall(ctx, &jsonrpc2.Request{Method: method, Params: &raw})
}

// Pack and Unpack encode and decode the records of a state.
var (
	Pack   = packRecords
	Unpack = unpackRecords
)
