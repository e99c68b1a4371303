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

func split(service string) []routing.Split { return []routing.Split{{Service: service, Weight: 1}} }

func config() routing.Config {
	return routing.Config{
		Version: 7,
		Routes: []routing.RouteConfig{
			{Name: "shop", Host: "Shop.example", Prefix: "/shop/", Splits: split("orders")},
			{Name: "returns", Host: "shop.example", Prefix: "/shop/returns/", Kind: routing.Safe, Splits: split("returns")},
			{Name: "root", Host: "other.example", Prefix: "/", Public: true, Splits: split("orders")},
		},
		Services: []routing.ServiceConfig{{Name: "orders", Warmup: time.Second}, {Name: "returns"}},
		Accounts: []routing.AccountConfig{{Name: "acme", Keys: []string{"k1", "k2"}, Rate: 5, Burst: 3, Priority: 0, HasPriority: true}},
	}
}

// TestRoute guards against a request that is run by the service of another route.
func TestRoute(t *testing.T) {
	table, err := routing.New(config())
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
		{name: "a path without the prefix's last slash matched", host: "shop.example", path: "/shop", want: ""},
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

// TestInvalid guards against a configuration that comes into force in part, and
// against an error that hides the second problem.
func TestInvalid(t *testing.T) {
	is := is.New(t)
	c := config()
	c.Routes = append(c.Routes,
		routing.RouteConfig{Name: "bare", Host: "a", Prefix: "/x", Splits: split("orders")},
		routing.RouteConfig{Name: "lost", Host: "a", Prefix: "/y/", Splits: split("nowhere")},
		routing.RouteConfig{Name: "empty", Host: "a", Prefix: "/z/"},
		routing.RouteConfig{Name: "twin", Host: "shop.example", Prefix: "/shop/", Splits: split("orders")},
		routing.RouteConfig{Name: "negative", Host: "a", Prefix: "/w/", Splits: []routing.Split{{Service: "orders", Weight: -1}}},
	)
	_, err := routing.New(c)
	is.True(errors.Is(err, routing.ErrInvalid))
	var text strings.Builder
	for e := err; e != nil; e = errors.Unwrap(e) {
		text.WriteString(e.Error())
	}
	for _, name := range []string{"bare", "lost", "empty", "twin", "negative"} {
		if !strings.Contains(text.String(), name) {
			t.Errorf("the problem of route %s is not told: %s", name, text.String())
		}
	}
}

// TestAccounts guards against a key of one account that opens another, and against
// a route's priority that overrides the account's.
func TestAccounts(t *testing.T) {
	is := is.New(t)
	table, err := routing.New(config())
	is.NoErr(err)
	a, ok := table.AccountByKey("k2")
	is.True(ok)
	is.Equal(a.Name(), "acme")
	_, ok = table.AccountByKey("k3")
	is.True(!ok)
	r, _ := table.Route("shop.example", "/shop/")
	is.Equal(a.Priority(r), 0)
	var none *routing.Account
	is.Equal(none.Priority(r), r.Priority())
	is.Equal(r.Attempts(), 1) // left out
}

// TestSplit guards against weights that are not kept.
func TestSplit(t *testing.T) {
	is := is.New(t)
	c := config()
	c.Routes[0].Splits = []routing.Split{{Service: "orders", Weight: 90}, {Service: "returns", Weight: 10}}
	table, err := routing.New(c)
	is.NoErr(err)
	r, _ := table.Route("shop.example", "/shop/")
	const n = 20000
	got := 0
	for range n {
		if r.Service() == "returns" {
			got++
		}
	}
	// Five standard deviations of a share of 0.1.
	is.True(math.Abs(float64(got)/n-0.1) < 5*math.Sqrt(0.1*0.9/n))
}
