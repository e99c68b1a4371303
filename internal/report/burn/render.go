package burn

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes the report as a table for a terminal.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "ACCOUNT\tROUTE\tOBJECTIVE\tBUDGET LEFT\tFAILED 5m\tFAILED 1h\tFAILED 6h\tFAILED 3d\tALERTS\n")
	for _, a := range r.Accounts {
		fmt.Fprintf(t, "%s\t\t%s\t%s\t%s\t%s\n", printable(a.Account), percent(a.Objective), percent(a.BudgetLeft), shares(a.Windows), alertNames(a.Alerts))
		for _, u := range a.Routes {
			fmt.Fprintf(t, "\t%s\t\t\t%s\t\n", printable(u.Service+"/"+u.Route), shares(u.Windows))
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := io.WriteString(w, r.footer())
	return err
}

// footer returns the lines that say which accounts and nodes the report includes and
// what is missing.
func (r *Report) footer() string {
	var b strings.Builder
	fmt.Fprintf(&b, "\nclient accounts: %d, nodes that answered: %d\n", len(r.Accounts), len(r.Nodes))
	if len(r.Missing) > 0 {
		fmt.Fprintf(&b, "no answer from: %s\n", strings.Join(r.Missing, ", "))
	}
	if r.Dropped > 0 {
		fmt.Fprintf(&b, "%d counters with the fewest failures are left out\n", r.Dropped)
	}
	return b.String()
}

func shares(u [windowCount]Usage) string {
	cells := make([]string, windowCount)
	for w, usage := range u {
		cells[w] = usage.share()
	}
	return strings.Join(cells, "\t")
}

// share returns the failures of a window as "3/120 (2.5%)".
func (u Usage) share() string {
	if u.Eligible == 0 {
		return "-"
	}
	return fmt.Sprintf("%d/%d (%s)", u.Failed, u.Eligible, percent(u.FailedShare()))
}

func percent(f float64) string { return fmt.Sprintf("%.4g%%", 100*f) }

func alertNames(list []Alert) string {
	names := make([]string, len(list))
	for i, a := range list {
		names[i] = fmt.Sprintf("%s (%s)", a.Name, a.Severity)
	}
	return strings.Join(names, ", ")
}

// printable replaces control characters, so that a name cannot move the cursor of a
// terminal.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || (r >= 0x80 && r < 0xa0) {
			return '?'
		}
		return r
	}, s)
}
