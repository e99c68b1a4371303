package routing_test

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/contract/routing"
)

// singleSplit returns the splits of a route with one service.
func singleSplit(service string) []routing.Split {
	return []routing.Split{{Service: service, Weight: 1}}
}

// validConfig returns a valid configuration.
func validConfig() routing.Config {
	return routing.Config{
		Version: 7,
		Routes: []routing.RouteConfig{
			{Name: "shop", Host: "Shop.example", Prefix: "/shop/", Splits: singleSplit("orders")},
			{Name: "returns", Host: "shop.example", Prefix: "/shop/returns/", Kind: routing.Safe, Splits: singleSplit("returns")},
			{Name: "root", Host: "other.example", Prefix: "/", Public: true, Splits: singleSplit("orders")},
		},
		Services: []routing.ServiceConfig{{Name: "orders", Warmup: time.Second}, {Name: "returns"}},
		Accounts: []routing.AccountConfig{{Name: "acme", Keys: []string{"k1", "k2"}, Rate: 5, Burst: 3, Priority: 0, HasPriority: true}},
	}
}

// TestRoute guards against a request that is sent to the service of another route.
func TestRoute(t *testing.T) {
	table, err := routing.New(validConfig())
	is.New(t).NoErr(err)
	tests := []struct {
		name, host, path string
		want             string
	}{
		{name: "the route was not found", host: "shop.example", path: "/shop/x", want: "shop"},
		{name: "the host's case mattered", host: "SHOP.EXAMPLE", path: "/shop/x", want: "shop"},
		{name: "the shorter prefix won", host: "shop.example", path: "/shop/returns/1", want: "returns"},
		{name: "the prefix itself did not match", host: "shop.example", path: "/shop/returns/", want: "returns"},
		{name: "a prefix matched within a segment", host: "shop.example", path: "/shop/returnsX/1", want: "shop"},
		{name: "a path without the prefix's trailing slash matched", host: "shop.example", path: "/shop", want: ""},
		{name: "the root did not match", host: "other.example", path: "/", want: "root"},
		{name: "the root did not match a deep path", host: "other.example", path: "/a/b/c", want: "root"},
		{name: "a route of another host matched", host: "third.example", path: "/shop/x", want: ""},
		{name: "a path without a slash matched", host: "other.example", path: "*", want: ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r, ok := table.Route(tt.host, tt.path)
			is.Equal(ok, tt.want != "")
			if ok {
				is.Equal(r.Name(), tt.want)
			}
		})
	}
}

// TestInvalid guards against an invalid configuration that is put in force in part, and
// against an error that reports only the first of several problems.
func TestInvalid(t *testing.T) {
	is := is.New(t)
	c := validConfig()
	c.Routes = append(c.Routes,
		routing.RouteConfig{Name: "no-trailing-slash", Host: "a", Prefix: "/x", Splits: singleSplit("orders")},
		routing.RouteConfig{Name: "unknown-service", Host: "a", Prefix: "/y/", Splits: singleSplit("nowhere")},
		routing.RouteConfig{Name: "no-service", Host: "a", Prefix: "/z/"},
		routing.RouteConfig{Name: "duplicate", Host: "shop.example", Prefix: "/shop/", Splits: singleSplit("orders")},
		routing.RouteConfig{Name: "negative-weight", Host: "a", Prefix: "/w/", Splits: []routing.Split{{Service: "orders", Weight: -1}}},
	)
	_, err := routing.New(c)
	is.True(errors.Is(err, routing.ErrInvalid))
	var text strings.Builder
	for e := err; e != nil; e = errors.Unwrap(e) {
		text.WriteString(e.Error())
	}
	for _, name := range []string{"no-trailing-slash", "unknown-service", "no-service", "duplicate", "negative-weight"} {
		if !strings.Contains(text.String(), name) {
			t.Errorf("the problem of route %s is not reported: %s", name, text.String())
		}
	}
}

// TestAccounts guards against a key that identifies the wrong account, and against a
// route's priority that overrides the account's.
func TestAccounts(t *testing.T) {
	is := is.New(t)
	table, err := routing.New(validConfig())
	is.NoErr(err)
	a, ok := table.AccountByKey("k2")
	is.True(ok)
	is.Equal(a.Name(), "acme")
	_, ok = table.AccountByKey("k3")
	is.True(!ok)
	r, _ := table.Route("shop.example", "/shop/")
	is.Equal(a.Priority(r), 0)
	var noAccount *routing.Account
	is.Equal(noAccount.Priority(r), r.Priority())
	is.Equal(r.Attempts(), 1) // the default
}

// TestSplit guards against services whose share of the requests differs from their
// weight.
func TestSplit(t *testing.T) {
	is := is.New(t)
	c := validConfig()
	c.Routes[0].Splits = []routing.Split{{Service: "orders", Weight: 90}, {Service: "returns", Weight: 10}}
	table, err := routing.New(c)
	is.NoErr(err)
	r, _ := table.Route("shop.example", "/shop/")
	const requests = 20000
	returnsCount := 0
	for range requests {
		if r.Service() == "returns" {
			returnsCount++
		}
	}
	// The tolerance is five standard deviations of a share of 0.1.
	is.True(math.Abs(float64(returnsCount)/requests-0.1) < 5*math.Sqrt(0.1*0.9/requests))
}
