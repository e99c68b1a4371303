package cli

import (
	"chestnutbay.dev/chestnutbay/internal/base/settings"
)

type referenceCommand struct{}

// Help returns the detailed help text of the subcommand.
func (referenceCommand) Help() string {
	return `Prints the reference of all settings in Markdown, generated from the program's
types. docs/settings.md holds the same text.`
}

// Run prints the reference of the settings.
func (referenceCommand) Run(a *app) error {
	return settings.WriteReference(a.Stdout)
}
