package cli

import (
	"fmt"
	"os"
	"strings"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
)

type withdrawKeyCommand struct {
	connection
	output
	identity
	Hash    string `help:"SHA-256 of the key, as it stands in the contract." placeholder:"HEX" xor:"key" required:""`
	KeyFile string `help:"File that holds the key itself. The key is hashed here and not sent." placeholder:"FILE" xor:"key" required:""`
}

// Help returns the detailed help text of the subcommand.
func (withdrawKeyCommand) Help() string {
	return `Withdraws a key for good. Within seconds no node accepts it any more, also on
connections that are open. No contract can bring it back, whether it was
published before or after. The change never loses a race with another one.

Example:
  chestnutbay withdraw-key --hash 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08`
}

// Run withdraws the key.
func (c withdrawKeyCommand) Run(a *app) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	hash, err := c.hash()
	if err != nil {
		return usageError{err}
	}
	id := c.changeID()
	accepted, err := client.WithdrawKey(a.ctx, id, hash)
	return a.printChange(c.output, id, accepted, err)
}

func (c withdrawKeyCommand) hash() (contract.KeyHash, error) {
	if c.KeyFile == "" {
		return contract.ParseKeyHash(c.Hash)
	}
	text, err := os.ReadFile(c.KeyFile)
	if err != nil {
		return contract.KeyHash{}, err
	}
	key := strings.TrimSpace(string(text))
	if key == "" {
		return contract.KeyHash{}, fmt.Errorf("%s is empty", c.KeyFile)
	}
	return contract.HashKey(key), nil
}
