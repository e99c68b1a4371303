package cli

import (
	"github.com/ansel1/merry/v2"

	"chestnutbay.dev/chestnutbay/internal/trial/load"
)

type loadCommand struct {
	load.Config
	Output string `help:"Form of the output: ${enum}." enum:"text,json" default:"text"`
}

// Help returns the detailed help text of the subcommand.
func (loadCommand) Help() string {
	return `Sends requests through several nodes, reads from the emulated targets what they
ran, and checks both histories:

  complete      no target dropped a part of its record
  at-most-once  no request that is not idempotent ran twice
  not-run       no request ran whose answer said that it did not
  ran           every request with status 200 ran
  own-answer    every answer belongs to its request; every upload arrived whole
  allowance     no account got more than rate * w + burst in any window of w seconds

The exit status is 1 when a check fails. The targets must be "emulate" processes,
and all of them must be named. Times are compared, so callers and targets must
share a clock. Client accounts may also stand in CHESTNUTBAY_LOAD_ACCOUNTS,
separated by commas.

A run is bounded in requests and time. Only loopback addresses get load unless
--allow-remote is given.

Examples:
  chestnutbay load --node 127.0.0.1:8080 --target 127.0.0.1:9101 --account demo:KEY:50:100
  chestnutbay load --node 127.0.0.1:8080 --target 127.0.0.1:9101 --rate 200 --requests 5000 --output json`
}

// Run sends the load and prints the report. It returns an error if a check failed.
func (c loadCommand) Run(a *app) error {
	if err := c.Check(); err != nil {
		return usageError{err}
	}
	r, err := load.Run(a.ctx, c.Config)
	if err != nil {
		return err
	}
	if err := c.write(a, r); err != nil {
		return err
	}
	if len(r.Violations) > 0 {
		return merry.Errorf("load: %d violations", len(r.Violations))
	}
	return nil
}

func (c loadCommand) write(a *app, r *load.Report) error {
	if c.Output == "json" {
		return r.WriteJSON(a.Stdout)
	}
	return r.WriteText(a.Stdout)
}
