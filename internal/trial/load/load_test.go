package load_test

import (
	"cmp"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/traffic/gateway"
	"chestnutbay.dev/chestnutbay/internal/trial/emulator"
	"chestnutbay.dev/chestnutbay/internal/trial/history"
	"chestnutbay.dev/chestnutbay/internal/trial/load"
)

func newConfig(t *testing.T, account, node, target string) load.Config {
	c := load.Config{
		Nodes: []string{node}, Targets: []string{target}, Accounts: make([]load.Account, 1),
		Requests: 20, Duration: time.Minute, Callers: 1, Timeout: time.Minute, Uploads: 0.5, UploadBytes: 1000, ReadPath: "/lookup", WritePath: "/order", UploadPath: "/upload",
	}
	is.New(t).NoErr(c.Accounts[0].UnmarshalText([]byte(account)))
	return c
}

// Guards against injected faults that callers do not notice, and against a report
// without violations for a node that breaks a guarantee. 13 of the 20 requests
// are orders, 7 are uploads.
func TestFaultsAreReported(t *testing.T) {
	for _, tt := range []struct {
		name, account string
		behaviour     emulator.Behaviour
		node          func(target *emulator.Target, w http.ResponseWriter, r *http.Request)
		want          string // succeeded, refused, unanswered, admitted, checks
	}{
		{name: "a healthy target fails", want: "20 0 0 20 map[]"},
		{name: "requests with the failing prefix succeed or others fail", behaviour: emulator.Behaviour{FailPrefix: "/order"}, want: "7 0 0 20 map[]"},
		{name: "requests with the hanging prefix get a response or survive a restart", behaviour: emulator.Behaviour{HangPrefix: "/"}, want: "0 0 20 20 map[]", node: func(target *emulator.Target, w http.ResponseWriter, r *http.Request) {
			time.AfterFunc(50*time.Millisecond, target.Restart)
			target.ServeHTTP(w, r)
		}},
		{name: "a dropped request gets a response or does not run", behaviour: emulator.Behaviour{DropShare: 1}, want: "0 0 20 20 map[]"},
		{name: "a truncated response counts as complete", behaviour: emulator.Behaviour{TruncateShare: 1}, want: "0 0 20 20 map[]"},
		{name: "a refused request runs", behaviour: emulator.Behaviour{RefuseShare: 1}, want: "0 0 0 0 map[]"},
		{name: "an account above its rate is not reported", account: "acme:k:1:1", want: "20 0 0 20 map[allowance:1]"},
		{name: "refused requests that ran are not reported", want: "0 20 0 20 map[not-run:20]", node: func(target *emulator.Target, w http.ResponseWriter, r *http.Request) {
			target.ServeHTTP(httptest.NewRecorder(), r)
			w.Header().Set(gateway.OutcomeHeader, history.OutcomeNotRun)
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		{name: "lost upload bodies are not reported", want: "20 0 0 20 map[own-answer:7]", node: func(target *emulator.Target, w http.ResponseWriter, r *http.Request) {
			r.Body = http.NoBody
			target.ServeHTTP(w, r)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			target := emulator.New("t", 1)
			is.NoErr(target.SetBehaviour(tt.behaviour))
			control := httptest.NewServer(target.Control())
			defer control.Close()
			node := httptest.NewUnstartedServer(target)
			if tt.node != nil {
				node.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { tt.node(target, w, r) })
			}
			node.Config.ConnState = target.Track
			node.Start()
			defer node.Close()
			report, err := load.Run(t.Context(), newConfig(t, cmp.Or(tt.account, "acme:k:1e6:1e6"), node.Listener.Addr().String(), control.Listener.Addr().String()))
			is.NoErr(err)
			checks := make(map[history.Check]int)
			for _, v := range report.Violations {
				checks[v.Check]++
			}
			is.Equal(fmt.Sprint(report.Total.Succeeded, report.Total.Refused, report.Total.Unanswered, report.Total.Admitted, checks), tt.want)
		})
	}
}

// Guards against load on remote hosts and an unlimited number of requests.
func TestInvalidConfig(t *testing.T) {
	const loopback = "127.0.0.1:1"
	for _, tt := range []struct{ name, node, target, want string }{
		{name: "a remote node gets load", node: "192.0.2.1:80", target: loopback, want: "192.0.2.1:80 is not loopback"},
		{name: "a remote target is asked for its record", node: loopback, target: "[2001:db8::1]:80", want: "]:80 is not loopback"},
		{name: "a host name is resolved", node: "localhost:80", target: loopback, want: "must be an IP number"},
		{name: "the number of requests is not limited", node: loopback, target: loopback, want: "requests must be"},
	} {
		c := newConfig(t, "acme:k:e:y:1:1", tt.node, tt.target)
		c.Requests = load.MaxRequests + 1
		if _, err := load.Run(t.Context(), c); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
}
