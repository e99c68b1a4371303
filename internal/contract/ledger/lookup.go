package ledger

import (
	"sort"
	"strings"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
)

// AccountByKey returns the contract of the account that a key belongs to. The
// result is false if the key is unknown or withdrawn.
func (l *Ledger) AccountByKey(hash contract.KeyHash) (*contract.Contract, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	account, ok := l.keys[hash]
	if !ok || l.entries[keySubject(hash)] != nil {
		return nil, false
	}
	return l.entries[contractSubject(account)].Contract, true
}

// Withdrawn reports whether a key was withdrawn.
func (l *Ledger) Withdrawn(hash contract.KeyHash) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.entries[keySubject(hash)] != nil
}

// Contract returns an account's contract and its version, and whether the account
// has a contract.
func (l *Ledger) Contract(account string) (*contract.Contract, Version, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	e := l.entries[contractSubject(account)]
	if e == nil {
		return nil, NoVersion, false
	}
	return e.Contract, e.Version, true
}

// Contracts returns all contracts, sorted by account.
func (l *Ledger) Contracts() []*contract.Contract {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var list []*contract.Contract
	for _, e := range l.entries {
		if e.Contract != nil {
			list = append(list, e.Contract)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Account() < list[j].Account() })
	return list
}

// Service returns a service and its version, and whether the service is known.
func (l *Ledger) Service(name string) (*contract.Service, Version, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	e := l.entries[serviceSubject(name)]
	if e == nil {
		return nil, NoVersion, false
	}
	return e.Service, e.Version, true
}

// Services returns all services, sorted by name.
func (l *Ledger) Services() []*contract.Service {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var list []*contract.Service
	for _, e := range l.entries {
		if e.Service != nil {
			list = append(list, e.Service)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name() < list[j].Name() })
	return list
}

// Zone reports whether an availability zone is out of service, and the version of
// its state. The version of a zone that was never taken out is NoVersion.
func (l *Ledger) Zone(zone string) (outOfService bool, version Version) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	e := l.entries[zoneSubject(zone)]
	if e == nil {
		return false, NoVersion
	}
	return e.OutOfService, e.Version
}

// ZoneOut reports whether an availability zone is out of service.
func (l *Ledger) ZoneOut(zone string) bool {
	out, _ := l.Zone(zone)
	return out
}

// Floor returns the largest floor, 0 to 1, among the contracts that use a service.
func (l *Ledger) Floor(service string) float64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	floor := 0.0
	for f := range l.floors[service] {
		floor = max(floor, f)
	}
	return floor
}

// Route returns the service and the route for a request: the matching route with
// the longest path prefix. Routes for the request's host take precedence over routes
// for all hosts, whatever their prefix.
func (l *Ledger) Route(host, path, method string) (*contract.Service, *contract.Route, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.routes.find(host, path, method)
}

// routeIndex finds routes by looking up each prefix of the request's path, the
// longest first, so that the time of a lookup does not grow with the number of
// routes.
type routeIndex struct {
	byPrefix map[routePrefix][]indexedRoute
}

type routePrefix struct {
	host string
	path string
}

type indexedRoute struct {
	service *contract.Service
	route   *contract.Route
}

func prefixOf(r *contract.Route) routePrefix {
	return routePrefix{host: strings.ToLower(r.Host()), path: strings.TrimSuffix(r.Path(), "/")}
}

func (x *routeIndex) add(s *contract.Service) {
	if x.byPrefix == nil {
		x.byPrefix = make(map[routePrefix][]indexedRoute)
	}
	routes := s.Routes()
	for i := range routes {
		p := prefixOf(&routes[i])
		list := x.byPrefix[p]
		list = append(list, indexedRoute{service: s, route: &routes[i]})
		// Two services may have routes with the same prefix. The order by name makes
		// every node choose the same one.
		sort.SliceStable(list, func(i, j int) bool { return list[i].service.Name() < list[j].service.Name() })
		x.byPrefix[p] = list
	}
}

func (x *routeIndex) remove(s *contract.Service) {
	routes := s.Routes()
	for i := range routes {
		p := prefixOf(&routes[i])
		var kept []indexedRoute
		for _, r := range x.byPrefix[p] {
			if r.service != s {
				kept = append(kept, r)
			}
		}
		if len(kept) == 0 {
			delete(x.byPrefix, p)
			continue
		}
		x.byPrefix[p] = kept
	}
}

func (x *routeIndex) find(host, path, method string) (*contract.Service, *contract.Route, bool) {
	host = strings.ToLower(host)
	for _, h := range []string{host, ""} {
		for prefix := path; ; {
			for _, r := range x.byPrefix[routePrefix{host: h, path: strings.TrimSuffix(prefix, "/")}] {
				if r.route.Matches(host, path, method) {
					return r.service, r.route, true
				}
			}
			i := strings.LastIndexByte(strings.TrimSuffix(prefix, "/"), '/')
			if i < 0 {
				break
			}
			prefix = prefix[:i]
		}
	}
	return nil, nil, false
}
