package cli

import "fmt"

type zoneOutCommand struct {
	connection
	output
	identity
	Zone string `arg:"" help:"Availability zone."`
}

// Help returns the detailed help text of the subcommand.
func (zoneOutCommand) Help() string {
	return `Takes an availability zone out: its targets get no new work after 5 s, and
requests in flight finish. The change never loses a race with another one. The
command prints the version to return the zone with.

Example:
  chestnutbay zone out north`
}

// Run takes the zone out of service and prints the command that returns it.
func (c zoneOutCommand) Run(a *app) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	id := c.changeID()
	accepted, err := client.ZoneOut(a.ctx, id, c.Zone)
	if err := a.printChange(c.output, id, accepted, err); err != nil {
		return err
	}
	if !c.json() {
		fmt.Fprintf(a.Stdout, "to return it: chestnutbay zone in %s --base %d\n", c.Zone, accepted.Receipt().Version())
	}
	return nil
}
