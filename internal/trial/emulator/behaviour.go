package emulator

import (
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Duration is a time.Duration with a text form such as "20ms".
type Duration time.Duration

// UnmarshalText parses text with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText returns the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Behaviour holds the limits and faults of a target. With the zero value the
// target responds at once and without faults.
type Behaviour struct {
	Latency       Duration `json:"latency" help:"Mean of the exponentially distributed service time." default:"0s"`
	Slots         int      `json:"slots" help:"Requests that run at the same time; others queue. 0 means no limit." default:"0"`
	ColdStart     Duration `json:"cold_start" help:"Length of the ramp after a start. A cold target bears the part of its slots that has warmed up; more load fails and begins the ramp again." default:"0s"`
	FailPrefix    string   `json:"fail_prefix" help:"Requests whose path begins so run and are answered 500." placeholder:"PATH"`
	HangPrefix    string   `json:"hang_prefix" help:"Requests whose path begins so run and are never answered." placeholder:"PATH"`
	FlapPeriod    Duration `json:"flap_period" help:"All requests fail with 500 in the second half of each period." default:"0s"`
	DropShare     float64  `json:"drop_share" help:"Share of requests that run and whose connection is then closed without an answer." default:"0"`
	TruncateShare float64  `json:"truncate_share" help:"Share of answers that end halfway." default:"0"`
	RefuseShare   float64  `json:"refuse_share" help:"Share of requests that are refused with 503 and Chestnutbay-Not-Run, and do not run." default:"0"`
	LyingHealth   bool     `json:"lying_health" help:"Answer 200 at /healthz whatever is wrong."`
}

// Check returns all problems as one joined error, or nil.
func (b Behaviour) Check() error {
	var problems []error
	for _, d := range []struct {
		name  string
		value Duration
	}{{"latency", b.Latency}, {"cold start", b.ColdStart}, {"flap period", b.FlapPeriod}} {
		if d.value < 0 {
			problems = append(problems, merry.Errorf("%s must not be negative", d.name))
		}
	}
	if b.Slots < 0 {
		problems = append(problems, merry.New("slots must not be negative"))
	}
	if b.ColdStart > 0 && b.Slots == 0 {
		problems = append(problems, merry.New("cold start needs slots"))
	}
	sum := 0.0
	for _, s := range []float64{b.DropShare, b.TruncateShare, b.RefuseShare} {
		if !(s >= 0 && s <= 1) {
			problems = append(problems, merry.Errorf("share %g must be from 0 to 1", s))
		}
		sum += s
	}
	if sum > 1 {
		problems = append(problems, merry.New("the shares must not add up to more than 1"))
	}
	return errors.Join(problems...)
}

// fault is the fault that is injected into one request.
type fault interface{ fault() }

type (
	// noFault is a request that runs and gets its response.
	noFault struct{}
	// refusal is a request that gets status 503 and does not run.
	refusal struct{}
	// failure is a request that runs and gets status 500.
	failure struct{}
	// hang is a request that runs and gets no response until its client disconnects.
	hang struct{}
	// drop is a request that runs and whose connection is closed without a response.
	drop struct{}
	// truncation is a request that runs and whose response ends halfway.
	truncation struct{}
)

func (noFault) fault()    {}
func (refusal) fault()    {}
func (failure) fault()    {}
func (hang) fault()       {}
func (drop) fault()       {}
func (truncation) fault() {}

// drawFault chooses the fault of one request. age is the time since the
// behaviour was set. All shares are compared with the same random number, so
// that a request is subject to at most one of them.
func (b Behaviour) drawFault(path string, age time.Duration, random *rand.Rand) fault {
	x := random.Float64()
	switch {
	case x < b.RefuseShare:
		return refusal{}
	case b.flapsDown(age), hasPrefix(path, b.FailPrefix):
		return failure{}
	case hasPrefix(path, b.HangPrefix):
		return hang{}
	case x < b.RefuseShare+b.DropShare:
		return drop{}
	case x < b.RefuseShare+b.DropShare+b.TruncateShare:
		return truncation{}
	}
	return noFault{}
}

// flapsDown reports whether a flapping target fails its requests at age, the
// time since the behaviour was set.
func (b Behaviour) flapsDown(age time.Duration) bool {
	period := time.Duration(b.FlapPeriod)
	return period > 0 && age%period >= period/2
}

// hasPrefix reports whether path begins with prefix. An empty prefix matches no
// path.
func hasPrefix(path, prefix string) bool {
	return prefix != "" && strings.HasPrefix(path, prefix)
}
