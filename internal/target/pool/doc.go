// Package pool issues permits for the slots of target instances.
//
// A pool is one service in one availability zone. Its owner is the node that
// holds the lease LeaseName(service, zone). Every request needs a permit from
// the owner, so the owner knows how many requests all VMs together have in
// flight in the pool. The owner
//
//   - chooses the least loaded usable instance and queues requests while all
//     slots are in use: client accounts are served in turn, interactive requests
//     go before bulk requests, and bulk requests leave one slot of each instance
//     free;
//   - judges instances with the tests of package evidence, from the outcomes
//     that nodes report when they release permits, and ejects failing instances
//     as far as the floor allows;
//   - limits the load of an instance in cold start with one ramp for all VMs;
//   - issues no permits for leaving instances and for zones taken out of service.
//
// A node asks the owner in its own zone first, and the owners in the other zones
// when that owner has no free slot within a few milliseconds. The node chooses
// the ID of each permit itself, so that it can withdraw a request whose reply was
// lost and the owner can recognize a retried request.
//
// # Takeover
//
// A node that has just acquired the lease of a pool asks all nodes for the
// permits they hold, and issues none until all have replied or a second has
// passed. All instances start cold, with two exceptions: the former owner handed
// over its state before a planned stop, or a quorum of nodes replied and two of
// them recently got good responses from the same process of an instance under
// full load, with no reason since then to doubt that it is warm.
//
// # Without an owner
//
// The owner assigns every slot of a warm instance to one node, as the node's
// static slot, and sends the assignment with its replies. A node that has had no
// reply from the owner for 4 s uses its static slots for interactive requests. An
// owner that is still running reserves the slots of silent nodes one second
// earlier, so that both together never use more than the available slots.
//
// # Floor
//
// PlanFloor divides the instances that must stay in use among the zones. An owner
// ejects instances only down to its zone's share, and only while its own healthy
// instances and those reported by the other zones' owners add up to the floor. A
// zone whose owner is unreachable counts as zero, because its instances may be in
// cold start.
//
// # Usage
//
//	pools := pool.New(pool.Config{Self: id, Zone: zone, Leases: table, Caller: mesh, Configuration: ledger})
//	pools.Register(mesh)
//	group.Go(func() error { return pools.Run(ctx) })
//
//	permit, err := pools.Acquire(ctx, pool.Request{Service: "orders", Route: "lookup", Account: "acme"})
//	if errors.Is(err, pool.ErrRefused) {
//		return err // nothing was sent
//	}
//	outcome := send(permit.Address())
//	permit.Done(outcome)
//
// Before a planned stop, call Drain: it saves the state of the owned pools for
// the next owners and reports the outstanding outcomes. Release the leases
// afterwards.
package pool
