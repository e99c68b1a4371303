package entry

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// loadBalancerLag is how long the load balancer in front of the fleet may go on
	// opening connections after this VM has stopped reporting that it is ready: the
	// time of two readiness checks, one second apart, and their responses.
	loadBalancerLag = 2500 * time.Millisecond
	// exitReserve is the part of the grace period that is reserved for the exit of the
	// process.
	exitReserve = 300 * time.Millisecond
	// defaultGracePeriod is the grace period of a planned stop if the settings contain
	// none.
	defaultGracePeriod = 30 * time.Second
)

// stop takes the VM out of service without cutting off requests. First the VM reports
// that it is not ready, while it still serves new requests; then it closes the listeners
// and waits for the requests in progress. Requests that are still in progress at the end
// of the grace period are cut off.
func (v *VM) stop() {
	gracePeriod := time.Duration(v.gracePeriod.Load())
	if gracePeriod <= 0 {
		gracePeriod = defaultGracePeriod
	}
	began := time.Now()
	v.leaving.Store(true)
	v.server.Leave()
	v.config.Logger.Info("planned stop begins", zap.Int("in_flight", v.server.InFlight()), zap.Duration("grace", gracePeriod))
	time.Sleep(min(loadBalancerLag, gracePeriod/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(gracePeriod-exitReserve))
	defer cancel()
	if err := v.server.Shutdown(ctx); err != nil {
		v.config.Logger.Warn("requests were cut off at the end of the grace", zap.Int("in_flight", v.server.InFlight()))
		v.server.Close()
	}
	v.gossip.Leave()
}
