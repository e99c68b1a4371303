package cli

type entryCommand struct{}

// Help returns the detailed help text of the subcommand.
func (entryCommand) Help() string {
	return `Runs an entry VM on the users' platform until SIGTERM or SIGINT. The platform's
settings file stands in the environment variable CHESTNUTBAY_SETTINGS. Log lines
go to standard output, one JSON object a line.

The first signal starts a planned stop: the VM turns unready, serves what still
arrives, closes its listeners and finishes the requests in progress within the
grace period of the settings. A second signal ends the process at once.`
}

// Run runs the entry VM until the process is interrupted.
func (entryCommand) Run(a *app) error { return a.Entry(a.ctx, a.Stdout) }
