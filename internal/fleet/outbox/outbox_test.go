package outbox_test

import (
	"testing"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/fleet/outbox"
)

// TestChanges guards against a change that is reported only once, so that a lost
// datagram hides it, and against one that is reported without end.
func TestChanges(t *testing.T) {
	is := is.New(t)
	var c outbox.Changes
	is.Equal(len(c.Take()), 0)
	c.Mark("orders")
	is.Equal(c.Take(), []string{"orders"})
	c.Mark("orders") // changed again before the second report
	is.Equal(c.Len(), 1)
	is.Equal(c.Take(), []string{"orders"})
	is.Equal(c.Take(), []string{"orders"})
	is.Equal(c.Len(), 0)
	is.Equal(len(c.Take()), 0)
	c.Mark("orders")
	c.Drop("orders")
	is.Equal(len(c.Take()), 0)
}
