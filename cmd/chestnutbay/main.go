// Command chestnutbay runs an entry node of the proxy fleet and is the tool of its
// operators. Run "chestnutbay --help" for the subcommands.
package main

import (
	"context"
	"os"
	"runtime/debug"

	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/base/settings"
	"chestnutbay.dev/chestnutbay/internal/command/cli"
	"chestnutbay.dev/chestnutbay/internal/fleet/node"
	"chestnutbay.dev/chestnutbay/platform"

	// These packages register the plug-ins that the program ships.
	_ "chestnutbay.dev/chestnutbay/internal/platform/memorylog"
	_ "chestnutbay.dev/chestnutbay/internal/platform/staticroster"
	_ "chestnutbay.dev/chestnutbay/internal/platform/weblog"
	_ "chestnutbay.dev/chestnutbay/internal/platform/webroster"
)

func main() {
	os.Exit(cli.Main(cli.Environment{
		Arguments: os.Args[1:],
		Run:       run,
		Entry:     platform.Run,
		Version:   version(),
		Stdout:    os.Stdout,
		Stderr:    os.Stderr,
	}))
}

func run(ctx context.Context, s *settings.Settings, logger *zap.Logger) error {
	n, err := node.Open(ctx, s, logger)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// version returns the version of the main module as the build recorded it.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}
