package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// secondSIGTERM stops a VM as planned while requests are in progress, and sends the
// SIGTERM a second time while the VM finishes them.
func secondSIGTERM(program string, trouble bool) (*record, error) {
	w, err := newWorld(program, 1, true, nil)
	defer w.close()
	if err != nil {
		return w.record, err
	}
	v := w.vms[0]
	var mu sync.Mutex
	var lost []string
	var group errgroup.Group
	for n := range 6 {
		c, err := dial(w.record, v.front())
		if err != nil {
			return w.record, err
		}
		group.Go(func() error {
			defer c.close()
			q := request{id: fmt.Sprintf("order-%d", n), method: "POST", path: orderPath + "2f", body: "x", workMs: 2000, deadline: 4 * time.Second}
			if o := c.do(q); o.status == 0 {
				mu.Lock()
				defer mu.Unlock()
				lost = append(lost, q.id)
			}
			return nil
		})
	}
	time.Sleep(300 * time.Millisecond)
	v.signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		v.signal(syscall.SIGTERM)
	}
	_ = group.Wait()
	if len(lost) > 0 {
		return w.record, fmt.Errorf("%w: LOST: no answer to %v, which were passed on to instances", errBroken, lost)
	}
	return w.record, nil
}
