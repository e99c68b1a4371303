package settings

import (
	"bytes"
	"os"
)

// Limits of the fleet.
const (
	// MaxVMs is the largest declared fleet size. It is twice the size that the
	// fleet is designed for.
	MaxVMs = 2200
	// MinSecretBytes is the length of the shortest secret that is accepted.
	MinSecretBytes = 16
)

// Fleet holds the settings that all nodes of the fleet share.
type Fleet struct {
	vms    int
	secret []byte
	file   fleetFile
}

type fleetFile struct {
	VMs        int    `yaml:"vms" doc:"Declared fleet size: the largest number of entry VMs that may run at the same time. All nodes must have the same value, except while it is being changed."`
	Secret     string `yaml:"secret" doc:"Secret that all nodes share, at least 16 bytes. Either this or secret_file."`
	SecretFile string `yaml:"secret_file" doc:"Path of a file that holds the secret. White space at its ends is not part of the secret."`
}

func (f *Fleet) key() string { return "fleet" }

func (*Fleet) about() string {
	return "What all nodes of the fleet share. Exactly one of `secret` and `secret_file` is given."
}

func (f *Fleet) yamlFields() any { return &f.file }

func (f *Fleet) load(c *checks) {
	f.vms = f.file.VMs
	if f.vms < 1 || f.vms > MaxVMs {
		c.addf("vms", "must be from 1 to %d, is %d", MaxVMs, f.vms)
	}
	f.loadSecret(c)
}

func (f *Fleet) loadSecret(c *checks) {
	if f.file.Secret != "" && f.file.SecretFile != "" {
		c.addf("secret_file", "must not be given together with fleet.secret")
		return
	}
	key := "secret"
	f.secret = []byte(f.file.Secret)
	if f.file.SecretFile != "" {
		key = "secret_file"
		text, err := os.ReadFile(f.file.SecretFile)
		if err != nil {
			c.addf(key, "cannot be read: %v", err)
			return
		}
		f.secret = bytes.TrimSpace(text)
	}
	if len(f.secret) < MinSecretBytes {
		c.addf(key, "must be at least %d bytes, is %d", MinSecretBytes, len(f.secret))
	}
}

// VMs returns the declared fleet size.
func (f Fleet) VMs() int { return f.vms }

// Secret returns the secret that all nodes share.
func (f Fleet) Secret() []byte { return f.secret }
