package settings

import (
	"errors"
	"slices"
	"time"

	"go.yaml.in/yaml/v3"

	"chestnutbay.dev/chestnutbay/internal/base/kernel"
	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
	"chestnutbay.dev/chestnutbay/internal/platform/roster"
)

// Plugin names a plug-in and holds its options, which only the plug-in knows.
type Plugin struct {
	name    string
	options yaml.Node
	file    pluginFile
}

type pluginFile struct {
	Plugin  string    `yaml:"plugin" doc:"Name of the plug-in."`
	Options yaml.Node `yaml:"options" doc:"Options of the plug-in, see [operators.md](operators.md#plug-ins)."`
}

// tryBuild builds a plug-in and returns only the error.
type tryBuild func(name string, decode kernel.Decoder) error

func (p *Plugin) load(c *checks, kind string, try tryBuild) {
	p.name, p.options = p.file.Plugin, p.file.Options
	known := kernel.Names(kind)
	if p.name == "" {
		c.addf("plugin", "must name a plug-in, known are %v", known)
		return
	}
	// A tool that was built without plug-ins can still check the other settings.
	if len(known) == 0 {
		return
	}
	if !slices.Contains(known, p.name) {
		c.addf("plugin", "is unknown, known are %v, is %q", known, p.name)
		return
	}
	p.checkOptions(c, try)
}

// checkOptions builds the plug-in once to find the problems of its options. This
// has no side effects: a factory only reads options, and a plug-in opens nothing
// before its first call.
func (p *Plugin) checkOptions(c *checks, try tryBuild) {
	err := try(p.name, p.Options())
	var problems *contract.Problems
	switch {
	case err == nil:
	case errors.As(err, &problems):
		for _, problem := range problems.List() {
			key := joinKey("options", problem.Key())
			c.problems = append(c.problems, contract.NewProblem(max(problem.Line(), c.line(key)), joinKey(c.prefix, key), withoutGoTypes(problem.Text())))
		}
	default:
		c.addf("options", "%v", err)
	}
}

// Plugin returns the plug-in's name.
func (p Plugin) Plugin() string { return p.name }

// Options returns the decoder of the plug-in's options. Unknown keys are errors
// that match contract.ErrInvalid.
func (p Plugin) Options() kernel.Decoder {
	return func(v any) error {
		if p.options.IsZero() {
			return nil
		}
		return contract.NewProblems(contract.DecodeStrict(&p.options, v))
	}
}

// Default and limit of the log's retention.
const (
	// DefaultRetention is used when the settings do not say how long the log keeps
	// a record. If it is shorter than the real retention, records that are still
	// valid are only appended again more often than necessary.
	DefaultRetention = 24 * time.Hour
	// MaxRetention is the longest retention that can be set, apart from 0 for
	// unlimited retention.
	MaxRetention = 10 * 365 * 24 * time.Hour
)

// Log holds the plug-in for the platform's log service and the log's retention.
type Log struct {
	plugin    Plugin
	retention time.Duration
	file      logFile
}

type logFile struct {
	Plugin    string    `yaml:"plugin" doc:"Name of the plug-in."`
	Retention string    `yaml:"retention" doc:"How long the log keeps a record. What stands is appended again within half of it. 0s stands for ever."`
	Options   yaml.Node `yaml:"options" doc:"Options of the plug-in, see [operators.md](operators.md#plug-ins)."`
}

// Plugin returns the plug-in's name.
func (l Log) Plugin() string { return l.plugin.Plugin() }

// Options returns the decoder of the plug-in's options.
func (l Log) Options() kernel.Decoder { return l.plugin.Options() }

// Retention returns how long the log keeps a record, or 0 if records never expire.
func (l Log) Retention() time.Duration { return l.retention }

func (l *Log) key() string { return "log" }

func (*Log) about() string { return "The plug-in for the platform's log service." }

func (l *Log) yamlFields() any {
	l.file = logFile{Retention: DefaultRetention.String()}
	return &l.file
}

func (l *Log) load(c *checks) {
	l.retention = c.parseDuration("retention", l.file.Retention, 0, MaxRetention)
	l.plugin.file = pluginFile{Plugin: l.file.Plugin, Options: l.file.Options}
	l.plugin.load(c, journal.PluginKind, func(name string, decode kernel.Decoder) error {
		_, err := kernel.Build[journal.Log](journal.PluginKind, name, decode)
		return err
	})
}

// rosterSection reads the section "roster" into a Plugin.
type rosterSection struct{ plugin *Plugin }

func (s *rosterSection) key() string { return "roster" }

func (*rosterSection) about() string {
	return "The plug-in for the platform's list of entry VMs and target instances."
}

func (s *rosterSection) yamlFields() any { return &s.plugin.file }

func (s *rosterSection) load(c *checks) {
	s.plugin.load(c, roster.PluginKind, func(name string, decode kernel.Decoder) error {
		_, err := kernel.Build[roster.List](roster.PluginKind, name, decode)
		return err
	})
}
