package settings

import "time"

// Defaults and limits of a planned stop.
const (
	// DefaultLag covers the time that a balancer takes to notice that a node is not
	// ready.
	DefaultLag = 5 * time.Second
	// DefaultLimit lets a 20-minute upload finish, with a margin.
	DefaultLimit = 30 * time.Minute
	// MaxLag is the longest lag that can be set.
	MaxLag = 5 * time.Minute
	// MaxLimit is the longest limit that can be set for requests in flight.
	MaxLimit = 24 * time.Hour
)

// Shutdown holds the times of a planned stop.
type Shutdown struct {
	lag   time.Duration
	limit time.Duration
	file  shutdownFile
}

type shutdownFile struct {
	Lag   string `yaml:"lag" doc:"Time between turning unready and closing the listeners. It must cover the balancer's lag."`
	Limit string `yaml:"limit" doc:"Longest time that requests in flight may take to finish."`
}

func (s *Shutdown) key() string { return "shutdown" }

func (*Shutdown) about() string {
	return "The times of a planned stop, see [operators.md](operators.md#planned-stops)."
}

func (s *Shutdown) yamlFields() any {
	s.file = shutdownFile{Lag: DefaultLag.String(), Limit: DefaultLimit.String()}
	return &s.file
}

func (s *Shutdown) load(c *checks) {
	s.lag = c.parseDuration("lag", s.file.Lag, 0, MaxLag)
	s.limit = c.parseDuration("limit", s.file.Limit, time.Second, MaxLimit)
}

// Lag returns the time between turning unready and closing the listeners.
func (s Shutdown) Lag() time.Duration { return s.lag }

// Limit returns the longest time that requests in flight may take to finish.
func (s Shutdown) Limit() time.Duration { return s.limit }
