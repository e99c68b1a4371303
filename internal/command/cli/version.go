package cli

import "fmt"

type versionCommand struct{}

// Help returns the detailed help text of the subcommand.
func (versionCommand) Help() string {
	return `Prints the version of this program.`
}

// Run prints the version of the program.
func (versionCommand) Run(a *app) error {
	fmt.Fprintln(a.Stdout, "chestnutbay", a.Version)
	return nil
}
