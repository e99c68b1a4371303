package cli

import (
	"fmt"
	"io"
	"os"

	"chestnutbay.dev/chestnutbay/internal/report/burn"
)

type reportCommand struct {
	connection
	Output  string `help:"Form of the output: ${enum}." enum:"text,json,html" default:"text"`
	File    string `help:"Write to a file instead of standard output." placeholder:"FILE"`
	Account string `help:"Report one client account only."`
	Limit   int    `help:"Largest number of pairs of account and route that each node reports." default:"${pairs}"`
}

// Help returns the detailed help text of the subcommand.
func (reportCommand) Help() string {
	return `Prints what each client account got over 5 minutes, 1 hour, 6 hours and 3 days,
with the error budget that is left and the alerts. The worst-served account goes
first. The HTML form is one page with plots that needs nothing else.

Examples:
  chestnutbay report
  chestnutbay report --account acme --output json
  chestnutbay report --output html --file report.html`
}

// Run prints the report or writes it to a file.
func (c reportCommand) Run(a *app) error {
	if c.Limit < 1 {
		return usageError{fmt.Errorf("--limit must be at least 1, is %d", c.Limit)}
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	r, err := client.Burn(a.ctx, burn.Query{Account: c.Account, Limit: c.Limit})
	if err != nil {
		return err
	}
	if c.File == "" {
		return c.write(a.Stdout, r)
	}
	f, err := os.Create(c.File)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := c.write(f, r); err != nil {
		return err
	}
	return f.Close()
}

func (c reportCommand) write(w io.Writer, r *burn.Report) error {
	switch c.Output {
	case "json":
		return r.WriteJSON(w)
	case "html":
		return r.WriteHTML(w)
	}
	return r.WriteText(w)
}
