package routing

import "time"

// ServiceConfig is what an operator says of a service.
type ServiceConfig struct {
	// Name identifies the service.
	Name string
	// HealthPath is the path of an instance's own health report.
	HealthPath string
	// Connections is how many connections an instance accepts from all VMs
	// together.
	Connections int
	// Warmup is how long an instance is cold after its start.
	Warmup time.Duration
	// WarmupRate is how many requests a second a cold instance bears from all VMs
	// together.
	WarmupRate float64
}

// Service is a group of instances that do the same. It is immutable.
type Service struct {
	config ServiceConfig
}

// Name identifies the service.
func (s *Service) Name() string { return s.config.Name }

// HealthPath is the path of an instance's own health report.
func (s *Service) HealthPath() string { return s.config.HealthPath }

// Connections is how many connections an instance accepts from all VMs together.
func (s *Service) Connections() int { return s.config.Connections }

// Warmup is how long an instance is cold after its start.
func (s *Service) Warmup() time.Duration { return s.config.Warmup }

// WarmupRate is how many requests a second a cold instance bears from all VMs
// together.
func (s *Service) WarmupRate() float64 { return s.config.WarmupRate }
