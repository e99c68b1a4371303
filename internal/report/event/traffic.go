package event

import (
	"fmt"
	"strings"
	"time"
)

// RequestsFailed records requests that were refused or got no complete response. One
// event stands for all requests with the same status, outcome, reason, account and route
// within a period, because an account over its rate would otherwise push all other
// events out of the ring.
type RequestsFailed struct {
	// Status is the HTTP status that callers got, or 0 if the response broke off.
	Status int
	// Outcome is "not-run", "unknown" or "answered".
	Outcome string
	// Reason says in a few words why the requests failed.
	Reason string
	// Account, Service and Route are "" when they are not known.
	Account string
	Service string
	Route   string
	// Targets are the addresses of the instances that were tried for the first requests.
	Targets []string
	// Requests are the IDs of the first requests.
	Requests []string
	// Count is the number of requests, and Period the time in which they arrived.
	Count  int
	Period time.Duration
}

// Subjects names the account, the service, the instances and the first requests.
func (e RequestsFailed) Subjects() []string {
	var list []string
	if e.Account != "" {
		list = append(list, "account/"+e.Account)
	}
	if e.Service != "" {
		list = append(list, "service/"+e.Service)
	}
	if e.Route != "" {
		list = append(list, "route/"+e.Service+"/"+e.Route)
	}
	for _, t := range e.Targets {
		list = append(list, "target/"+t)
	}
	for _, r := range e.Requests {
		list = append(list, "request/"+r)
	}
	return list
}

// Summary returns the number of requests, the reason and examples.
func (e RequestsFailed) Summary() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d request(s) in %s: %s (status %d, %s)", e.Count, e.Period.Round(time.Millisecond), e.Reason, e.Status, e.Outcome)
	if e.Account != "" {
		fmt.Fprintf(&b, ", account %s", e.Account)
	}
	if e.Service != "" {
		fmt.Fprintf(&b, ", route %s/%s", e.Service, e.Route)
	}
	if len(e.Targets) > 0 {
		fmt.Fprintf(&b, ", tried %s", strings.Join(e.Targets, " "))
	}
	if len(e.Requests) > 0 {
		fmt.Fprintf(&b, ", such as %s", strings.Join(e.Requests, " "))
	}
	return b.String()
}

func (RequestsFailed) event() {}
