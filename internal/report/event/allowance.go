package event

import "fmt"

// LimitsMoved records that this node became the owner of a partition of client
// accounts: it grants parts of their rates to the other nodes.
type LimitsMoved struct {
	// Partition is the name of the partition's lease.
	Partition string
	// Home is the ID of the new owner.
	Home string
}

// Subjects implements Event.
func (e LimitsMoved) Subjects() []string {
	return []string{"lease/" + e.Partition, "node/" + e.Home}
}

// Summary implements Event.
func (e LimitsMoved) Summary() string {
	return fmt.Sprintf("%s is home of %s; buckets start empty and grants of the previous home count until they lapse", e.Home, e.Partition)
}

func (LimitsMoved) event() {}

// GrantChanged records that the owner of an account changed a node's grant: the part of
// the account's rate and burst that the node may use.
type GrantChanged struct {
	// Account is the client account, and Node the ID of the node that holds the grant.
	Account, Node string
	// Demand is the account's demand that the node reported, in requests per second.
	Demand float64
	// Rate, in requests per second, and Burst, in requests, are the new grant.
	Rate, Burst float64
	// PreviousRate and PreviousBurst are the grant before the change.
	PreviousRate, PreviousBurst float64
}

// Subjects implements Event.
func (e GrantChanged) Subjects() []string {
	return []string{"account/" + e.Account, "node/" + e.Node}
}

// Summary implements Event.
func (e GrantChanged) Summary() string {
	return fmt.Sprintf("%s may admit %.1f/s with burst %.1f for %s (before: %.1f/s, %.1f) at a demand of %.1f/s",
		e.Node, e.Rate, e.Burst, e.Account, e.PreviousRate, e.PreviousBurst, e.Demand)
}

func (GrantChanged) event() {}

// GrantLapsed records that a grant of this node expired because no owner renewed it.
type GrantLapsed struct {
	// Account is the client account of the grant.
	Account string
	// Tokens is the number of unused tokens that expired with the grant.
	Tokens float64
}

// Subjects implements Event.
func (e GrantLapsed) Subjects() []string { return []string{"account/" + e.Account} }

// Summary implements Event.
func (e GrantLapsed) Summary() string {
	return fmt.Sprintf("the grant for %s lapsed with %.1f tokens: no home renewed it in time", e.Account, e.Tokens)
}

func (GrantLapsed) event() {}
