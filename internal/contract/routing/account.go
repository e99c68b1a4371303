package routing

// AccountConfig is what an operator says of a client account.
type AccountConfig struct {
	// Name identifies the account, also towards targets.
	Name string
	// Keys are the account's keys in force.
	Keys []string
	// Rate is how many requests a second the account may make, over all VMs. 0
	// means no limit.
	Rate float64
	// Burst is how many requests the account may make at once beyond its rate.
	Burst float64
	// Priority takes precedence over that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Account is a client account. It is immutable.
type Account struct {
	config AccountConfig
}

// Name identifies the account.
func (a *Account) Name() string { return a.config.Name }

// Limited reports whether the account has a rate.
func (a *Account) Limited() bool { return a.config.Rate > 0 }

// Rate is the account's requests a second over all VMs.
func (a *Account) Rate() float64 { return a.config.Rate }

// Burst is what the account may use at once beyond its rate.
func (a *Account) Burst() float64 { return a.config.Burst }

// Priority returns the rank of the account's requests on a route.
func (a *Account) Priority(r *Route) int {
	if a != nil && a.config.HasPriority {
		return a.config.Priority
	}
	return r.Priority()
}
