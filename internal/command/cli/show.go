package cli

import (
	"fmt"
	"strings"

	"chestnutbay.dev/chestnutbay/internal/operator/office"
)

type showCommand struct {
	connection
	Subject string `arg:"" optional:"" help:"contract/ACCOUNT or service/NAME. Without it, all documents are listed."`
}

// Help returns the detailed help text of the subcommand.
func (showCommand) Help() string {
	return `Prints a document in force as YAML, with its version in the first line. Edit it
and publish it with that version as --base.

Examples:
  chestnutbay show
  chestnutbay show contract/acme > acme.yaml`
}

// Run prints a document, or the list of all documents.
func (c showCommand) Run(a *app) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if c.Subject == "" {
		return a.list(client)
	}
	d, err := a.document(client, c.Subject)
	if err != nil {
		return err
	}
	fmt.Fprintf(a.Stdout, "# version %d; publish changes with --base %d\n%s", d.Version(), d.Version(), d.Text())
	return nil
}

func (a *app) document(client *office.Client, subject string) (office.Document, error) {
	kind, name, _ := strings.Cut(subject, "/")
	switch {
	case kind == "contract" && name != "":
		return client.Contract(a.ctx, name)
	case kind == "service" && name != "":
		return client.Service(a.ctx, name)
	}
	return office.Document{}, usageError{fmt.Errorf("the subject must be contract/ACCOUNT or service/NAME, is %q", subject)}
}

func (a *app) list(client *office.Client) error {
	contracts, err := client.Contracts(a.ctx)
	if err != nil {
		return err
	}
	services, err := client.Services(a.ctx)
	if err != nil {
		return err
	}
	for _, name := range contracts {
		fmt.Fprintln(a.Stdout, "contract/"+name)
	}
	for _, name := range services {
		fmt.Fprintln(a.Stdout, "service/"+name)
	}
	return nil
}
