package cli

import (
	"bytes"
	"fmt"
	"os"

	"chestnutbay.dev/chestnutbay/internal/base/settings"
	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
)

type publishCommand struct {
	connection
	output
	identity
	Base int64  `help:"Version that the document is based on, as printed by 'show'. Leave it out for a new document." default:"-1" placeholder:"VERSION"`
	File string `arg:"" help:"Contract or service in YAML." placeholder:"FILE"`
}

// Help returns the detailed help text of the subcommand.
func (publishCommand) Help() string {
	return `Publishes a contract or a service. The document is checked here first; nothing
is sent when it has problems (exit status 2).

A change is accepted when it is in the log and a quorum of nodes applies it. The
command then prints the new version and the nodes that have not confirmed yet.

Give the version that you read with --base. When somebody else published in the
meantime, the change is refused (exit status 3) and the newer version is named.
After exit status 4 the outcome is unknown: run the same command again with the
printed --id. It then counts once, whether or not the first attempt arrived.

Examples:
  chestnutbay publish contracts/acme.yaml
  chestnutbay publish --base 17 contracts/acme.yaml`
}

// Run checks the document and publishes it.
func (c publishCommand) Run(a *app) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	text, err := os.ReadFile(c.File)
	if err != nil {
		return usageError{err}
	}
	if _, err := contract.Decode(bytes.NewReader(text)); err != nil {
		for _, p := range problemsOf(err) {
			fmt.Fprintln(a.Stderr, settings.FormatProblem(c.File, p))
		}
		return usageError{errPrinted}
	}
	id := c.changeID()
	accepted, err := client.Publish(a.ctx, id, ledger.Version(c.Base), text)
	return a.printChange(c.output, id, accepted, err)
}
