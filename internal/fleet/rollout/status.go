package rollout

import (
	"cmp"
	"slices"
	"time"

	"chestnutbay.dev/chestnutbay/internal/fleet/gossip"
)

// Status is what the VMs of the fleet run, as one VM knows it.
type Status struct {
	// VM is the name of the VM that answers. Version, Settings and Since are its own.
	VM       string    `json:"vm"`
	Version  int64     `json:"configuration"`
	Settings string    `json:"settings"`
	Since    time.Time `json:"since"`
	Zones    []Zone    `json:"zones"`
}

// Zone is what the VMs of one availability zone run.
type Zone struct {
	Name string `json:"zone"`
	VMs  int    `json:"vms"`
	// Unknown counts the VMs that have not reported yet, and UnknownVMs names some.
	Unknown    int      `json:"unknown,omitempty"`
	UnknownVMs []string `json:"unknown_vms,omitempty"`
	// Groups lists what the others run, the newest configuration first.
	Groups []Group `json:"groups"`
}

// Group is the VMs of a zone that run the same.
type Group struct {
	Version  int64  `json:"configuration"`
	Settings string `json:"settings"`
	VMs      int    `json:"vms"`
	// Since is when the last of them began to run it.
	Since time.Time `json:"since"`
	// Names names some of the VMs, unless the group is the zone's largest one.
	Names []string `json:"names,omitempty"`
}

// zonesOf groups the members by zone and by what they run.
func zonesOf(members []gossip.Member, known map[string]observed) []Zone {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b gossip.Member) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	var zones []Zone
	for _, m := range members {
		if len(zones) == 0 || zones[len(zones)-1].Name != m.Zone {
			zones = append(zones, Zone{Name: m.Zone})
		}
		o, ok := known[m.Name]
		zones[len(zones)-1].add(m.Name, o, ok)
	}
	for i := range zones {
		zones[i].order()
	}
	return zones
}

// add adds a VM of the zone. ok is false if it is not known what it runs.
func (z *Zone) add(vm string, o observed, ok bool) {
	z.VMs++
	if !ok {
		z.Unknown++
		z.UnknownVMs = appendName(z.UnknownVMs, vm)
		return
	}
	i := slices.IndexFunc(z.Groups, func(g Group) bool {
		return g.Version == o.running.Version && g.Settings == o.running.Settings
	})
	if i < 0 {
		i = len(z.Groups)
		z.Groups = append(z.Groups, Group{Version: o.running.Version, Settings: o.running.Settings})
	}
	g := &z.Groups[i]
	g.VMs++
	g.Names = appendName(g.Names, vm)
	if o.since.After(g.Since) {
		g.Since = o.since
	}
}

// appendName appends a name unless the list is full.
func appendName(list []string, name string) []string {
	if len(list) == maxNames {
		return list
	}
	return append(list, name)
}

// order sorts the groups and drops the names of the largest one.
func (z *Zone) order() {
	slices.SortFunc(z.Groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), cmp.Compare(b.VMs, a.VMs), cmp.Compare(a.Settings, b.Settings))
	})
	largest := -1
	for i, g := range z.Groups {
		if largest < 0 || g.VMs > z.Groups[largest].VMs {
			largest = i
		}
	}
	if largest >= 0 {
		z.Groups[largest].Names = nil
	}
}
