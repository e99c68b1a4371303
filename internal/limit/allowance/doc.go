// Package allowance limits client accounts to their fleet-wide rate and burst.
//
// Every account belongs to one of 64 partitions, and the node that holds the
// partition's lease is the account's owner. The owner runs the token bucket and
// lends parts of it, so that most requests are admitted without a call:
//
//   - A grant is a part of the rate, of the bucket's capacity and of its tokens.
//     It is valid for at most 8 s and for at most 3 s beyond the owner's lease.
//   - A loan is a number of tokens for requests that wait at a node. It is valid
//     for at most 1 s and never beyond the owner's lease.
//
// # Why no window has more than rate·w + burst admissions
//
// Let T be all tokens that can still be used: in the owner's bucket, in grants,
// and in messages in transit. Each admission lowers T by one. If T ≤ burst at
// all times and T grows by at most rate per second, a window of length w admits
// at most T(start) + rate·w ≤ burst + rate·w. Both conditions hold because:
//
//  1. Capacity and rate are recorded as lent before they are used. The owner
//     records a grant at the larger of what the node last reported and what was
//     sent since, and its own bucket has the remainder. The sums never exceed
//     the contract.
//  2. Tokens move only into recorded capacity. A loan reserves its own capacity
//     until the node's next report. Tokens come back only with capacity that was
//     reserved for them until that report, so they are never counted twice.
//  3. A node uses the reply to its last report or none. Its next report
//     therefore lists exactly what it can use, and a smaller grant frees
//     capacity only when that report arrives. Reports are numbered; the owner
//     ignores a report that arrives after a later one.
//  4. A grant or loan expires at the node that uses it before it expires at the
//     owner. The node counts from when it sent the request, by the larger of the
//     monotonic and the wall-clock time; the owner counts from its reply, by the
//     monotonic time.
//  5. When a partition gets a new owner, all that is still valid from earlier
//     owners are grants, which last at most 3 s beyond their leases. They came
//     from the lendable part of the contract, 7/8 of what exceeds a fixed
//     amount. For 3 s the new owner counts that part as lent, except for the
//     grants that nodes report and that it records as theirs. Its bucket starts
//     empty. A planned stop releases the lease only when the grants are valid
//     for at most 3 s more and the loans have expired (Drain).
//  6. After a contract change, each node scales its grants by the ratio of the
//     lendable parts as soon as it applies the change. The part that is never
//     lent grows with the contract, so two owners that use different versions
//     stay within the larger one.
//
// The tokens at a node that dies are lost; the owner gets the capacity back when
// the grant expires.
//
// # How grants follow demand
//
// Nodes report their demand with each request. The owner divides the lendable
// rate by water-filling: no node gets much more than its demand, and a shortage
// is taken from the largest demands. The owner issues no grant below
// 1 request/s or 2 tokens, because it would be empty at most requests. A full
// grant wastes the tokens that it earns, so grants are kept slightly below
// demand when the account is near its rate, and the owner covers the difference
// by loans.
//
// A node whose grant is empty asks the owner for tokens and lets the request
// wait for the reply; requests that arrive meanwhile share the next call. If the
// owner does not reply, the node asks it through a third node. After a refusal
// the node refuses further requests without a call until the time that the owner
// gave, at most 100 ms.
//
// # Usage
//
//	limits := allowance.New(allowance.Config{
//		Self: mesh.Self(), Incarnation: incarnation, Leases: table,
//		Caller: mesh, Contracts: ledger, Nodes: nodes, Events: ring, Logger: logger,
//	})
//	limits.Register(mesh)
//	group.Go(func() error { return limits.Run(ctx) })
//	...
//	var refusal *allowance.Refusal
//	if err := limits.Admit(ctx, c); errors.As(err, &refusal) {
//		// 429 with Retry-After: refusal.RetryAfter()
//	}
//
// The lease table must be given the names from Partitions. At a planned stop,
// call Drain while the load balancer still sends requests, and release the
// leases only after it has returned nil.
package allowance
