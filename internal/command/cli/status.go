package cli

import (
	"fmt"
	"strconv"
	"text/tabwriter"
	"time"

	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/operator/office"
)

type statusCommand struct {
	connection
	output
	VM string `help:"Metrics address (ip:port) of an entry VM. Prints what the entry VMs run, instead of the nodes; needs no token." name:"vm" placeholder:"IP:PORT"`
}

// Help returns the detailed help text of the subcommand.
func (statusCommand) Help() string {
	return `Prints the fleet as the first reachable node sees it: whether that node takes new
work, the log, the nodes with the position that each has applied, and the
availability zones with the versions that last took them out or in.

With --vm it prints, as that entry VM knows it, how many VMs of each availability
zone run which configuration and settings, since when, and which of them differ from
most of their zone. The settings are named by a digest of what all machines share.

Examples:
  chestnutbay status --output json
  chestnutbay status --vm 10.1.0.30:9464`
}

// Run prints the state of the fleet.
func (c statusCommand) Run(a *app) error {
	if c.VM != "" {
		return c.runVM(a)
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	s, err := client.Status(a.ctx)
	if err != nil {
		return err
	}
	if c.json() {
		return a.printJSON(s)
	}
	return a.printStatus(s)
}

func (a *app) printStatus(s office.FleetState) error {
	w := tabwriter.NewWriter(a.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "node\t%s in zone %s, software %s\n", s.Node, s.Zone, s.Software)
	fmt.Fprintf(w, "takes new work\t%s\n", orElse(s.Ready, "yes", "no: "))
	fmt.Fprintf(w, "log\t%s\n", orElse(s.Log, "readable", "not readable: "))
	fmt.Fprintf(w, "position\t%d\n", s.Position)
	fmt.Fprintf(w, "declared VMs\t%d, a change needs %d of them\n", s.VMs, s.Quorum)
	fmt.Fprintf(w, "\nNODE\tZONE\tSTATE\tPOSITION\tLAST SEEN\n")
	for _, n := range s.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", n.ID, n.Zone, nodeState(n), n.Position, lastSeen(n.LastSeen))
	}
	if len(s.Zones) > 0 {
		fmt.Fprintf(w, "\nZONE\tSTATE\tVERSION\n")
	}
	for _, z := range s.Zones {
		state := "in"
		if z.Out {
			state = "out"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", z.Zone, state, zoneVersion(z))
	}
	return w.Flush()
}

func zoneVersion(z office.ZoneState) string {
	if z.Version == ledger.NoVersion {
		return "-"
	}
	return strconv.FormatInt(int64(z.Version), 10)
}

// orElse returns okText if reason is empty, and otherwise reason with the prefix.
func orElse(reason, okText, prefix string) string {
	if reason == "" {
		return okText
	}
	return prefix + reason
}

func nodeState(n office.NodeState) string {
	switch {
	case n.Leaving:
		return "leaving"
	case n.Serving:
		return "serving"
	}
	return "not serving"
}

func lastSeen(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return time.Since(t).Round(time.Millisecond).String() + " ago"
}
