package entry

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/fleet/feed"
	"chestnutbay.dev/chestnutbay/internal/fleet/gossip"
)

const (
	// stateMethod asks a VM for all it holds of a topic.
	stateMethod = "feed.state"
	// controlTimeout bounds the time that a connection between VMs may be silent.
	controlTimeout = 2 * time.Second
	// askTimeout bounds the time to get another VM's state.
	askTimeout = 400 * time.Millisecond
	// maxAsked bounds the VMs that are asked one after the other.
	maxAsked = 3
	// maxControlConns bounds the connections of other VMs at a time.
	maxControlConns = 64
	// registerPeriod is how often a VM checks that the store lists it and who else
	// is listed.
	registerPeriod = time.Minute
	// registerRetry is the time between two failed checks.
	registerRetry = time.Second
)

var (
	errNotLoaded = merry.Sentinel("entry: this VM holds nothing yet")
	errNoVM      = merry.Sentinel("entry: no other VM answered")
)

type stateParams struct {
	Topic feed.Topic `json:"topic"`
	// From is the offset up to which the asking VM knows the topic.
	From int64 `json:"from"`
}

// serveControl answers other VMs.
func (v *VM) serveControl(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxControlConns)
	group.Go(func() error {
		<-ctx.Done()
		return v.control.Close()
	})
	for {
		conn, err := v.control.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return group.Wait()
		}
		if err != nil {
			v.config.Logger.Warn("connection of another VM failed", zap.Error(err))
			continue
		}
		group.Go(func() error {
			v.answer(ctx, conn)
			return nil
		})
	}
}

// answer serves one connection of another VM, which carries one call.
func (v *VM) answer(ctx context.Context, conn net.Conn) {
	conn.SetDeadline(time.Now().Add(controlTimeout)) //nolint:errcheck // A broken connection fails at its next use.
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.HandlerWithError(
		func(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) { return v.call(r) }))
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		rpc.Close()
	}
}

func (v *VM) call(r *jsonrpc2.Request) (any, error) {
	if r.Method != stateMethod || r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
	}
	var p stateParams
	if err := json.Unmarshal(*r.Params, &p); err != nil || p.Topic < feed.Configuration || p.Topic > feed.Instances {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "malformed parameters"}
	}
	s, ok := v.feed.Since(p.Topic, p.From)
	if !ok {
		return nil, errNotLoaded
	}
	return s, nil
}

// State asks other VMs for what one of them holds, if it has read far enough.
func (v *VM) State(ctx context.Context, q feed.Query) (feed.State, error) {
	asked := 0
	for _, address := range v.peersToAsk(q) {
		if address == v.config.Fleet || asked == maxAsked {
			continue
		}
		asked++
		s, err := askState(ctx, address, stateParams{Topic: q.Topic, From: q.From})
		if err == nil && s.Next >= q.Least {
			return s, nil
		}
		v.config.Logger.Debug("another VM could not help", zap.Stringer("address", address), zap.Int64("next", s.Next), zap.Error(err))
	}
	return feed.State{}, errNoVM
}

// peersToAsk returns VMs of the own zone in random order, so that not all ask the same
// one. After the first of them come the one named in the query, then the rest of the
// zone and the others, unless only near ones are wanted.
func (v *VM) peersToAsk(q feed.Query) []netip.AddrPort {
	present := v.gossip.Present()
	rand.Shuffle(len(present), func(i, j int) { present[i], present[j] = present[j], present[i] })
	var zone, named, rest []netip.AddrPort
	for _, m := range present {
		switch {
		case m.Zone != v.config.Zone && q.Near:
		case m.Name == q.First:
			named = append(named, m.Address)
		case m.Zone == v.config.Zone:
			zone = append(zone, m.Address)
		default:
			rest = append(rest, m.Address)
		}
	}
	head := min(1, len(zone))
	list := slices.Concat(zone[:head], named, zone[head:], rest)
	if q.Near {
		return list
	}
	return append(list, v.config.Seeds...)
}

func askState(ctx context.Context, address netip.AddrPort, p stateParams) (feed.State, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return feed.State{}, err
	}
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), noCalls{})
	defer rpc.Close()
	var s feed.State
	err = rpc.Call(ctx, stateMethod, p, &s)
	return s, err
}

// noCalls refuses calls on a connection that this VM opened.
type noCalls struct{}

// Handle implements jsonrpc2.Handler.
func (noCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// keepRegistered lists this VM in the store and meets the others there.
func (v *VM) keepRegistered(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		wait := registerPeriod
		if err := v.checkRegistered(ctx, registered); err != nil {
			v.config.Logger.Warn("VM could not be listed", zap.Error(err))
			wait = registerRetry
		} else {
			registered = true
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
}

// checkRegistered lists the VM first and reads the list then, so that of two VMs
// that start at the same time at least one sees the other. A VM that was listed
// before only looks whether it still is.
func (v *VM) checkRegistered(ctx context.Context, registered bool) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	self := gossip.Member{Name: v.config.Name, Zone: v.config.Zone, Address: v.config.Fleet}
	if !registered {
		if err := v.config.Members.Register(ctx, self); err != nil {
			return err
		}
	}
	list, err := v.config.Members.List(ctx)
	if err != nil {
		return err
	}
	v.gossip.MeetAll(list)
	v.config.Logger.Info("list of VMs read", zap.Int("listed", len(list)), zap.Int("members", v.gossip.Size()))
	if registered && !slices.Contains(list, self) && !v.leaving.Load() {
		return v.config.Members.Register(ctx, self)
	}
	return nil
}

// retire removes a silent VM from the list in the store. One that lives lists
// itself again.
func (v *VM) retire(ctx context.Context, vm string) {
	if !v.gossip.Designated("retire/" + vm) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if err := v.config.Members.Remove(ctx, vm); err != nil {
		v.config.Logger.Warn("silent VM could not be removed from the list", zap.String("other", vm), zap.Error(err))
	}
}

// retireSilent removes VMs from the list that were silent for long.
func (v *VM) retireSilent(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case vm := <-v.silent:
			v.retire(ctx, vm)
		}
	}
}
