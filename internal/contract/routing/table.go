// Package routing holds one version of the operator's configuration: routes by host and
// path prefix, services, client accounts with their keys, and limits on the requests of
// callers. A Table is immutable, so a request keeps the route that it has looked up when
// a newer version comes into force.
//
// # Usage
//
//	table, err := routing.New(routing.Config{
//		Version:  7,
//		Routes:   []routing.RouteConfig{{Host: "shop.example", Prefix: "/orders/", Splits: splits}},
//		Services: []routing.ServiceConfig{{Name: "orders"}},
//	})
//	route, ok := table.Route("shop.example", "/orders/17")
//	account, ok := table.AccountByKey(key)
package routing

import (
	"errors"
	"strings"

	"github.com/ansel1/merry/v2"
)

// ErrInvalid reports a configuration that cannot be put in force. The error lists
// every problem.
var ErrInvalid = merry.Sentinel("routing: invalid configuration")

// Config is one version of the operator's configuration.
type Config struct {
	// Version orders configurations; a higher one is newer.
	Version  int64
	Routes   []RouteConfig
	Services []ServiceConfig
	Accounts []AccountConfig
	Limits   LimitsConfig
}

// Table is a validated version of the configuration, indexed for lookups by request. It
// is immutable.
type Table struct {
	version  int64
	routes   map[routeKey]*Route
	services map[string]*Service
	accounts map[string]*Account
	keys     map[string]*Account
	limits   Limits
}

// routeKey identifies a route. The host is in lower case.
type routeKey struct {
	host   string
	prefix string
}

// New returns a table, or an ErrInvalid whose cause lists every problem of the
// configuration.
func New(c Config) (*Table, error) {
	t := &Table{
		version:  c.Version,
		routes:   make(map[routeKey]*Route, len(c.Routes)),
		services: make(map[string]*Service, len(c.Services)),
		accounts: make(map[string]*Account, len(c.Accounts)),
		keys:     make(map[string]*Account),
		limits:   Limits{config: c.Limits},
	}
	for _, s := range c.Services {
		t.services[s.Name] = &Service{config: s}
	}
	for _, a := range c.Accounts {
		t.addAccount(a)
	}
	var problems []error
	for _, r := range c.Routes {
		if err := t.addRoute(r); err != nil {
			problems = append(problems, err)
		}
	}
	if len(problems) > 0 {
		return nil, merry.Wrap(ErrInvalid, merry.WithCause(errors.Join(problems...)))
	}
	return t, nil
}

// addAccount adds a client account and its keys.
func (t *Table) addAccount(c AccountConfig) {
	a := &Account{config: c}
	t.accounts[c.Name] = a
	for _, k := range c.Keys {
		t.keys[k] = a
	}
}

// addRoute adds a route, or returns the first problem of its configuration.
func (t *Table) addRoute(c RouteConfig) error {
	if !strings.HasPrefix(c.Prefix, "/") || !strings.HasSuffix(c.Prefix, "/") {
		return merry.Errorf("route %s: prefix %q must begin and end with a slash", c.Name, c.Prefix)
	}
	if len(c.Splits) == 0 {
		return merry.Errorf("route %s: no service", c.Name)
	}
	for _, s := range c.Splits {
		if t.services[s.Service] == nil {
			return merry.Errorf("route %s: unknown service %q", c.Name, s.Service)
		}
		if s.Weight < 0 {
			return merry.Errorf("route %s: weight %v of %s is below 0", c.Name, s.Weight, s.Service)
		}
	}
	key := routeKey{host: strings.ToLower(c.Host), prefix: c.Prefix}
	if t.routes[key] != nil {
		return merry.Errorf("route %s: another route has the same host %q and prefix %q", c.Name, c.Host, c.Prefix)
	}
	t.routes[key] = newRoute(c)
	return nil
}

// Version returns the version of the configuration; a higher one is newer.
func (t *Table) Version() int64 { return t.version }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return len(t.routes) }

// Limits returns the limits on the requests of callers.
func (t *Table) Limits() Limits { return t.limits }

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// AccountCount returns the number of client accounts.
func (t *Table) AccountCount() int { return len(t.accounts) }

// Account returns a client account by name.
func (t *Table) Account(name string) (*Account, bool) {
	a, ok := t.accounts[name]
	return a, ok
}

// NeedsKeys reports whether there are client accounts. If so, requests need a key, except
// on public routes.
func (t *Table) NeedsKeys() bool { return len(t.accounts) > 0 }

// AccountByKey returns the client account to which a key belongs.
func (t *Table) AccountByKey(key string) (*Account, bool) {
	a, ok := t.keys[key]
	return a, ok
}

// Route returns the host's route with the longest prefix of the path. The host's case
// does not matter.
func (t *Table) Route(host, path string) (*Route, bool) {
	key := routeKey{host: strings.ToLower(host), prefix: path}
	for {
		end := strings.LastIndexByte(key.prefix, '/')
		if end < 0 {
			return nil, false
		}
		key.prefix = key.prefix[:end+1]
		if r, ok := t.routes[key]; ok {
			return r, true
		}
		key.prefix = key.prefix[:end]
	}
}
