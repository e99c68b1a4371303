package cli

import (
	"os"
	"os/signal"
	"syscall"
)

type entryCommand struct{}

// Help returns the detailed help text of the subcommand.
func (entryCommand) Help() string {
	return `Runs an entry VM on the users' platform until SIGTERM or SIGINT. The platform's
settings file stands in the environment variable CHESTNUTBAY_SETTINGS. Log lines
go to standard output, one JSON object a line.

The first signal starts a planned stop: the VM turns unready, serves what still
arrives, closes its listeners and finishes the requests in progress within the
grace period of the settings. Further signals change nothing: a platform may send
its signal more than once, and ends a process that takes too long with SIGKILL.`
}

// Run runs the entry VM until the process is interrupted.
func (entryCommand) Run(a *app) error {
	// As long as a channel receives the signals, they do not end the process. Nobody reads
	// them from it; the context ends with the first one.
	further := make(chan os.Signal, 1)
	signal.Notify(further, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(further)
	return a.Entry(a.ctx, a.Stdout)
}
