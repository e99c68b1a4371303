package entry_test

import (
	"context"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/fleet/entry"
	"chestnutbay.dev/chestnutbay/internal/fleet/feed"
	"chestnutbay.dev/chestnutbay/internal/fleet/gossip"
)

// emptyStore is a store without records.
type emptyStore struct{}

func (emptyStore) Newest(context.Context, feed.Topic) ([]feed.Record, int64, error) {
	return nil, 0, nil
}

func (emptyStore) Read(_ context.Context, _ feed.Topic, from int64) ([]feed.Record, int64, error) {
	return nil, from, nil
}

// Decode implements feed.Decoder.
func (emptyStore) Decode(_ feed.Topic, r feed.Record) feed.Update {
	return feed.UnreadableRecord{Key: r.Key, Reason: "test"}
}

// Significant implements feed.Decoder.
func (emptyStore) Significant(feed.Topic, []byte, []byte) bool { return true }

// openVM returns a VM that does not run.
func openVM(t testing.TB) *entry.VM {
	t.Helper()
	v, err := entry.Open(entry.Config{
		Name: "vm-1", Zone: "north", CallersAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0",
		FleetAddress: netip.MustParseAddrPort("127.0.0.1:0"), Source: emptyStore{}, Decoder: emptyStore{},
	})
	is.New(t).NoErr(err)
	return v
}

// FuzzReceive guards against a payload of another VM that ends the process.
func FuzzReceive(f *testing.F) {
	v := openVM(f)
	for _, payload := range v.Compose() {
		f.Add(payload)
	}
	announcement, err := entry.EncodePayload(feed.Announcement{
		Topic: feed.Instances, Next: 2, Complete: true, Records: []feed.Record{{Offset: 1, Key: "i-1", Value: []byte("{}")}},
	})
	is.New(f).NoErr(err)
	f.Add(announcement)
	f.Add([]byte("\xa1\x04\x81\xa1\x01\x1b\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		v.Receive(gossip.Sender{Name: "vm-2", Incarnation: 1}, payload)
		v.Receive(gossip.Sender{Name: "vm-2", Incarnation: 1, Baseline: true}, payload)
	})
}

// FuzzCall guards against a call of another VM that ends the process.
func FuzzCall(f *testing.F) {
	v := openVM(f)
	f.Add("feed.state", []byte(`{"topic":0,"from":3,"unpacks":true}`))
	f.Add("feed.state", []byte(`{"topic":1,"from":-1,"min_next":9,"wait_ns":1}`))
	f.Add("feed.next", []byte(`{"topic":1}`))
	f.Add("gossip.members", []byte(`null`))
	f.Add("other", []byte(`[`))
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // a call that may wait until the VM has read further returns at once
	f.Fuzz(func(t *testing.T, method string, params []byte) {
		v.Call(ctx, method, params) //nolint:errcheck // Any error is right.
	})
}

// TestPackedRecords guards against records that change when they are compressed, and
// against compressed bytes that are taken for records though they are cut off.
func TestPackedRecords(t *testing.T) {
	is := is.New(t)
	records := []feed.Record{{Offset: 3, Key: "config", Value: make([]byte, 300_000)}, {Offset: 4, Key: "gone"}}
	packed, err := entry.Pack(records)
	is.NoErr(err)
	is.True(len(packed) < 10_000)
	got, err := entry.Unpack(packed)
	is.NoErr(err)
	is.Equal(got, records)
	_, err = entry.Unpack(packed[:len(packed)/2])
	is.True(err != nil)
}
