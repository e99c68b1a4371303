package entry

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/fleet/gossip"
)

const (
	// membersMethod is the call that returns the members that a VM knows, itself
	// included.
	membersMethod = "gossip.members"
	// controlTimeout bounds the life of a connection accepted from another VM and the time
	// to receive the headers of a readiness or metrics request.
	controlTimeout = 2 * time.Second
	// dialTimeout bounds the time to connect to another VM.
	dialTimeout = 150 * time.Millisecond
	// askTimeout bounds the time to get an answer of one other VM that does not wait.
	askTimeout = 400 * time.Millisecond
	// maxControlConns bounds the concurrent connections accepted from other VMs.
	maxControlConns = 64
	// membersTimeout bounds the calls to the store for the list of VMs, which has a page for
	// some hundreds of them.
	membersTimeout = 5 * time.Second
	// registerPeriod is the interval at which a VM reads the store's list of VMs and
	// registers itself again if its entry is missing.
	registerPeriod = time.Minute
	// registerRetry is the delay before the next attempt after a failed one.
	registerRetry = time.Second
)

// errNotLoaded reports a call to a VM that does not know what it is asked for.
var errNotLoaded = merry.Sentinel("entry: this VM holds nothing yet")

// serveControl accepts connections from other VMs and answers their calls until ctx
// ends.
func (v *VM) serveControl(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxControlConns)
	group.Go(func() error {
		<-ctx.Done()
		return v.controlListener.Close()
	})
	for {
		conn, err := v.controlListener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return group.Wait()
		}
		if err != nil {
			v.config.Logger.Warn("connection from another VM could not be accepted", zap.Error(err))
			continue
		}
		group.Go(func() error {
			v.serveConn(ctx, conn)
			return nil
		})
	}
}

// serveConn serves one connection from another VM until it is closed. A connection
// normally carries one call.
func (v *VM) serveConn(ctx context.Context, conn net.Conn) {
	conn.SetDeadline(time.Now().Add(controlTimeout)) //nolint:errcheck // A broken connection fails at its next use.
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.HandlerWithError(
		func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
			return v.handleCall(ctx, r)
		}))
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		rpc.Close()
	}
}

// handleCall handles a call of another VM and returns its result.
func (v *VM) handleCall(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case nextMethod:
		return v.handleNext(r.Params)
	case stateMethod:
		return v.handleState(ctx, r.Params)
	case membersMethod:
		return v.handleMembers()
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + truncate(r.Method)}
}

// handleMembers returns the members that this VM knows, if it has read the list of VMs.
func (v *VM) handleMembers() (any, error) {
	if !v.gossip.Listed() {
		return nil, errNotLoaded
	}
	return v.gossip.Members(), nil
}

// callVM calls a method of the VM at an address and waits for its answer for up to
// timeout.
func callVM(ctx context.Context, address netip.AddrPort, timeout time.Duration, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rpc, err := dialVM(ctx, address)
	if err != nil {
		return err
	}
	defer rpc.Close()
	return rpc.Call(ctx, method, params, result)
}

// dialVM connects to the VM at an address. The connection ends with ctx.
func dialVM(ctx context.Context, address netip.AddrPort) (*jsonrpc2.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), ignoreCalls{}), nil
}

// ignoreCalls ignores calls on a connection that this VM opened.
type ignoreCalls struct{}

// Handle implements jsonrpc2.Handler.
func (ignoreCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// keepRegistered keeps this VM registered in the store until ctx ends and adds the other
// registered VMs to the members of the gossip.
func (v *VM) keepRegistered(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		wait := registerPeriod
		if err := v.checkRegistered(ctx, registered); err != nil {
			v.config.Logger.Warn("VM could not be registered or the list of VMs could not be read", zap.Error(err))
			v.askMembers(ctx)
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

// askMembers gets the members from a seed if this VM could not read the list of VMs from
// the store since its start. Without a list the VM would know neither the fleet's size nor
// whom to report to, and the others would not know of it.
func (v *VM) askMembers(ctx context.Context) {
	if v.gossip.Listed() {
		return
	}
	for _, seed := range v.config.Seeds {
		if seed == v.config.FleetAddress {
			continue
		}
		var list []gossip.Member
		if err := callVM(ctx, seed, askTimeout, membersMethod, nil, &list); err != nil {
			v.config.Logger.Debug("a seed did not return the members", zap.Stringer("address", seed), zap.Error(err))
			continue
		}
		v.gossip.AddMembers(list)
		v.gossip.RequestSend(true) // the others learn of this VM
		v.config.Logger.Info("list of VMs taken from a seed", zap.Stringer("address", seed), zap.Int("listed", len(list)))
		return
	}
}

// checkRegistered registers this VM, reads the list of VMs and adds the listed VMs to
// the members. The VM registers before it reads, so that of two VMs that start at the
// same time at least one finds the other in the list. A VM that has registered before
// does so again only if its entry is missing from the list.
func (v *VM) checkRegistered(ctx context.Context, registered bool) error {
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	self := v.self()
	if !registered {
		if err := v.config.Members.Register(ctx, self); err != nil {
			return err
		}
	}
	list, err := v.config.Members.List(ctx)
	if err != nil {
		return err
	}
	v.gossip.AddMembers(list)
	v.config.Logger.Info("list of VMs read", zap.Int("listed", len(list)), zap.Int("members", v.gossip.Size()))
	if registered && !slices.Contains(list, self) && !v.leaving.Load() {
		return v.config.Members.Register(ctx, self)
	}
	return nil
}

// self returns this VM's entry in the list of VMs.
func (v *VM) self() gossip.Member {
	return gossip.Member{Name: v.config.Name, Zone: v.config.Zone, Address: v.config.FleetAddress}
}

// removeFromList removes a silent VM from the list in the store, if this VM is
// designated to do so. A VM that is removed although it still runs registers itself
// again.
func (v *VM) removeFromList(ctx context.Context, vm string) {
	if !v.gossip.Designated("retire/" + vm) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if err := v.config.Members.Remove(ctx, vm); err != nil {
		v.config.Logger.Warn("silent VM could not be removed from the list", zap.String("other", vm), zap.Error(err))
	}
}

// removeSilentVMs removes the VMs queued in v.silentVMs from the list in the store
// until ctx ends.
func (v *VM) removeSilentVMs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case vm := <-v.silentVMs:
			v.removeFromList(ctx, vm)
		}
	}
}
