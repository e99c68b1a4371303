// Package settings reads a node's settings from one YAML file. Each section has
// its defaults and checks in a source file of its own. All problems of the settings
// are reported at once, with file, line and key.
//
// # Usage
//
//	s, err := settings.Load("node.yaml")
//	if err != nil {
//		fmt.Fprintln(os.Stderr, err) // node.yaml:7: fleet.vms: must be ...
//		os.Exit(2)
//	}
//	listener, err := net.Listen("tcp", s.Listen().Callers().String())
//
// Settings are immutable once loaded. Unknown keys are errors, so that a misspelt
// key is noticed and the default does not apply silently in its place.
package settings

import (
	"errors"
	"io"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"
	"go.yaml.in/yaml/v3"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
)

// ErrInvalid reports settings with problems. The error is an *Invalid.
var ErrInvalid = merry.Sentinel("invalid settings")

// Settings holds the values of a settings file.
type Settings struct {
	node      Node
	listen    Listen
	fleet     Fleet
	log       Log
	roster    Plugin
	shutdown  Shutdown
	logging   Logging
	operators Operators
}

// Node returns the node's name and availability zone.
func (s *Settings) Node() Node { return s.node }

// Listen returns the addresses that the node listens on.
func (s *Settings) Listen() Listen { return s.listen }

// Fleet returns the settings that all nodes of the fleet share.
func (s *Settings) Fleet() Fleet { return s.fleet }

// Log returns the plug-in for the platform's log service and its retention.
func (s *Settings) Log() Log { return s.log }

// Roster returns the plug-in for the platform's list of VMs.
func (s *Settings) Roster() Plugin { return s.roster }

// Shutdown returns the times of a planned stop.
func (s *Settings) Shutdown() Shutdown { return s.shutdown }

// Logging returns the format and level of the log lines.
func (s *Settings) Logging() Logging { return s.logging }

// Operators returns the credentials for the operators' API.
func (s *Settings) Operators() Operators { return s.operators }

// Invalid is an error that lists every problem of a settings file.
type Invalid struct {
	file     string
	problems []contract.Problem
}

// File returns the name of the file.
func (e *Invalid) File() string { return e.file }

// List returns the problems.
func (e *Invalid) List() []contract.Problem { return e.problems }

// Error returns one line per problem, as "file:line: key: text".
func (e *Invalid) Error() string {
	lines := make([]string, len(e.problems))
	for i, p := range e.problems {
		lines[i] = FormatProblem(e.file, p)
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is(err, ErrInvalid) true.
func (e *Invalid) Is(target error) bool { return target == ErrInvalid }

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &Invalid{file: path, problems: []contract.Problem{contract.NewProblem(0, "", err.Error())}}
	}
	defer f.Close()
	return Parse(path, f)
}

// Parse reads and checks settings. name is the file name in reported problems.
func Parse(name string, r io.Reader) (*Settings, error) {
	var root yaml.Node
	decoder := yaml.NewDecoder(r)
	err := decoder.Decode(&root)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, &Invalid{file: name, problems: []contract.Problem{syntaxProblem(err)}}
	}
	s := new(Settings)
	c := newChecks(&root)
	c.checkSingleDocument(decoder)
	for _, sec := range s.sections() {
		c.readSection(sec)
	}
	c.checkSections(s.sections())
	if len(c.problems) > 0 {
		return nil, &Invalid{file: name, problems: c.sortedProblems()}
	}
	return s, nil
}

// section reads one section of the file.
type section interface {
	// key returns the section's name in the file.
	key() string
	// about returns the description of the section in the reference.
	about() string
	// yamlFields returns a pointer to the struct that the section is decoded into,
	// filled with the defaults.
	yamlFields() any
	// load sets the section's values from that struct and reports their problems
	// to c.
	load(c *checks)
}

func (s *Settings) sections() []section {
	return []section{
		&s.node,
		&s.listen,
		&s.fleet,
		&s.log,
		&rosterSection{plugin: &s.roster},
		&s.shutdown,
		&s.logging,
		&s.operators,
	}
}
