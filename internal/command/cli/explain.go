package cli

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"chestnutbay.dev/chestnutbay/internal/operator/office"
)

// Subjects of events: kinds that have names, and topics that have none.
var (
	subjectKinds  = []string{"target", "account", "zone", "request", "service", "route", "contract", "change", "operator", "node", "lease"}
	subjectTopics = []string{"configuration", "log", "alert"}
)

type explainCommand struct {
	connection
	output
	Limit   int    `help:"Largest number of events." default:"100"`
	Subject string `arg:"" help:"KIND/NAME with the kind ${kinds}, or one of ${topics}."`
}

// Help returns the detailed help text of the subcommand.
func (explainCommand) Help() string {
	return `Prints the events about a subject with their evidence, the oldest first. The node
that is asked asks all others; nodes that do not answer are named. Each node
keeps its newest 4,096 events.

A request's identity is in the header Chestnutbay-Request of its answer. A request
that got its whole answer leaves no event.

Examples:
  chestnutbay explain target/10.0.4.7:8080
  chestnutbay explain account/acme --limit 20
  chestnutbay explain zone/north
  chestnutbay explain request/4f2a91
  chestnutbay explain alert`
}

// Run prints the events about the subject.
func (c explainCommand) Run(a *app) error {
	if c.Limit < 1 {
		return usageError{fmt.Errorf("--limit must be at least 1, is %d", c.Limit)}
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	if err := checkSubject(c.Subject); err != nil {
		return usageError{err}
	}
	list, err := client.Events(a.ctx, c.Subject, c.Limit)
	if err != nil {
		return err
	}
	if c.json() {
		return a.printJSON(list)
	}
	a.printEvents(c.Subject, list)
	return nil
}

// checkSubject rejects a subject of an unknown kind, so that a mistyped kind is not
// mistaken for a subject without events.
func checkSubject(subject string) error {
	kind, name, ok := strings.Cut(subject, "/")
	if !ok && slices.Contains(subjectTopics, subject) {
		return nil
	}
	if name != "" && slices.Contains(subjectKinds, kind) {
		return nil
	}
	return fmt.Errorf("the subject must be KIND/NAME with the kind %s, or one of %s; it is %q",
		strings.Join(subjectKinds, ", "), strings.Join(subjectTopics, ", "), subject)
}

func (a *app) printEvents(subject string, list office.EventList) {
	for _, e := range list.Events {
		fmt.Fprintf(a.Stdout, "%s  %s  %s: %s\n", e.At.Local().Format(time.DateTime+".000"), e.Node, e.Type, e.Summary)
		if len(e.Evidence) > 0 {
			fmt.Fprintf(a.Stdout, "    %s\n", e.Evidence)
		}
	}
	if len(list.Events) == 0 {
		fmt.Fprintf(a.Stdout, "no node that answered has events about %s\n", subject)
	}
	if len(list.Missing) > 0 {
		fmt.Fprintf(a.Stdout, "no answer from: %s\n", strings.Join(list.Missing, ", "))
	}
}
