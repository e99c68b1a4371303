package burn

import (
	"sort"
	"time"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
)

// Contracts finds the contract of a client account. *ledger.Ledger implements it.
type Contracts interface {
	Contract(account string) (*contract.Contract, ledger.Version, bool)
}

// objectiveOf returns an account's objective: the share of its eligible requests that
// must succeed. An account without a contract has the default objective.
func objectiveOf(account string, contracts Contracts) float64 {
	if contracts == nil {
		return contract.DefaultObjective
	}
	c, _, ok := contracts.Contract(account)
	if !ok {
		return contract.DefaultObjective
	}
	return c.Objective()
}

// Usage is the use of an error budget in one window.
type Usage struct {
	Sum
	// BurnRate is the share of failures divided by the share that the objective
	// allows. At 1 the budget lasts exactly for the window.
	BurnRate float64 `json:"burn_rate"`
}

// RouteUsage is the use of an account's error budget by its requests on one route.
type RouteUsage struct {
	Service string   `json:"service"`
	Route   string   `json:"route"`
	Windows [4]Usage `json:"windows"`
}

// AccountUsage is the use of one account's error budget, in total and by route.
type AccountUsage struct {
	Account   string   `json:"account"`
	Objective float64  `json:"objective"`
	Windows   [4]Usage `json:"windows"`
	// BudgetLeft is the remaining share of the error budget of three days. It is
	// negative when there were more failures than the objective allows.
	BudgetLeft float64      `json:"budget_left"`
	Alerts     []Alert      `json:"alerts,omitempty"`
	Routes     []RouteUsage `json:"routes"`
}

// Report describes the use of the client accounts' error budgets over the whole fleet.
type Report struct {
	At time.Time `json:"at"`
	// Nodes are the IDs of the nodes whose counters are included, and Missing those of
	// the nodes that did not reply.
	Nodes   []string `json:"nodes"`
	Missing []string `json:"missing,omitempty"`
	// Dropped counts the pairs of account and route that nodes left out because of the
	// query's limit, summed over nodes.
	Dropped int `json:"dropped,omitempty"`
	// Accounts is sorted by urgency of the alerts, then by remaining budget, the
	// worst-served account first.
	Accounts []AccountUsage `json:"accounts"`
	// LastHour and ThreeDays are the sums of all accounts over time.
	LastHour  []Point `json:"last_hour"`
	ThreeDays []Point `json:"three_days"`
}

// NewReport compares a merged snapshot with the accounts' objectives. missing are the
// nodes whose counters could not be included. Accounts without a contract have the
// default objective.
func NewReport(s Snapshot, missing []string, contracts Contracts) *Report {
	r := &Report{
		At: time.Now().UTC(), Nodes: s.Nodes, Missing: missing, Dropped: s.Dropped,
		LastHour: s.LastHour, ThreeDays: s.ThreeDays,
	}
	for _, lines := range byAccount(s.Lines) {
		r.Accounts = append(r.Accounts, newAccountUsage(lines, contracts))
	}
	sort.SliceStable(r.Accounts, func(i, j int) bool { return r.Accounts[i].worseThan(r.Accounts[j]) })
	return r
}

// byAccount groups lines by client account.
func byAccount(lines []Line) [][]Line {
	index := make(map[string]int)
	var groups [][]Line
	for _, l := range lines {
		i, ok := index[l.Account]
		if !ok {
			i = len(groups)
			index[l.Account] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], l)
	}
	return groups
}

func newAccountUsage(lines []Line, contracts Contracts) AccountUsage {
	account := lines[0].Account
	a := AccountUsage{Account: account, Objective: objectiveOf(account, contracts)}
	var total [windowCount]Sum
	for _, l := range lines {
		r := RouteUsage{Service: l.Service, Route: l.Route, Windows: usages(l.Windows, a.Objective)}
		for w := range windowCount {
			total[w].add(l.Windows[w])
		}
		a.Routes = append(a.Routes, r)
	}
	a.Windows = usages(total, a.Objective)
	a.BudgetLeft = 1 - a.Windows[ThreeDays].BurnRate
	a.Alerts = alertsFor(a.Windows)
	sort.SliceStable(a.Routes, func(i, j int) bool {
		return a.Routes[i].Windows[ThreeDays].BurnRate > a.Routes[j].Windows[ThreeDays].BurnRate
	})
	return a
}

// minErrorBudget is the smallest share of failures that an objective allows. It keeps
// burn rates finite for an objective of 1.
const minErrorBudget = 1e-6

// usages returns the use of the error budget in each window.
func usages(sums [windowCount]Sum, objective float64) [windowCount]Usage {
	var u [windowCount]Usage
	for w, s := range sums {
		u[w] = Usage{Sum: s, BurnRate: s.FailedShare() / max(1-objective, minErrorBudget)}
	}
	return u
}

// worseThan orders accounts: those with the most urgent alert come first, then those
// with the least remaining budget.
func (a AccountUsage) worseThan(other AccountUsage) bool {
	if x, y := a.urgency(), other.urgency(); x != y {
		return x > y
	}
	if a.BudgetLeft != other.BudgetLeft {
		return a.BudgetLeft < other.BudgetLeft
	}
	return a.Account < other.Account
}

// urgency returns the rank of the account's most severe alert, or 0 without alerts.
func (a AccountUsage) urgency() int {
	highest := 0
	for _, alert := range a.Alerts {
		highest = max(highest, alert.Severity.rank())
	}
	return highest
}
