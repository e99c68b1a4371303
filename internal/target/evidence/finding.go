package evidence

import "time"

// Finding is a conclusion from outcomes: a Failing, a PathBroken, a PathWorks or a
// PossibleRestart.
type Finding interface {
	finding()
}

// Failing means that an instance fails more often on a route than its peers, the other
// instances of the service.
type Failing struct {
	// Instance is the address of the failing instance; Route is the name of the route
	// on which it fails.
	Instance, Route string
	// Window counts the instance's outcomes on the route since the first bad one.
	Window Tally
	// Peers counts the peers' outcomes on the route in the same time.
	Peers Tally
	// Users is how many VMs used the instance recently, VMs how many reported bad
	// outcomes.
	VMs, Users int
	// Since is the time of the first bad outcome.
	Since time.Time
}

// PathBroken means that one VM cannot reach an instance that other VMs reach.
type PathBroken struct {
	VM, Instance string
	// Window counts the VM's outcomes at the instance since its first failure.
	Window Tally
	// Others counts the other VMs that used the instance in the same time. Bad is
	// the number of those that have not reached it since, or whose last attempt
	// failed.
	Others Tally
}

// PathWorks means that a VM reaches an instance again after a PathBroken.
type PathWorks struct {
	VM, Instance string
}

// PossibleRestart means that several connections to an instance broke within a short
// time, as they do when its process restarts.
type PossibleRestart struct {
	Instance string
	// Connections is how many connections broke, VMs how many VMs reported it.
	Connections, VMs int
}

func (Failing) finding()         {}
func (PathBroken) finding()      {}
func (PathWorks) finding()       {}
func (PossibleRestart) finding() {}
