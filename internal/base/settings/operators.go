package settings

import (
	"fmt"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
)

// Operators holds the credentials of those who may use the operators' API.
type Operators struct {
	credentials []Credential
	file        operatorsFile
}

// Credential is one operator's name and the hash of the operator's token.
type Credential struct {
	name string
	hash contract.KeyHash
}

type operatorsFile struct {
	Credentials []credentialFile `yaml:"credentials" doc:"Operators and the SHA-256 of their tokens. chestnutbay keygen makes both."`
}

type credentialFile struct {
	Name   string `yaml:"name" doc:"Name of the operator, as it stands in events."`
	SHA256 string `yaml:"sha256" doc:"SHA-256 of the operator's token in 64 hexadecimal digits."`
}

// NewCredential returns the credential of an operator whose token has the hash.
func NewCredential(name string, hash contract.KeyHash) Credential {
	return Credential{name: name, hash: hash}
}

func (o *Operators) key() string { return "operators" }

func (*Operators) about() string {
	return "Who may use the operators' API. At least one operator is needed."
}

func (o *Operators) yamlFields() any { return &o.file }

func (o *Operators) load(c *checks) {
	if len(o.file.Credentials) == 0 {
		c.addf("credentials", "must name at least one operator")
	}
	names := make(map[string]bool)
	hashes := make(map[contract.KeyHash]bool)
	for i, f := range o.file.Credentials {
		key := fmt.Sprintf("credentials[%d]", i)
		c.checkName(key+".name", f.Name)
		if names[f.Name] {
			c.addf(key+".name", "%q is listed twice", f.Name)
		}
		names[f.Name] = true
		hash, err := contract.ParseKeyHash(f.SHA256)
		if err != nil {
			c.addf(key+".sha256", "must be the SHA-256 of a token in 64 hexadecimal digits")
			continue
		}
		if hash == contract.HashKey("") {
			c.addf(key+".sha256", "is the hash of an empty token")
		}
		if hashes[hash] {
			c.addf(key+".sha256", "is listed twice")
		}
		hashes[hash] = true
		o.credentials = append(o.credentials, Credential{name: f.Name, hash: hash})
	}
}

// Credentials returns the operators and the hashes of their tokens.
func (o Operators) Credentials() []Credential { return o.credentials }

// Name returns the operator's name.
func (c Credential) Name() string { return c.name }

// Hash returns the SHA-256 of the operator's token.
func (c Credential) Hash() contract.KeyHash { return c.hash }
