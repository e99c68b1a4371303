package cli

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"chestnutbay.dev/chestnutbay/internal/operator/office"
)

// connection holds the flags of the subcommands that send requests to a node.
type connection struct {
	Address   []string `help:"Operators' address (ip:port) of a node. Several are tried in order." env:"CHESTNUTBAY_OPERATORS" placeholder:"IP:PORT"`
	TokenFile string   `help:"File that holds the operator's token. Without it the environment variable CHESTNUTBAY_TOKEN is used." env:"CHESTNUTBAY_TOKEN_FILE" placeholder:"FILE"`
}

// Environment variables for the node's address and the operator's token.
const (
	addressVariable = "CHESTNUTBAY_OPERATORS"
	tokenVariable   = "CHESTNUTBAY_TOKEN"
)

func (c connection) client() (*office.Client, error) {
	if len(c.Address) == 0 {
		return nil, usageError{fmt.Errorf("no node given: use --address or set %s", addressVariable)}
	}
	for _, a := range c.Address {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, usageError{fmt.Errorf("--address must be an IP number and port, is %q", a)}
		}
	}
	token := os.Getenv(tokenVariable)
	if c.TokenFile != "" {
		text, err := os.ReadFile(c.TokenFile)
		if err != nil {
			return nil, usageError{err}
		}
		token = string(text)
	}
	token = strings.TrimSpace(token)
	if token == "" {
		return nil, usageError{fmt.Errorf("no operator's token: give --token-file or set %s", tokenVariable)}
	}
	return office.NewClient(c.Address, token), nil
}

// output is the flag of the subcommands that print text or JSON.
type output struct {
	Output string `help:"Form of the output: ${enum}." enum:"text,json" default:"text"`
}

func (o output) json() bool { return o.Output == "json" }

func (a *app) printJSON(v any) error {
	e := json.NewEncoder(a.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
