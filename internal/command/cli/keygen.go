package cli

import (
	"fmt"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
)

type keygenCommand struct {
	output
}

// Help returns the detailed help text of the subcommand.
func (keygenCommand) Help() string {
	return `Makes a random key and its SHA-256. Give the key to the caller and put the hash
into the account's contract. The same works for an operator's token and the
settings (operators.credentials). The key is stored nowhere.

Example:
  chestnutbay keygen --output json`
}

// generatedKey is the JSON output with a new key and its hash.
type generatedKey struct {
	Key    string `json:"key"`
	SHA256 string `json:"sha256"`
}

// Run prints a new key and its hash.
func (c keygenCommand) Run(a *app) error {
	key := contract.NewKey()
	hash := contract.HashKey(key).String()
	if c.json() {
		return a.printJSON(generatedKey{Key: key, SHA256: hash})
	}
	fmt.Fprintf(a.Stdout, "key:    %s\nsha256: %s\n", key, hash)
	return nil
}
