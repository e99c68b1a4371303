package burn

import "fmt"

// Severity says how soon a person must act on an alert.
type Severity string

// Severities of alerts.
const (
	// Page means that a person must act now.
	Page Severity = "page"
	// Ticket means that a person must act within a working day.
	Ticket Severity = "ticket"
)

// rank orders severities: a more urgent one has a higher rank.
func (s Severity) rank() int {
	switch s {
	case Page:
		return 2
	case Ticket:
		return 1
	}
	return 0
}

// Alert reports that a client account's error budget is used up too fast.
type Alert struct {
	Name     string   `json:"name"`
	Severity Severity `json:"severity"`
	// Text is one sentence with the evidence.
	Text string `json:"text"`
}

// minFailures is the lowest number of failures in the long window that can raise an
// alert, so that one or two failures of an account with few requests raise none.
const minFailures = 3

// rule raises an alert if the burn rate reaches the threshold in both of its windows. The
// long window shows that the loss is significant, and the short window that it continues.
type rule struct {
	name      string
	severity  Severity
	long      Window
	short     Window
	threshold float64
}

// rules are the alert rules. At their thresholds, 20%, 50% and 100% of the error budget
// of three days are used up in the long window: 14.4 × 1 h, 6 × 6 h and 1 × 72 h of 72 h.
var rules = []rule{
	{name: "BudgetBurnFast", severity: Page, long: OneHour, short: FiveMinutes, threshold: 14.4},
	{name: "BudgetBurnSteady", severity: Page, long: SixHours, short: OneHour, threshold: 6},
	{name: "BudgetBurnSlow", severity: Ticket, long: ThreeDays, short: SixHours, threshold: 1},
}

// alertsFor returns the alerts that the use of an account's error budget raises.
func alertsFor(u [windowCount]Usage) []Alert {
	var list []Alert
	for _, r := range rules {
		long, short := u[r.long], u[r.short]
		if long.Failed < minFailures || long.BurnRate < r.threshold || short.BurnRate < r.threshold {
			continue
		}
		list = append(list, Alert{Name: r.name, Severity: r.severity, Text: r.text(long, short)})
	}
	return list
}

func (r rule) text(long, short Usage) string {
	return fmt.Sprintf("%d of %d requests failed within %s: burn rate %.1f, and %.1f within %s (threshold %g)",
		long.Failed, long.Eligible, r.long, long.BurnRate, short.BurnRate, r.short, r.threshold)
}
