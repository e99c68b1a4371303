package entry

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// balancerLag is how long the balancer in front may go on sending connections
	// after readiness has turned: two questions, a second apart, and their answers.
	balancerLag = 2500 * time.Millisecond
	// exitTime is kept of the grace for the end of the process.
	exitTime = 300 * time.Millisecond
	// defaultGrace is the time of a planned stop if the settings name none.
	defaultGrace = 30 * time.Second
)

// stop takes the VM out of service without cutting a request off: readiness turns
// first, what still arrives is served, then the listeners close and the requests
// in progress finish.
func (v *VM) stop() {
	grace := time.Duration(v.grace.Load())
	if grace <= 0 {
		grace = defaultGrace
	}
	began := time.Now()
	v.leaving.Store(true)
	v.server.Leave()
	v.config.Logger.Info("planned stop begins", zap.Int("in_flight", v.server.InFlight()), zap.Duration("grace", grace))
	time.Sleep(min(balancerLag, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-exitTime))
	defer cancel()
	if err := v.server.Shutdown(ctx); err != nil {
		v.config.Logger.Warn("requests were cut off at the end of the grace", zap.Int("in_flight", v.server.InFlight()))
		v.server.Close()
	}
	v.gossip.Leave()
}
