package pool

import (
	"time"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
)

// scanLimit is the maximum number of waiting requests that are tried for one free
// slot.
const scanLimit = 16

// waiter is a request that waits in the queue for a slot.
type waiter struct {
	params  acquireParams
	arrived time.Time
	reply   chan acquireReply
	queued  bool
}

// queue holds waiting requests. Within a class, client accounts are served in
// turn, so that one account's burst does not delay the others. The zero value is
// an empty queue.
type queue struct {
	interactive classQueue
	bulk        classQueue
}

// classQueue holds the waiting requests of one class.
type classQueue struct {
	accounts map[string][]*waiter
	turns    []string // accounts with waiting requests, in the order in which they are served
	length   int
}

func (q *queue) length() int { return q.interactive.length + q.bulk.length }

func (q *queue) ofClass(c contract.Class) *classQueue {
	if c == contract.Bulk {
		return &q.bulk
	}
	return &q.interactive
}

// push adds a request, ordered by arrival within its account. If its class already
// has limit waiting requests, push first removes and returns the newest request of
// the account with the most waiting requests. If adding w would give its own
// account at least as many as that account has, push does not add w and returns it.
func (q *queue) push(w *waiter, limit int) (dropped *waiter) {
	c := q.ofClass(w.params.Class)
	if c.length >= limit {
		account, n := c.longest()
		if len(c.accounts[w.params.Account])+1 >= n {
			return w
		}
		dropped = c.accounts[account][n-1]
		c.remove(dropped)
	}
	c.add(w)
	return dropped
}

func (c *classQueue) add(w *waiter) {
	if c.accounts == nil {
		c.accounts = make(map[string][]*waiter)
	}
	list := c.accounts[w.params.Account]
	if len(list) == 0 {
		c.turns = append(c.turns, w.params.Account)
	}
	list = append(list, w)
	for i := len(list) - 1; i > 0 && list[i].arrived.Before(list[i-1].arrived); i-- {
		list[i], list[i-1] = list[i-1], list[i]
	}
	c.accounts[w.params.Account] = list
	c.length++
	w.queued = true
}

func (c *classQueue) longest() (account string, n int) {
	for _, a := range c.turns {
		if len(c.accounts[a]) > n {
			account, n = a, len(c.accounts[a])
		}
	}
	return account, n
}

func (c *classQueue) remove(w *waiter) {
	account := w.params.Account
	list := c.accounts[account]
	for i, other := range list {
		if other != w {
			continue
		}
		w.queued = false
		c.length--
		c.accounts[account] = append(list[:i:i], list[i+1:]...)
		break
	}
	if len(c.accounts[account]) > 0 {
		return
	}
	delete(c.accounts, account)
	for i, a := range c.turns {
		if a == account {
			c.turns = append(c.turns[:i:i], c.turns[i+1:]...)
			return
		}
	}
}

// placeNext offers waiting requests to place until place accepts one, which it
// removes. It reports whether one was accepted. Bulk requests are offered only
// when no interactive request waits.
func (q *queue) placeNext(place func(*waiter) bool) bool {
	if q.interactive.length > 0 {
		return q.interactive.placeNext(place)
	}
	return q.bulk.placeNext(place)
}

func (c *classQueue) placeNext(place func(*waiter) bool) bool {
	tried := 0
	for turn, account := range c.turns {
		for _, w := range c.accounts[account] {
			if tried == scanLimit {
				return false
			}
			tried++
			if place(w) {
				c.finishTurn(turn, w)
				return true
			}
			if turn > 0 {
				break
			}
		}
	}
	return false
}

// finishTurn removes w and moves its account from position turn to the end of the
// order.
func (c *classQueue) finishTurn(turn int, w *waiter) {
	account := c.turns[turn]
	c.turns = append(append(c.turns[:turn:turn], c.turns[turn+1:]...), account)
	c.remove(w)
}

// drain removes and returns all waiting requests.
func (q *queue) drain() []*waiter {
	var all []*waiter
	for _, c := range []*classQueue{&q.interactive, &q.bulk} {
		for _, a := range c.turns {
			all = append(all, c.accounts[a]...)
		}
		*c = classQueue{}
	}
	for _, w := range all {
		w.queued = false
	}
	return all
}
