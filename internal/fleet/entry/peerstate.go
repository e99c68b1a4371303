package entry

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/fleet/feed"
	"chestnutbay.dev/chestnutbay/internal/fleet/gossip"
)

const (
	// stateMethod is the call that returns a VM's copy of a topic.
	stateMethod = "feed.state"
	// nextMethod is the call that returns how far a VM has read a topic. It is answered at
	// once.
	nextMethod = "feed.next"
	// maxPeersAsked is the maximum number of VMs that are asked in turn for one state.
	maxPeersAsked = 3
	// maxStateWait bounds how long a VM lets a call wait until it has read far enough.
	maxStateWait = 2 * time.Second
	// startWait is how long a VM that starts waits for a seed that has not loaded its state
	// yet.
	startWait = 300 * time.Millisecond
	// freshProof is the age up to which another VM's proof that its state is complete is
	// as good as a read of the store.
	freshProof = 1500 * time.Millisecond
)

var (
	errNoVM   = merry.Sentinel("entry: no other VM answered")
	errBehind = merry.Sentinel("entry: this VM has not read as far")
)

// stateParams are the parameters of a stateMethod call.
type stateParams struct {
	Topic feed.Topic `json:"topic"`
	// From is the offset up to which the asking VM has read the topic.
	From int64 `json:"from"`
	// MinNext is the offset up to which the asked VM must have read. It waits for this
	// for up to Wait, at most maxStateWait. Without a Wait it answers at once.
	MinNext int64         `json:"min_next,omitempty"`
	Wait    time.Duration `json:"wait_ns,omitempty"`
	// Unpacks reports that the asking VM understands State.Packed.
	Unpacks bool `json:"unpacks,omitempty"`
}

// nextParams are the parameters of a nextMethod call.
type nextParams struct {
	Topic feed.Topic `json:"topic"`
}

// nextResult is the result of a nextMethod call.
type nextResult struct {
	Next int64 `json:"next"`
}

// stateResult is the result of a stateMethod call.
type stateResult struct {
	feed.State
	// Packed holds the records in place of State.Records: a CBOR list, compressed.
	Packed []byte `json:"packed,omitempty"`
}

// errParams reports a call with parameters that cannot be used.
var errParams = &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "malformed parameters"}

// decodeParams decodes the parameters of a call into p.
func decodeParams(params *json.RawMessage, p any) error {
	if params == nil || json.Unmarshal(*params, p) != nil {
		return errParams
	}
	return nil
}

// handleNext returns how far this VM has read a topic.
func (v *VM) handleNext(params *json.RawMessage) (any, error) {
	var p nextParams
	if err := decodeParams(params, &p); err != nil {
		return nil, err
	}
	if !p.Topic.Valid() {
		return nil, errParams
	}
	return nextResult{Next: v.feed.Next(p.Topic)}, nil
}

// handleState returns this VM's copy of a topic.
func (v *VM) handleState(ctx context.Context, params *json.RawMessage) (any, error) {
	var p stateParams
	if err := decodeParams(params, &p); err != nil {
		return nil, err
	}
	if !p.Topic.Valid() {
		return nil, errParams
	}
	called := time.Now()
	if p.Wait > 0 {
		ctx, cancel := context.WithTimeout(ctx, min(p.Wait, maxStateWait))
		defer cancel()
		v.feed.AwaitNext(ctx, p.Topic, p.MinNext)
	}
	s, ok := v.feed.Since(p.Topic, p.From)
	s.Waited = time.Since(called)
	switch {
	case !ok:
		return nil, errNotLoaded
	case s.Next < p.MinNext:
		return nil, errBehind
	case !p.Unpacks || recordBytes(s.Records) < packThreshold:
		return stateResult{State: s}, nil
	}
	packed, err := v.packed.pack(p.Topic, p.From, s)
	if err != nil {
		return nil, err
	}
	s.Records = nil
	return stateResult{State: s, Packed: packed}, nil
}

// State asks up to maxPeersAsked other VMs in turn and returns the first state that
// covers the topic up to q.MinNext. A VM that has just started knows no such offset. It
// takes a state that the store confirmed just now, or else the newest state of all that it
// asks, since one of the VMs may be cut off and still hold a key that was withdrawn or an
// instance that has left. It implements feed.Peers.
func (v *VM) State(ctx context.Context, q feed.Query) (feed.State, error) {
	var newest feed.State
	asked := 0
	for _, address := range v.peersToAsk(q) {
		if address == v.config.FleetAddress || asked == maxPeersAsked || ctx.Err() != nil {
			continue
		}
		asked++
		s, err := askState(ctx, address, q)
		if err != nil || s.Next < q.MinNext {
			v.config.Logger.Debug("another VM did not return the needed state", zap.Stringer("address", address), zap.Int64("next", s.Next), zap.Error(err))
			continue
		}
		if q.MinNext > 0 || s.Age > 0 && s.Age < freshProof {
			return s, nil
		}
		if s.Next > newest.Next {
			newest = s
		}
	}
	if newest.Next == 0 {
		return feed.State{}, errNoVM
	}
	return newest, nil
}

// peersToAsk returns the addresses of the VMs to ask for a state, in this order.
func (v *VM) peersToAsk(q feed.Query) []netip.AddrPort {
	switch {
	case q.Spread:
		return v.spreadPeers(q.Topic)
	case q.Start:
		return v.startPeers(q)
	}
	return v.anyPeers(q)
}

// startPeers returns the seeds in random order, and then other VMs. The seeds are the
// first to load their state, since they do not ask each other.
func (v *VM) startPeers(q feed.Query) []netip.AddrPort {
	seeds := slices.Clone(v.config.Seeds)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return append(seeds, v.anyPeers(q)...)
}

// startsFromPeers reports whether this VM asks other VMs for its first state: if there are
// seeds and it is none of them.
func (v *VM) startsFromPeers() bool {
	return len(v.config.Seeds) > 0 && !slices.Contains(v.config.Seeds, v.config.FleetAddress)
}

// spreadPeers returns the addresses of the VMs of the own zone from which this VM gets a
// large record.
func (v *VM) spreadPeers(t feed.Topic) []netip.AddrPort {
	order := v.gossip.ZoneOrder(t.String())
	own := slices.IndexFunc(order, func(m gossip.Member) bool { return m.Name == v.config.Name })
	var list []netip.AddrPort
	for _, rank := range feed.Ancestors(own) {
		list = append(list, order[rank].Address)
	}
	return list
}

// anyPeers returns the addresses of one VM of the own zone, the VM named in the query, the
// other VMs of the own zone, the VMs of other zones, and the seeds. The VMs of a zone are
// in random order, so that not all VMs ask the same one.
func (v *VM) anyPeers(q feed.Query) []netip.AddrPort {
	present := v.gossip.PresentMembers()
	rand.Shuffle(len(present), func(i, j int) { present[i], present[j] = present[j], present[i] })
	var ownZone, named, otherZones []netip.AddrPort
	for _, m := range present {
		switch {
		case m.Name == q.AnnouncedBy:
			named = append(named, m.Address)
		case m.Zone == v.config.Zone:
			ownZone = append(ownZone, m.Address)
		default:
			otherZones = append(otherZones, m.Address)
		}
	}
	head := min(1, len(ownZone))
	return slices.Concat(ownZone[:head], named, ownZone[head:], otherZones, v.config.Seeds)
}

// askState gets the state of a topic from the VM at an address. If the query spreads a
// record, that VM may wait until it has it. A frozen VM accepts connections, so it must show
// that it runs before it is given that time.
func askState(ctx context.Context, address netip.AddrPort, q feed.Query) (feed.State, error) {
	if !q.Spread {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, askTimeout)
		defer cancel()
	}
	rpc, err := dialVM(ctx, address)
	if err != nil {
		return feed.State{}, err
	}
	defer rpc.Close()
	p := stateParams{Topic: q.Topic, From: q.From, MinNext: q.MinNext, Unpacks: true}
	switch {
	case q.Spread:
		if err := awaitAnswer(ctx, rpc, q.Topic); err != nil {
			return feed.State{}, err
		}
		p.Wait = maxStateWait
		if deadline, ok := ctx.Deadline(); ok {
			p.Wait = time.Until(deadline)
		}
	case q.Start:
		p.Wait = startWait
	}
	var result stateResult
	if err := rpc.Call(ctx, stateMethod, p, &result); err != nil {
		return feed.State{}, err
	}
	if len(result.Packed) > 0 {
		records, err := unpackRecords(result.Packed)
		if err != nil {
			return feed.State{}, err
		}
		result.Records = records
	}
	return result.State, nil
}

// awaitAnswer waits for up to askTimeout until the VM at the other end of a connection
// answers a call. An error that the VM returns is an answer.
func awaitAnswer(ctx context.Context, rpc *jsonrpc2.Conn, t feed.Topic) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var result nextResult
	err := rpc.Call(ctx, nextMethod, nextParams{Topic: t}, &result)
	if answer := new(jsonrpc2.Error); errors.As(err, &answer) {
		return nil
	}
	return err
}
