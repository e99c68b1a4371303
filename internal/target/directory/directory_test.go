package directory_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/target/directory"
)

func instance(id, zone string, change func(*directory.Registration)) *directory.Instance {
	r := directory.Registration{ID: id, Service: "orders", Address: "10.0.0.1:80", Zone: zone, Slots: 2, Started: 1}
	if change != nil {
		change(&r)
	}
	return directory.NewInstance(r)
}

func ids(list []*directory.Instance) []string {
	var names []string
	for _, i := range list {
		names = append(names, i.ID())
	}
	return names
}

// TestServing guards against listing instances that are leaving, that are in a zone
// taken out of service, or that have moved to another service.
func TestServing(t *testing.T) {
	is := is.New(t)
	var d directory.Directory
	is.True(d.Put(instance("b", "north", nil)))
	is.True(d.Put(instance("a", "south", nil)))
	is.Equal(ids(d.Serving("orders")), []string{"a", "b"})

	is.True(!d.Put(instance("a", "south", func(r *directory.Registration) { r.Leaving = true })))
	is.Equal(ids(d.Serving("orders")), []string{"b"})

	is.True(d.SetZoneOut("north", true))
	is.True(!d.SetZoneOut("north", true)) // no change
	is.Equal(len(d.Serving("orders")), 0)
	d.Put(instance("c", "north", nil))
	is.Equal(len(d.Serving("orders")), 0) // c registered while its zone is out of service
	d.SetZoneOut("north", false)
	is.Equal(ids(d.Serving("orders")), []string{"b", "c"})

	d.Put(instance("c", "north", func(r *directory.Registration) { r.Service = "returns" }))
	is.Equal(ids(d.Serving("orders")), []string{"b"})
	is.Equal(ids(d.Serving("returns")), []string{"c"})
	is.True(d.Remove("b"))
	is.True(!d.Remove("b"))
	is.Equal(len(d.Serving("orders")), 0)
}

// TestStartedAgain guards against Put not reporting a restart under the same ID, so
// that observations of the earlier start would be kept for the new one.
func TestStartedAgain(t *testing.T) {
	is := is.New(t)
	var d directory.Directory
	d.Put(instance("a", "north", nil))
	is.True(d.Put(instance("a", "north", func(r *directory.Registration) { r.Started = 2 })))
}

// TestColdAfterZoneReturns guards against instances that still count as warm after
// their zone was put back into service.
func TestColdAfterZoneReturns(t *testing.T) {
	is := is.New(t)
	var d directory.Directory
	d.Put(instance("a", "north", nil))
	d.Put(instance("b", "south", nil))
	until := time.Now().Add(time.Hour)
	d.MarkZoneCold("north", func(string) time.Time { return until })
	list := d.Serving("orders")
	is.Equal(list[0].ColdUntil(), until)
	is.True(list[1].ColdUntil().IsZero())
}
