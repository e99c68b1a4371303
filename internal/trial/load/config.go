package load

import (
	"errors"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"chestnutbay.dev/chestnutbay/internal/trial/history"
)

// Limits of one run.
const (
	// MaxRequests limits the time of the allowance check, which grows with the
	// square of the number of an account's requests.
	MaxRequests = 50_000
	// MaxDuration limits a run that nobody stops.
	MaxDuration = time.Hour
	// MaxCallers limits the number of open connections.
	MaxCallers = 1000
)

// Account is a client account that sends requests, with its key and the rate and
// burst of its contract.
type Account struct {
	name, key string
	allowance history.Allowance
}

// UnmarshalText reads NAME:KEY:RATE:BURST. Only the key may hold colons.
func (a *Account) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), ":")
	if len(parts) < 4 || parts[0] == "" {
		return merry.New("an account must be NAME:KEY:RATE:BURST")
	}
	last := len(parts) - 2
	rate, err := strconv.ParseFloat(parts[last], 64)
	burst, burstErr := strconv.ParseFloat(parts[last+1], 64)
	if err := errors.Join(err, burstErr); err != nil {
		return err
	}
	if !(rate > 0 && burst > 0) {
		return merry.New("an account's rate and burst must be positive")
	}
	a.name, a.key = parts[0], strings.Join(parts[1:last], ":")
	a.allowance = history.Allowance{Rate: rate, Burst: burst}
	return nil
}

// Config holds the addresses, the mix of requests and the limits of a run.
type Config struct {
	Nodes       []string      `name:"node" help:"Address of a node's callers' port (ip:port); may be repeated." required:"" placeholder:"ADDRESS"`
	Targets     []string      `name:"target" help:"Control address of an emulated target (ip:port); may be repeated. Name all targets of the service." required:"" placeholder:"ADDRESS"`
	Accounts    []Account     `name:"account" help:"Client account and the bounds of its contract; may be repeated." required:"" env:"CHESTNUTBAY_LOAD_ACCOUNTS" placeholder:"NAME:KEY:RATE:BURST"`
	Requests    int           `help:"Requests in all." default:"1000"`
	Duration    time.Duration `help:"Time after which no request is sent." default:"30s"`
	Callers     int           `help:"Requests at the same time, at most." default:"8"`
	Rate        float64       `help:"Requests per second in all. With 0 each caller sends when its last request is answered." default:"0"`
	Timeout     time.Duration `help:"Time after which a caller gives a request up." default:"10s"`
	Idempotent  float64       `help:"Share of requests that are idempotent (GET)." default:"0.5"`
	Uploads     float64       `help:"Share of requests that are uploads (POST with a body)." default:"0.1"`
	UploadBytes int64         `help:"Size of an upload." default:"65536"`
	ReadPath    string        `help:"Path of idempotent requests." default:"/lookup"`
	WritePath   string        `help:"Path of requests that are not idempotent." default:"/order"`
	UploadPath  string        `help:"Path of uploads." default:"/upload"`
	Seed        uint64        `help:"Seed of the order of accounts and kinds of requests." default:"1"`
	AllowRemote bool          `help:"Allow addresses that are not loopback. Only use it for fleets that are yours."`
}

// Check returns all problems as one joined error, or nil.
func (c Config) Check() error {
	var problems []error
	if len(c.Nodes) == 0 || len(c.Targets) == 0 || len(c.Accounts) == 0 {
		problems = append(problems, merry.New("a node, a target and an account are needed"))
	}
	names := make(map[string]bool)
	for _, account := range c.Accounts {
		if names[account.name] {
			problems = append(problems, merry.Errorf("account %s is named twice", account.name))
		}
		names[account.name] = true
	}
	for _, address := range append(c.Nodes[:len(c.Nodes):len(c.Nodes)], c.Targets...) {
		problems = append(problems, c.checkAddress(address))
	}
	if c.Requests < 1 || c.Requests > MaxRequests {
		problems = append(problems, merry.Errorf("requests must be from 1 to %d", MaxRequests))
	}
	if c.Duration <= 0 || c.Duration > MaxDuration {
		problems = append(problems, merry.Errorf("the duration must be positive and at most %s", MaxDuration))
	}
	if c.Callers < 1 || c.Callers > MaxCallers {
		problems = append(problems, merry.Errorf("callers must be from 1 to %d", MaxCallers))
	}
	if !(c.Rate >= 0) || c.Timeout <= 0 || c.Timeout > MaxDuration || c.UploadBytes < 0 {
		problems = append(problems, merry.Errorf("the rate and the size of uploads must not be negative, and the timeout must be positive and at most %s", MaxDuration))
	}
	if !(c.Idempotent >= 0 && c.Uploads >= 0 && c.Idempotent+c.Uploads <= 1) {
		problems = append(problems, merry.New("the shares must not be negative nor add up to more than 1"))
	}
	for _, path := range []string{c.ReadPath, c.WritePath, c.UploadPath} {
		if !strings.HasPrefix(path, "/") {
			problems = append(problems, merry.Errorf("path %q must begin with /", path))
		}
	}
	return errors.Join(problems...)
}

// checkAddress accepts only loopback addresses unless AllowRemote is set, so that
// a mistyped address does not send load to somebody else's machine.
func (c Config) checkAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return merry.Errorf("address %q must be an IP number and port", address)
	}
	if !c.AllowRemote && !a.Addr().Unmap().IsLoopback() {
		return merry.Errorf("address %s is not loopback; --allow-remote allows it", address)
	}
	return nil
}
