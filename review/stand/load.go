package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// The load of stopUnderLoad, and the rule's slack.
const (
	loadVMs    = 3
	stoppedVMs = 2 // of one zone at a time, so that fewer than half are in rotation
	// clientsAtStopped and clientsAtOther are the clients of each VM that is stopped and of
	// the one that is not. A VM may have 4,100 descriptors.
	clientsAtStopped = 2600
	clientsAtOther   = 400
	// minClients is how many of them the case needs.
	minClients = 1500
	// otherDescriptors is how many descriptors this process needs besides these clients'.
	otherDescriptors = 2500
	orderBytes       = 300
	// stops is how often the VMs are stopped and started again.
	stops = 3
	// loadBefore is the time between the start of the load and the SIGTERM.
	loadBefore = 2 * time.Second
	// loadAfter is the time from the SIGTERM until the end of the load.
	loadAfter    = 4 * time.Second
	loadDeadline = 5 * time.Second
	// lossSlack is lossSlackS of the deployment.
	lossSlack = 200 * time.Millisecond
	// tally is the interval of the sums in the record.
	tally = 100 * time.Millisecond
)

// tallies counts how requests ended, by the time at which the client knew.
type tallies struct {
	mu     sync.Mutex
	start  time.Time
	counts []map[string]int
}

func (t *tallies) add(at time.Time, end string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := int(at.Sub(t.start) / tally)
	for len(t.counts) <= n {
		t.counts = append(t.counts, make(map[string]int))
	}
	t.counts[n][end]++
}

// stopUnderLoad stops two of a zone's three VMs as planned while many clients send orders.
// Since fewer than half of the zone's VMs are in rotation, the platform goes on using all.
func stopUnderLoad(program string, trouble bool) (*record, error) {
	w, err := newWorld(program, loadVMs, true, func(i *instance) { i.quiet = true })
	defer w.close()
	if err != nil {
		return w.record, err
	}
	if clientsPerVM() < minClients {
		return w.record, errors.New("this process may open too few descriptors")
	}
	lost := 0
	for n := range stops {
		lost += w.stopOnce(n+1, trouble)
		if !trouble || n == stops-1 {
			continue
		}
		for _, v := range w.vms[:stoppedVMs] {
			v.kill() // It has ended by itself.
			if err := v.start(false); err != nil {
				return w.record, err
			}
		}
		for _, v := range w.vms[:stoppedVMs] {
			if err := v.awaitReady(); err != nil {
				return w.record, err
			}
		}
	}
	if lost > 0 {
		return w.record, fmt.Errorf("%w: LOST: %d orders were read whole by a VM in a planned stop, and their connections closed without an answer over %v after the last byte was sent", errBroken, lost, lossSlack)
	}
	return w.record, nil
}

// clientsPerVM returns the clients of each VM that is stopped: fewer where this process may
// not open as many descriptors.
func clientsPerVM() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return clientsAtStopped
	}
	return int(max(min(limit.Cur, otherDescriptors+stoppedVMs*clientsAtStopped)-otherDescriptors, stoppedVMs)) / stoppedVMs
}

// stopOnce stops VMs once under load, and returns how many orders broke the rule.
func (w *world) stopOnce(n int, trouble bool) int {
	began := time.Now()
	ends := &tallies{start: began}
	stop := began.Add(loadBefore)
	var lost atomic.Int64
	var group errgroup.Group
	clients := clientsPerVM()
	for k := range stoppedVMs*clients + clientsAtOther {
		group.Go(func() error {
			l := loadClient{world: w, vm: min(k/clients, loadVMs-1), name: fmt.Sprintf("%d-%d", n, k), ends: ends}
			for time.Now().Before(stop.Add(loadAfter)) {
				if !l.send() {
					lost.Add(1)
				}
			}
			l.disconnect()
			return nil
		})
	}
	time.Sleep(time.Until(stop))
	if trouble {
		for _, v := range w.vms[:stoppedVMs] {
			v.signal(syscall.SIGTERM)
		}
	}
	_ = group.Wait()
	for i, c := range ends.counts {
		w.record.addf("stop %d, ended from %.1f s to %.1f s after the start of the load: %v", n, (time.Duration(i) * tally).Seconds(), (time.Duration(i+1) * tally).Seconds(), c)
	}
	w.record.addf("stop %d: read whole and closed without an answer over %v after the last byte was sent: %d", n, lossSlack, lost.Load())
	return int(lost.Load())
}

// loadClient sends one order after another to one VM, on a connection that it keeps as
// long as the VM lets it.
type loadClient struct {
	world *world
	vm    int
	name  string
	ends  *tallies
	conn  *client
	sent  int
}

func (l *loadClient) disconnect() {
	if l.conn != nil {
		l.conn.close()
		l.conn = nil
	}
}

// send sends an order. It returns false if a VM had read it whole and closed the
// connection without an answer, later than the slack of the rule or once it had passed it
// on.
func (l *loadClient) send() bool {
	if l.conn == nil {
		c, err := dial(newRecord(), l.world.vms[l.vm].front())
		if err != nil {
			l.ends.add(time.Now(), "no connection")
			l.vm = loadVMs - 1 // the VM that is not stopped
			time.Sleep(10 * time.Millisecond)
			return true
		}
		l.conn = c
	}
	l.sent++
	q := request{id: "order-" + l.name + "-" + fmt.Sprint(l.sent), method: http.MethodPost, path: orderPath + "2f", body: orderBody, workMs: 5, deadline: loadDeadline, header: orderHeader}
	o := l.conn.do(q)
	if o.status != 0 {
		l.ends.add(o.end, fmt.Sprint(o.status))
		if o.closing {
			l.disconnect()
		}
		return true
	}
	l.disconnect()
	// The close of a connection with unread bytes resets it. An orderly close shows that
	// the VM had read all that was sent.
	waited := o.end.Sub(o.sent)
	runs := l.world.ran(q.id)
	switch {
	case isTimeout(o.err):
		l.ends.add(o.end, "deadline")
	case errors.Is(o.err, syscall.ECONNRESET) || errors.Is(o.err, syscall.EPIPE):
		l.ends.add(o.end, "reset")
	default:
		l.ends.add(o.end, "closed without an answer")
		l.world.record.addf("%s to %s: read whole, run %d times, closed without an answer %v after its last byte: %v",
			q.id, l.world.vms[l.vm].name, runs, waited.Round(time.Millisecond), o.err)
		return waited <= lossSlack && runs == 0
	}
	return true
}

// orderBody is the body of each order.
var orderBody = strings.Repeat("o", orderBytes)

// orderHeader holds the header lines that a client's software adds, such as cookies and
// tracing.
var orderHeader = strings.Repeat("X-Trace: "+strings.Repeat("t", 80)+"\r\n", 12)
