package cli

import (
	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/base/settings"
)

type serveCommand struct {
	Settings string `help:"Settings of this node." placeholder:"FILE" required:""`
}

// Help returns the detailed help text of the subcommand.
func (serveCommand) Help() string {
	return `Runs an entry node until SIGTERM or SIGINT. All problems of the settings are
printed before anything is started; the exit status is then 2.

The first signal starts a planned stop: the node turns unready, serves what
still arrives during shutdown.lag, closes its listeners and finishes the
requests in flight for at most shutdown.limit. A second signal ends the process
at once and cuts requests off.

Example:
  chestnutbay serve --settings /etc/chestnutbay/node.yaml`
}

// Run runs the node until the process is interrupted.
func (c serveCommand) Run(a *app) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return a.printProblems(err)
	}
	logger := s.Logging().Logger()
	defer logger.Sync() //nolint:errcheck // Standard error may be a terminal, which cannot be synced.
	logger.Info("node starts", zap.String("node", s.Node().ID()), zap.String("zone", s.Node().Zone()), zap.String("version", a.Version))
	if err := a.Run(a.ctx, s, logger); err != nil {
		logger.Error("node failed", zap.Error(err))
		return err
	}
	return nil
}
