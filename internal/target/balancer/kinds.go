package balancer

import (
	"math"
	"time"
)

// mixDecayTime is the time in which the weight of a request in a requestMix falls to
// 1/e.
const mixDecayTime = 20 * time.Second

// requestMix counts this VM's idempotent requests and all its requests for a service.
// The weight of a request decays with its age.
type requestMix struct {
	updated    time.Time
	idempotent float64
	total      float64
}

func (m *requestMix) add(now time.Time, idempotent bool) {
	decay := math.Exp(-now.Sub(m.updated).Seconds() / mixDecayTime.Seconds())
	m.updated = now
	m.total = m.total*decay + 1
	m.idempotent *= decay
	if idempotent {
		m.idempotent++
	}
}

// enoughIdempotent reports whether enough of the requests are idempotent to test
// unused instances with them alone, so that requests which cannot be retried need not
// risk a failure there.
func (m *requestMix) enoughIdempotent() bool { return m.idempotent >= minIdempotentShare*m.total }
