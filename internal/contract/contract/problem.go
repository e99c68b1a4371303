package contract

import (
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
)

// ErrInvalid reports a document with problems or a malformed key hash. The error
// for a document is a *Problems.
var ErrInvalid = merry.Sentinel("invalid document")

// Problem is one thing that is wrong with a document.
type Problem struct {
	line int
	key  string
	text string
}

// NewProblem returns a problem at a line and a key path, such as
// "services[1].floor". The line is 0 and the key is empty if not known.
func NewProblem(line int, key, text string) Problem {
	return Problem{line: line, key: key, text: text}
}

// Line returns the line in the document's source, or 0 if it is not known.
func (p Problem) Line() int { return p.line }

// Key returns the path of the key, such as "services[1].floor".
func (p Problem) Key() string { return p.key }

// Text describes the problem, without its line and key.
func (p Problem) Text() string { return p.text }

// String formats the problem as "line 3: rate: must be ...".
func (p Problem) String() string {
	var b strings.Builder
	if p.line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.line)
	}
	if p.key != "" {
		fmt.Fprintf(&b, "%s: ", p.key)
	}
	b.WriteString(p.text)
	return b.String()
}

// Problems is an error that lists everything wrong with a document.
type Problems struct {
	list []Problem
}

// NewProblems returns an error for the list, or nil when it is empty.
func NewProblems(list []Problem) error {
	if len(list) == 0 {
		return nil
	}
	return &Problems{list: list}
}

// List returns the problems.
func (p *Problems) List() []Problem { return p.list }

// Error joins the problems, one a line.
func (p *Problems) Error() string {
	lines := make([]string, len(p.list))
	for i, problem := range p.list {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is(err, ErrInvalid) true.
func (p *Problems) Is(target error) bool { return target == ErrInvalid }

// problemCollector collects the problems that a check finds.
type problemCollector struct {
	list []Problem
}

func (p *problemCollector) addf(key, format string, args ...any) {
	p.list = append(p.list, Problem{key: key, text: fmt.Sprintf(format, args...)})
}

func (p *problemCollector) checkName(key, value string) {
	if !namePattern.MatchString(value) {
		p.addf(key, "must be 1 to 63 lower-case letters, digits or dashes, is %q", value)
	}
}

func (p *problemCollector) checkShare(key string, value float64) {
	if !finite(value) || value < 0 || value > 1 {
		p.addf(key, "must be from 0 to 1, is %g", value)
	}
}
