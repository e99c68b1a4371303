// Package lease decides which node holds a name, without the log and without
// any node that others depend on.
//
// Every node is a voter. A voter gives its vote for a name to one process at a
// time, and the vote lasts for TTL after the voter received the claim. A process
// holds a lease while the votes of a quorum, counted from when it sent the
// claims, are younger than TTL. Two quorums of the declared fleet size share a
// voter, and that voter's vote for one process ends before it votes for another,
// so no two processes hold one lease:
//
//   - The holder counts from the sending and by the larger of the monotonic and
//     the wall-clock time; the voter counts from the receipt and by the
//     monotonic time. The holder's time ends first, even if its VM was paused
//     with a stopped clock. The holder's time is shortened by 1% for clocks that
//     differ in rate.
//   - A voter that has just started does not know the votes of the process
//     before it. It gives no vote until TTL has passed.
//   - A vote ends early only when its process reports that it no longer claims
//     the name. Claims are numbered, so a late message neither renews nor ends a
//     vote, and replies to an older list of claims are not counted.
//
// A node claims a vacant name after a delay that grows with its preference rank.
// A claim that finds no quorum is withdrawn and repeated after a random delay. A
// holder keeps its lease when a node with a better rank joins.
//
// # Usage
//
//	table := lease.New(lease.Config{
//		Self: self, Incarnation: incarnation, Quorum: quorum, Rank: rank,
//	})
//	table.SetNames(names)
//	group.Go(func() error { return table.Run(ctx) })
//
// The heartbeat carries the messages, every 1.5 s and when Urgent receives:
//
//	sent := clock.Now()
//	claims := table.Claims()
//	// to each peer: votes := table.Vote(from, incarnation, claims)
//	table.Count(peer, sent, votes)
//
// A node checks the lease each time before it acts as its holder:
//
//	if remaining, ok := table.Holds("account/07"); ok {
//		// this node holds the lease for at least the remaining time
//	}
package lease
