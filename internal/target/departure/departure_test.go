package departure_test

import (
	"testing"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/target/departure"
	"chestnutbay.dev/chestnutbay/internal/target/directory"
)

// vm is one VM's list of instances and its notices.
type vm struct {
	directory directory.Directory
	notices   *departure.Notices
	urgent    bool
}

func newVM() *vm {
	v := &vm{}
	v.notices = departure.New(departure.Config{Directory: &v.directory, Changed: func(urgent bool) { v.urgent = urgent }})
	return v
}

// register puts the registration of instance i-1 and returns it.
func (v *vm) register(started int64) *directory.Instance {
	i := directory.NewInstance(directory.Registration{ID: "i-1", Service: "orders", Address: "10.0.0.1:80", Zone: "north", Started: started})
	v.directory.Put(i)
	return i
}

func (v *vm) serving() int { return len(v.directory.Serving("orders")) }

// TestEveryVM guards against VMs that send requests to an instance that told another VM
// that it is leaving, also if one report of that is lost.
func TestEveryVM(t *testing.T) {
	is := is.New(t)
	a, b := newVM(), newVM()
	i := a.register(1)
	b.register(1)
	a.notices.Record(i)
	is.True(a.urgent)
	is.Equal(a.serving(), 0)
	a.notices.Reports() // lost
	is.True(a.notices.Dirty())
	b.notices.Observe(a.notices.Reports())
	is.Equal(b.serving(), 0)
	is.True(!a.notices.Dirty())
	is.True(!b.notices.Dirty()) // it is not reported on
	a.notices.Record(i)
	is.True(!a.notices.Dirty()) // and only once
}

// TestRunOfInstance guards against a departure that is forgotten while the same run of
// the instance goes on, and against one that applies to another run.
func TestRunOfInstance(t *testing.T) {
	for _, tt := range []struct {
		name    string
		change  func(v *vm)
		serving int
	}{
		{name: "its entry is written again", change: func(v *vm) { v.register(5) }},
		{name: "its entry expires and returns", change: func(v *vm) { v.directory.Remove("i-1"); v.register(5) }},
		{name: "its zone returns", change: func(v *vm) { v.directory.SetZoneOut("north", true); v.directory.SetZoneOut("north", false) }},
		{name: "it starts again", change: func(v *vm) { v.register(6) }, serving: 1},
		{name: "it starts again with a clock that was set back", change: func(v *vm) { v.register(4) }, serving: 1},
		{name: "an old notice arrives late", change: func(v *vm) {
			v.register(6)
			v.notices.Observe([]departure.Notice{{Instance: "i-1", Started: 5}})
		}, serving: 1},
		{name: "the new run leaves too", change: func(v *vm) { v.notices.Record(v.register(4)) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			v := newVM()
			v.notices.Record(v.register(5))
			tt.change(v)
			is.New(t).Equal(v.serving(), tt.serving)
		})
	}
}

// TestNoticeBeforeRegistration guards against requests to a leaving instance whose
// registration arrives after the notice.
func TestNoticeBeforeRegistration(t *testing.T) {
	v := newVM()
	v.notices.Observe([]departure.Notice{{Instance: "i-1", Started: 5}})
	v.register(5)
	is.New(t).Equal(v.serving(), 0)
}

// TestUnknownStart guards against an instance without a start time that never gets
// requests again: its removal is the only sign of a new start.
func TestUnknownStart(t *testing.T) {
	v := newVM()
	v.notices.Record(v.register(0))
	v.directory.Remove("i-1")
	v.register(0)
	is.New(t).Equal(v.serving(), 1)
}
