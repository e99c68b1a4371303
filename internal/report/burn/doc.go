// Package burn counts the results of requests and reports the use of error budgets.
//
// Each node counts its finished requests by client account and route over
// windows of 5 minutes, 1 hour, 6 hours and 3 days. The counters of all nodes
// are merged into one report. An eligible request is one that counts towards the
// account's objective. It failed if the fleet did not give the response within
// the deadline: a refusal although the account was within its rate, an unknown
// outcome, a truncated response, or a 5xx. Refusals because the account is over
// its rate, requests whose caller disconnected and bad requests are not eligible:
// they count neither as successes nor as failures.
//
// # Usage
//
// The gateway counts each request, and a node returns its counters as a snapshot:
//
//	var counters burn.Counters
//	counters.Count(burn.Sample{Account: "acme", Service: "orders", Route: "place", Verdict: burn.Good})
//	snapshot := counters.Snapshot("entry-01", burn.Query{})
//
// Any node can merge the snapshots of all nodes into a report, which compares them with
// the objectives in the contracts:
//
//	report := burn.NewReport(burn.Merge(snapshots...), missing, ledger)
//	report.WriteText(os.Stdout)
//
// Memory is bounded by MaxPairs and by the number of requests: a counter keeps
// cells only for periods in which it counted something.
package burn
