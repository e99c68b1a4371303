package cli

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"go.yaml.in/yaml/v3"

	"chestnutbay.dev/chestnutbay/internal/base/settings"
	"chestnutbay.dev/chestnutbay/internal/contract/contract"
)

type checkCommand struct {
	output
	Files []string `arg:"" name:"file" help:"Settings, contracts or services in YAML."`
}

// Help returns the detailed help text of the subcommand.
func (checkCommand) Help() string {
	return `Checks settings and documents and prints every problem as "file:line: key: text".
Nothing is started and no node is asked. A file with the key "account" is a
contract, one with the key "service" is a service, and any other is settings.

The exit status is 0 when all files are valid and 2 otherwise.

Example:
  chestnutbay check node.yaml contracts/*.yaml services/*.yaml`
}

// checkResult is the JSON output for one file.
type checkResult struct {
	File     string        `json:"file"`
	Kind     string        `json:"kind"`
	Problems []problemJSON `json:"problems"`
}

type problemJSON struct {
	Line int    `json:"line,omitempty"`
	Key  string `json:"key,omitempty"`
	Text string `json:"text"`
}

// Run checks the files and prints their problems.
func (c checkCommand) Run(a *app) error {
	var results []checkResult
	valid := true
	for _, file := range c.Files {
		kind, err := checkFile(file)
		problems := problemsOf(err)
		valid = valid && len(problems) == 0
		results = append(results, newCheckResult(file, kind, problems))
		if !c.json() {
			a.printCheckResult(file, kind, problems)
		}
	}
	if c.json() {
		if err := a.printJSON(results); err != nil {
			return err
		}
	}
	if !valid {
		return usageError{errPrinted}
	}
	return nil
}

func newCheckResult(file, kind string, problems []contract.Problem) checkResult {
	r := checkResult{File: file, Kind: kind, Problems: []problemJSON{}}
	for _, p := range problems {
		r.Problems = append(r.Problems, problemJSON{Line: p.Line(), Key: p.Key(), Text: p.Text()})
	}
	return r
}

func (a *app) printCheckResult(file, kind string, problems []contract.Problem) {
	if len(problems) == 0 {
		fmt.Fprintf(a.Stdout, "%s: %s is valid\n", file, kind)
	}
	for _, p := range problems {
		fmt.Fprintln(a.Stderr, settings.FormatProblem(file, p))
	}
}

func checkFile(file string) (kind string, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "file", err
	}
	kind = documentKind(text)
	if kind == "settings" {
		_, err = settings.Parse(file, bytes.NewReader(text))
		return kind, err
	}
	_, err = contract.Decode(bytes.NewReader(text))
	return kind, err
}

// documentKind returns "contract", "service" or "settings", depending on the
// top-level keys.
func documentKind(text []byte) string {
	var keys map[string]yaml.Node
	// A file that is not a mapping is reported by the decoder of settings.
	_ = yaml.Unmarshal(text, &keys)
	if _, ok := keys["account"]; ok {
		return "contract"
	}
	if _, ok := keys["service"]; ok {
		return "service"
	}
	return "settings"
}

// problemsOf returns the problems that an error contains, or a problem with the
// error's text if it contains none. Without an error it returns nil.
func problemsOf(err error) []contract.Problem {
	var invalid *settings.Invalid
	var problems *contract.Problems
	switch {
	case err == nil:
		return nil
	case errors.As(err, &invalid):
		return invalid.List()
	case errors.As(err, &problems):
		return problems.List()
	}
	return []contract.Problem{contract.NewProblem(0, "", err.Error())}
}

// printProblems prints the problems of settings and returns an error with the exit
// status ExitInvalid. Other errors are returned unchanged.
func (a *app) printProblems(err error) error {
	if !errors.Is(err, settings.ErrInvalid) {
		return err
	}
	fmt.Fprintln(a.Stderr, err)
	return usageError{errPrinted}
}
