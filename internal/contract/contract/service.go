package contract

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Limits and defaults of a service.
const (
	// MaxSlots is the highest number of slots: requests that an instance runs at
	// once.
	MaxSlots = 10000
	// DefaultSlots is the number of slots per instance of a service that sets none.
	DefaultSlots = 2
	// DefaultConnections is the number of connections per instance of a service
	// that sets none.
	DefaultConnections = 400
	// DefaultRamp is the ramp of a service that sets none: the time an instance
	// takes from cold to full load.
	DefaultRamp = 30 * time.Second
	// MaxRamp is the longest ramp.
	MaxRamp = time.Hour
)

// Class determines how the requests of a route share an instance's slots.
type Class string

// Classes of routes.
const (
	// Interactive requests are short; a caller waits for them.
	Interactive Class = "interactive"
	// Bulk requests are long transfers. They never occupy an instance's last slot.
	Bulk Class = "bulk"
)

// Detection determines how much evidence of failure ejects an instance.
type Detection string

// Kinds of detection.
const (
	// DetectFast ejects an instance after few bad responses. It suits services
	// whose users wait for the response, for example at a phone.
	DetectFast Detection = "fast"
	// DetectCareful ejects an instance on more evidence, so that fewer healthy
	// instances are ejected and fewer requests are refused. It is the default.
	DetectCareful Detection = "careful"
)

// Service describes a group of interchangeable target instances and its routes.
type Service struct {
	name          string
	slots         int
	connections   int
	ramp          time.Duration
	trustRefusals bool
	detection     Detection
	routes        []Route
}

// NewService returns a service. Arguments that are zero stand for the defaults.
func NewService(name string, slots, connections int, ramp time.Duration, routes []Route) *Service {
	s := &Service{name: name, slots: slots, connections: connections, ramp: ramp, routes: routes}
	s.setDefaults()
	return s
}

func (s *Service) setDefaults() {
	if s.slots == 0 {
		s.slots = DefaultSlots
	}
	if s.connections == 0 {
		s.connections = DefaultConnections
	}
	if s.ramp == 0 {
		s.ramp = DefaultRamp
	}
	if s.detection == "" {
		s.detection = DetectCareful
	}
	for i := range s.routes {
		s.routes[i].setDefaults()
	}
}

// Check returns every problem of the service, or nil if it is valid.
func (s *Service) Check() []Problem {
	var p problemCollector
	p.checkName("service", s.name)
	if s.slots < 1 || s.slots > MaxSlots {
		p.addf("slots", "must be from 1 to %d, is %d", MaxSlots, s.slots)
	}
	if s.connections < s.slots {
		p.addf("connections", "must be at least the %d slots, is %d", s.slots, s.connections)
	}
	if s.ramp < 0 || s.ramp > MaxRamp {
		p.addf("ramp", "must be from 0 to %s, is %s", MaxRamp, s.ramp)
	}
	if s.detection != DetectFast && s.detection != DetectCareful {
		p.addf("detection", "must be %s or %s, is %q", DetectFast, DetectCareful, s.detection)
	}
	if len(s.routes) == 0 {
		p.addf("routes", "must name at least one route")
	}
	seen := make(map[string]bool, len(s.routes))
	for i, r := range s.routes {
		key := fmt.Sprintf("routes[%d]", i)
		r.check(key, &p)
		if seen[r.name] {
			p.addf(key+".name", "%q is listed twice", r.name)
		}
		seen[r.name] = true
	}
	return p.list
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Slots returns how many requests an instance runs at once.
func (s *Service) Slots() int { return s.slots }

// Connections returns how many connections an instance supports.
func (s *Service) Connections() int { return s.connections }

// Ramp returns the time that an instance takes from cold to full load.
func (s *Service) Ramp() time.Duration { return s.ramp }

// TrustedRefusals reports whether the targets' refusals with the header
// Chestnutbay-Not-Run prove that a request did not run.
func (s *Service) TrustedRefusals() bool { return s.trustRefusals }

// WithTrustedRefusals returns a copy whose targets' refusals are trusted.
func (s *Service) WithTrustedRefusals() *Service {
	c := *s
	c.trustRefusals = true
	return &c
}

// Detection returns how much evidence of failure ejects an instance.
func (s *Service) Detection() Detection { return s.detection }

// WithDetection returns a copy with the given detection.
func (s *Service) WithDetection(d Detection) *Service {
	c := *s
	c.detection = d
	return &c
}

// Routes returns the routes in the order of the document.
func (s *Service) Routes() []Route { return s.routes }

// Route sends matching requests to a service.
type Route struct {
	name       string
	host       string
	path       string
	methods    []string
	class      Class
	idempotent bool
	open       bool
}

// NewRoute returns an interactive route for a path prefix. It matches all methods
// if none are given.
func NewRoute(name, path string, methods ...string) Route {
	return Route{name: name, path: path, methods: methods, class: Interactive}
}

// WithClass returns the route with the given class.
func (r Route) WithClass(c Class) Route {
	r.class = c
	return r
}

// WithIdempotent returns a route whose requests may be retried whatever their
// method.
func (r Route) WithIdempotent() Route {
	r.idempotent = true
	return r
}

// WithOpen returns a route that callers may use without a key.
func (r Route) WithOpen() Route {
	r.open = true
	return r
}

func (r *Route) setDefaults() {
	if r.class == "" {
		r.class = Interactive
	}
}

func (r Route) check(key string, p *problemCollector) {
	p.checkName(key+".name", r.name)
	if !strings.HasPrefix(r.path, "/") {
		p.addf(key+".path", "must start with a slash, is %q", r.path)
	}
	if r.class != Interactive && r.class != Bulk {
		p.addf(key+".class", "must be %s or %s, is %q", Interactive, Bulk, r.class)
	}
	for i, m := range r.methods {
		if m == "" || m != strings.ToUpper(m) {
			p.addf(fmt.Sprintf("%s.methods[%d]", key, i), "must be an upper-case method, is %q", m)
		}
	}
}

// Name returns the route's name.
func (r *Route) Name() string { return r.name }

// Host returns the host that requests must name, or "" if any host matches.
func (r *Route) Host() string { return r.host }

// Path returns the path prefix.
func (r *Route) Path() string { return r.path }

// Class returns how the route's requests share an instance's slots.
func (r *Route) Class() Class { return r.class }

// Open reports whether callers may use the route without a key.
func (r *Route) Open() bool { return r.open }

// Idempotent reports whether a request with this method may be retried when its
// outcome is unknown.
func (r *Route) Idempotent(method string) bool {
	if r.idempotent {
		return true
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// Matches reports whether the route matches a request. A path prefix matches whole
// segments only.
func (r *Route) Matches(host, path, method string) bool {
	if r.host != "" && !strings.EqualFold(r.host, host) {
		return false
	}
	if !r.matchesPath(path) {
		return false
	}
	if len(r.methods) == 0 {
		return true
	}
	for _, m := range r.methods {
		if m == method {
			return true
		}
	}
	return false
}

func (r *Route) matchesPath(path string) bool {
	rest, ok := strings.CutPrefix(path, r.path)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(r.path, "/") || rest[0] == '/'
}
