package main_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/trial/history"
)

// callers send requests that must run at most once, each one as soon as the previous
// one has ended, and record the results.
type callers struct {
	mu      sync.Mutex
	history history.History
}

const (
	callersPerNode = 4
	historyRate    = 40
	historyBurst   = 2 * historyRate
	// freezeTime is longer than the time for which leases and evidence remain
	// valid.
	freezeTime = 7 * time.Second
)

// run starts callersPerNode callers at a node. They stop when ctx ends.
func (c *callers) run(ctx context.Context, g *errgroup.Group, n *fleetNode) {
	client := &http.Client{Timeout: 3 * time.Second}
	for i := range callersPerNode {
		g.Go(func() error {
			defer client.CloseIdleConnections()
			for k := 0; ctx.Err() == nil; k++ {
				a := history.Attempt{ID: fmt.Sprintf("%s-%d-%d", n.id, i, k), Account: callerAccount, Sent: time.Now()}
				a.Status, a.Outcome = post(client, n, a.ID)
				c.mu.Lock()
				c.history.AddAttempt(a)
				c.mu.Unlock()
				if a.Status != http.StatusOK {
					<-time.After(10 * time.Millisecond)
				}
			}
			return nil
		})
	}
}

// post sends a request that is not idempotent. It returns status 0 when no complete
// response was received.
func post(client *http.Client, n *fleetNode, id string) (status int, outcome string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.callers+"/lookup/order", http.NoBody)
	if err != nil {
		return 0, ""
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set(history.IDHeader, id)
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, ""
	}
	return resp.StatusCode, resp.Header.Get("Chestnutbay-Outcome")
}

// Guards against an account that exceeds its rate and burst, a request that runs
// twice, and a request that runs although the fleet reported that it did not. Two
// nodes are frozen in turn for longer than their leases, and the third is killed.
// The log is unavailable for a part of that time.
func TestHistoryOverFreezesAndKill(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	targets := []string{f.startTarget(t, "north", "target-1"), f.startTarget(t, "south", "target-2")}
	f.startNodes(t)
	f.publish(t, f.nodes[0], serviceDocument)
	f.publish(t, f.nodes[0], contractDocument(historyRate, callerKey))
	for _, n := range f.nodes {
		f.waitStatus(t, n, callerKey, "/lookup/1", http.StatusOK)
	}

	var c callers
	var g errgroup.Group
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, n := range f.nodes {
		c.run(ctx, &g, n)
	}
	<-time.After(2 * time.Second)
	for i, n := range f.nodes[:2] {
		f.platform.setLogUnavailable(i == 1)
		n.signal(t, syscall.SIGSTOP)
		<-time.After(freezeTime)
		n.signal(t, syscall.SIGCONT)
		<-time.After(time.Second)
	}
	f.nodes[2].signal(t, syscall.SIGKILL)
	<-time.After(freezeTime)
	f.platform.setLogUnavailable(false)
	for _, n := range f.nodes[:2] {
		f.waitStatus(t, n, callerKey, "/lookup/1", http.StatusOK) // The remaining nodes recover.
	}
	cancel()
	is.NoErr(g.Wait())

	for _, address := range targets {
		c.history.AddRecord(f.readRecord(t, address))
	}
	c.history.AddAllowance(callerAccount, history.Allowance{Rate: historyRate, Burst: historyBurst})
	t.Log(c.history.Counts())
	for _, v := range c.history.Violations() {
		t.Error(v)
	}
	if n := c.history.Admitted(callerAccount); n < 5*historyRate {
		t.Errorf("only %d requests were admitted, too few for the check of the history", n)
	}
}
