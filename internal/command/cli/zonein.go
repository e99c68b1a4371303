package cli

import "chestnutbay.dev/chestnutbay/internal/contract/ledger"

type zoneInCommand struct {
	connection
	output
	identity
	Base int64  `help:"Version that took the zone out, as printed by 'zone out' and 'status'." placeholder:"VERSION" required:""`
	Zone string `arg:"" help:"Availability zone."`
}

// Help returns the detailed help text of the subcommand.
func (zoneInCommand) Help() string {
	return `Returns an availability zone to service. Its targets count as cold and get load
slowly. --base names the version that took the zone out: when somebody took it
out again in the meantime, the change is refused (exit status 3).

Example:
  chestnutbay zone in north --base 17`
}

// Run returns the zone to service.
func (c zoneInCommand) Run(a *app) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	id := c.changeID()
	accepted, err := client.ZoneIn(a.ctx, id, ledger.Version(c.Base), c.Zone)
	return a.printChange(c.output, id, accepted, err)
}
