package event

import "fmt"

// LeaseAcquired records that this node acquired a lease.
type LeaseAcquired struct {
	// Name is the lease's name.
	Name string
	// Previous is the ID of the last known holder before, or "".
	Previous string
	// Votes is how many votes this node received, and Quorum how many it needed.
	Votes, Quorum int
}

// Subjects implements Event.
func (e LeaseAcquired) Subjects() []string { return []string{"lease/" + e.Name} }

// Summary implements Event.
func (e LeaseAcquired) Summary() string {
	return fmt.Sprintf("became home of %s with %d promises of %d needed; previous home %q", e.Name, e.Votes, e.Quorum, e.Previous)
}

func (LeaseAcquired) event() {}

// LeaseLost records that this node no longer holds a lease.
type LeaseLost struct {
	// Name is the lease's name.
	Name string
	// Released is true if the node released the lease, and false if the lease expired.
	Released bool
}

// Subjects implements Event.
func (e LeaseLost) Subjects() []string { return []string{"lease/" + e.Name} }

// Summary implements Event.
func (e LeaseLost) Summary() string {
	if e.Released {
		return "released the lease " + e.Name
	}
	return "the lease " + e.Name + " lapsed: too few promises were renewed in time"
}

func (LeaseLost) event() {}
