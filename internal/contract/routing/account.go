package routing

// AccountConfig is the operator's configuration of a client account.
type AccountConfig struct {
	// Name identifies the account. Targets also see it.
	Name string
	// Keys lists the valid keys of the account.
	Keys []string
	// Rate is the limit on the account's requests per second over all VMs. 0 means no
	// limit.
	Rate float64
	// Burst is how many requests the account may make at once beyond its rate.
	Burst float64
	// Priority replaces the route's priority for the account's requests if HasPriority
	// is set.
	Priority    int
	HasPriority bool
}

// Account is a client account. It is immutable.
type Account struct {
	config AccountConfig
}

// Name returns the name that identifies the account.
func (a *Account) Name() string { return a.config.Name }

// Limited reports whether the account has a rate limit.
func (a *Account) Limited() bool { return a.config.Rate > 0 }

// Rate returns the limit on the account's requests per second over all VMs. 0 means no
// limit.
func (a *Account) Rate() float64 { return a.config.Rate }

// Burst returns how many requests the account may make at once beyond its rate.
func (a *Account) Burst() float64 { return a.config.Burst }

// Priority returns the priority of the account's requests on a route; 0 is the highest.
// A nil account has the route's priority.
func (a *Account) Priority(r *Route) int {
	if a != nil && a.config.HasPriority {
		return a.config.Priority
	}
	return r.Priority()
}
