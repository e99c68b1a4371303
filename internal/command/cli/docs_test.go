package cli_test

import (
	"go/ast"
	"go/parser"
	gotoken "go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
)

func page(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("../../..", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against an event or alert that is not documented for operators.
func TestEventsAreDocumented(t *testing.T) {
	is := is.New(t)
	alerts := page(t, "docs/alerts.md")
	names := eventTypes(t)
	is.True(len(names) > 0)
	names = append(names, "BudgetBurnFast", "BudgetBurnSteady", "BudgetBurnSlow")
	for _, name := range names {
		if !strings.Contains(alerts, "| `"+name+"` |") {
			t.Errorf("docs/alerts.md has no row for %s", name)
		}
	}
}

// eventTypes returns the names of the types that implement event.Event, which it
// finds by their method event in the source.
func eventTypes(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("../../report/event/*.go")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, file := range files {
		f, err := parser.ParseFile(gotoken.NewFileSet(), file, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range f.Decls {
			if m, ok := d.(*ast.FuncDecl); ok && m.Name.Name == "event" && m.Recv != nil {
				if id, ok := m.Recv.List[0].Type.(*ast.Ident); ok {
					names = append(names, id.Name)
				}
			}
		}
	}
	return names
}

// Guards against example documents in docs/operators.md that the program rejects.
func TestDocumentedExamplesAreValid(t *testing.T) {
	is := is.New(t)
	blocks := regexp.MustCompile(`(?m)^    (?:account|service): .*\n(?:    .*\n)+`).FindAllString(page(t, "docs/operators.md"), -1)
	is.Equal(len(blocks), 2)
	for _, b := range blocks {
		_, err := contract.Decode(strings.NewReader(strings.ReplaceAll("\n"+b, "\n    ", "\n")))
		is.NoErr(err)
	}
}

// Guards against pages that mention a command that does not exist or link to a
// missing page.
func TestPages(t *testing.T) {
	commands := regexp.MustCompile(`(?m)^ {4,}(?:(?:\./)?chestnutbay|go run \./cmd/chestnutbay) ([a-z-]+(?: (?:out|in))?)`)
	links := regexp.MustCompile(`\]\(([^)#]+)(?:#[^)]*)?\)`)
	for _, name := range []string{"README.md", "CONTRIBUTING.md", "CHANGELOG.md", "docs/operators.md", "docs/alerts.md", "docs/glossary.md", "docs/settings.md", "docs/trial.md"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := page(t, name)
			for _, m := range commands.FindAllStringSubmatch(text, -1) {
				status, _, stderr := run(t, nil, append(strings.Fields(m[1]), "--help")...)
				is.Equal(status, 0)
				is.Equal(stderr, "")
			}
			for _, m := range links.FindAllStringSubmatch(text, -1) {
				_, err := os.Stat(filepath.Join("../../..", filepath.Dir(name), m[1]))
				is.NoErr(err)
			}
		})
	}
}
