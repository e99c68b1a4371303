package routing

import "time"

// ServiceConfig is the operator's configuration of a service.
type ServiceConfig struct {
	// Name identifies the service.
	Name string
	// HealthPath is the path under which an instance reports its own health.
	HealthPath string
	// Connections is the number of connections that an instance accepts from all VMs
	// together.
	Connections int
	// Warmup is how long an instance is cold after its start.
	Warmup time.Duration
	// WarmupRate is the number of requests per second that a cold instance can take
	// from all VMs together.
	WarmupRate float64
}

// Service is a group of interchangeable target instances. It is immutable.
type Service struct {
	config ServiceConfig
}

// Name returns the name that identifies the service.
func (s *Service) Name() string { return s.config.Name }

// HealthPath returns the path under which an instance reports its own health.
func (s *Service) HealthPath() string { return s.config.HealthPath }

// Connections returns the number of connections that an instance accepts from all VMs
// together.
func (s *Service) Connections() int { return s.config.Connections }

// Warmup returns how long an instance is cold after its start.
func (s *Service) Warmup() time.Duration { return s.config.Warmup }

// WarmupRate returns the number of requests per second that a cold instance can take
// from all VMs together.
func (s *Service) WarmupRate() float64 { return s.config.WarmupRate }
