package history

import (
	"sync"
	"time"
)

// MaxExecutions is the largest number of executions that a Recorder keeps. Each
// takes about 100 bytes.
const MaxExecutions = 200_000

// Recorder keeps the latest executions of a target. The zero value is empty. It
// is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	ring    []Execution
	oldest  int // index of the oldest execution once the ring is full
	dropped int // number of executions that were dropped
}

// Add records the execution of a request. A full recorder drops its oldest
// execution.
func (r *Recorder) Add(id string, arrived time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := Execution{ID: id, Arrived: arrived}
	if len(r.ring) < MaxExecutions {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.oldest] = e
	r.oldest = (r.oldest + 1) % MaxExecutions
	r.dropped++
}

// Record returns the executions that were recorded and not dropped.
func (r *Recorder) Record(target string) Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Execution, 0, len(r.ring))
	list = append(list, r.ring[r.oldest:]...)
	list = append(list, r.ring[:r.oldest]...)
	return Record{Target: target, Executions: list, Dropped: r.dropped}
}
