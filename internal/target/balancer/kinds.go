package balancer

import (
	"math"
	"time"
)

// kindsMemory is the time in which the weight of a request falls to 1/e in a kinds.
const kindsMemory = 20 * time.Second

// kinds counts the requests of this VM for a service. Older ones count less.
type kinds struct {
	at         time.Time
	idempotent float64
	all        float64
}

func (k *kinds) add(now time.Time, idempotent bool) {
	fade := math.Exp(-now.Sub(k.at).Seconds() / kindsMemory.Seconds())
	k.at = now
	k.all = k.all*fade + 1
	k.idempotent *= fade
	if idempotent {
		k.idempotent++
	}
}

// mostly reports whether enough of the requests are idempotent to do for the others
// what may cost a request.
func (k *kinds) mostly() bool { return k.idempotent >= idempotentShare*k.all }
