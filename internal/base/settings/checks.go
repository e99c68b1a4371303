package settings

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
)

var (
	namePattern        = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	wrongTypePattern   = regexp.MustCompile("^cannot unmarshal !!\\w+ ?(`.*`)? into (.*)$")
	syntaxErrorPattern = regexp.MustCompile(`^yaml: line (\d+): (.*)$`)
)

// FormatProblem returns a problem as "file:line: key: text". An unknown line or key
// is left out.
func FormatProblem(file string, p contract.Problem) string {
	var b strings.Builder
	b.WriteString(file)
	if p.Line() > 0 {
		fmt.Fprintf(&b, ":%d", p.Line())
	}
	b.WriteString(": ")
	if p.Key() != "" {
		fmt.Fprintf(&b, "%s: ", p.Key())
	}
	b.WriteString(p.Text())
	return b.String()
}

// syntaxProblem converts an error of the YAML parser, with its line if it has one.
func syntaxProblem(err error) contract.Problem {
	m := syntaxErrorPattern.FindStringSubmatch(err.Error())
	if m == nil {
		return contract.NewProblem(0, "", err.Error())
	}
	line, _ := strconv.Atoi(m[1])
	return contract.NewProblem(line, "", m[2])
}

// checks reads the sections and collects their problems.
type checks struct {
	root     *yaml.Node
	problems []contract.Problem
	// sectionNode is the section that is being read, or nil if the file lacks it.
	// prefix is its key.
	sectionNode *yaml.Node
	prefix      string
	// undecoded holds the lines with a value that could not be decoded. The field
	// of such a value keeps its default or zero value, so that a second problem
	// about the field would mislead.
	undecoded map[int]bool
}

func newChecks(root *yaml.Node) *checks {
	if root.Kind == yaml.DocumentNode && len(root.Content) > 0 {
		root = root.Content[0]
	}
	c := &checks{root: root, undecoded: make(map[int]bool)}
	if root.Kind != 0 && root.Kind != yaml.MappingNode {
		c.problems = append(c.problems, contract.NewProblem(root.Line, "", "must be sections with keys"))
	}
	return c
}

// readSection decodes a section, if the file contains it, and checks its values.
func (c *checks) readSection(s section) {
	c.prefix = s.key()
	c.sectionNode = childNode(c.root, s.key())
	fields := s.yamlFields()
	if c.sectionNode != nil {
		c.decode(fields)
	}
	s.load(c)
}

func (c *checks) decode(fields any) {
	for _, p := range contract.DecodeStrict(c.sectionNode, fields) {
		c.undecoded[p.Line()] = true
		c.problems = append(c.problems, contract.NewProblem(p.Line(), joinKey(c.prefix, p.Key()), withoutGoTypes(p.Text())))
	}
}

// withoutGoTypes rewrites the YAML decoder's error about a value of the wrong
// type. The decoder names a Go type; the result uses the terms of the settings
// reference. Other texts are returned unchanged.
func withoutGoTypes(text string) string {
	m := wrongTypePattern.FindStringSubmatch(text)
	if m == nil {
		return text
	}
	wanted := "a mapping"
	switch {
	case m[2] == "int":
		wanted = "a whole number"
	case m[2] == "string":
		wanted = "a string"
	case strings.HasPrefix(m[2], "[]"):
		wanted = "a list"
	}
	if m[1] == "" {
		return "must be " + wanted
	}
	return "must be " + wanted + ", is " + m[1]
}

// checkSingleDocument reports a second YAML document, which would have no effect.
func (c *checks) checkSingleDocument(d *yaml.Decoder) {
	var second yaml.Node
	if err := d.Decode(&second); !errors.Is(err, io.EOF) {
		c.problems = append(c.problems, contract.NewProblem(second.Line, "", "must be the end: a settings file is one YAML document"))
	}
}

// checkSections reports sections that are unknown or given twice.
func (c *checks) checkSections(known []section) {
	if c.root.Kind != yaml.MappingNode {
		return
	}
	seen := make(map[string]bool)
	for i := 0; i+1 < len(c.root.Content); i += 2 {
		key := c.root.Content[i]
		if !hasSection(known, key.Value) {
			c.problems = append(c.problems, contract.NewProblem(key.Line, key.Value, "unknown section"))
		}
		if seen[key.Value] {
			c.problems = append(c.problems, contract.NewProblem(key.Line, key.Value, "section is given twice"))
		}
		seen[key.Value] = true
	}
}

func hasSection(known []section, key string) bool {
	for _, s := range known {
		if s.key() == key {
			return true
		}
	}
	return false
}

// addf reports a problem of a key in the section that is being read, unless the
// key's value could not be decoded.
func (c *checks) addf(key, format string, args ...any) {
	line := c.line(key)
	if c.undecoded[line] {
		return
	}
	c.problems = append(c.problems, contract.NewProblem(line, joinKey(c.prefix, key), fmt.Sprintf(format, args...)))
}

func (c *checks) checkName(key, value string) {
	if !namePattern.MatchString(value) {
		c.addf(key, "must be 1 to 63 lower-case letters, digits or dashes, is %q", value)
	}
}

func (c *checks) parseAddress(key, value string) netip.AddrPort {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		c.addf(key, `must be an IP number and port such as "10.0.0.7:8080", is %q`, value)
	}
	return a
}

func (c *checks) parseDuration(key, value string, shortest, longest time.Duration) time.Duration {
	d, err := time.ParseDuration(value)
	if err != nil {
		c.addf(key, `must be a duration such as "30s", is %q`, value)
		return 0
	}
	if d < shortest || d > longest {
		c.addf(key, "must be from %s to %s, is %s", shortest, longest, d)
	}
	return d
}

// line returns the line of a key in the section that is being read. path may name
// list items, such as "credentials[0].name". If a part of the path is missing,
// line returns the line of the part before it or of the section. If the section
// is missing, it returns 0.
func (c *checks) line(path string) int {
	if c.sectionNode == nil {
		return 0
	}
	node := c.sectionNode
	line := node.Line
	for _, part := range strings.Split(path, ".") {
		name, index, indexed := strings.Cut(part, "[")
		node = childNode(node, name)
		if node == nil {
			return line
		}
		line = node.Line
		if !indexed {
			continue
		}
		i, err := strconv.Atoi(strings.TrimSuffix(index, "]"))
		if err != nil || i >= len(node.Content) {
			return line
		}
		node = node.Content[i]
		line = node.Line
	}
	return line
}

// sortedProblems returns the problems in the order of their lines.
func (c *checks) sortedProblems() []contract.Problem {
	sort.SliceStable(c.problems, func(i, j int) bool { return c.problems[i].Line() < c.problems[j].Line() })
	return c.problems
}

// childNode returns the value of a key in a mapping, or nil.
func childNode(n *yaml.Node, key string) *yaml.Node {
	if n == nil || n.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == key {
			return n.Content[i+1]
		}
	}
	return nil
}

func joinKey(prefix, key string) string {
	if key == "" {
		return prefix
	}
	return prefix + "." + key
}
