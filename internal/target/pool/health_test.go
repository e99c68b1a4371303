package pool_test

import (
	"testing"
	"time"

	"chestnutbay.dev/chestnutbay/internal/report/event"
	"chestnutbay.dev/chestnutbay/internal/target/evidence"
)

const faultyAddress = "10.0.0.0:80" // in zone north

// ejectionCounts counts the events of a fleet about ejections: of the faulty
// instance, of others, refused by the floor, and paths changed.
type ejectionCounts struct {
	ejected, others, refused, paths int
}

func (f *fleet) ejectionCounts() ejectionCounts {
	s := ejectionCounts{
		refused: countEvents[event.EjectionRefused](f, ""),
		paths:   countEvents[event.PathChanged](f, "target/"+faultyAddress),
		ejected: countEvents[event.Ejected](f, "target/"+faultyAddress),
	}
	s.others = countEvents[event.Ejected](f, "") - s.ejected
	return s
}

// Guards against instances with gray failures that stay in use, and against
// ejections of healthy instances because of failures that a caller, a path or the
// whole service causes.
func TestEjectsOnlyFailingInstances(t *testing.T) {
	onRoute := func(route string) func(string, string) (evidence.Outcome, bool) {
		return func(_, r string) (evidence.Outcome, bool) {
			return evidence.Outcome{Kind: evidence.Answered, Status: 500, FirstByte: time.Millisecond}, r == route
		}
	}
	onVM := func(vm string) func(string, string) (evidence.Outcome, bool) {
		return func(v, _ string) (evidence.Outcome, bool) {
			return evidence.Outcome{Kind: evidence.ConnectFailed}, v == vm
		}
	}
	for _, tt := range []struct {
		name   string
		inject func(f *fleet)
		load   float64
		ok     func(s ejectionCounts) bool
	}{
		{"refused connections are not detected", func(f *fleet) { f.targets[faultyAddress].fault = alwaysFail(evidence.ConnectFailed, 0) }, 1,
			func(s ejectionCounts) bool { return s.ejected > 0 && s.others == 0 }},
		{"timeouts are not detected", func(f *fleet) { f.targets[faultyAddress].fault = alwaysFail(evidence.TimedOut, 0) }, 1,
			func(s ejectionCounts) bool { return s.ejected > 0 && s.others == 0 }},
		{"failures on one route only are not detected", func(f *fleet) { f.targets[faultyAddress].fault = onRoute("order") }, 1,
			func(s ejectionCounts) bool { return s.ejected > 0 && s.others == 0 }},
		{"responses that are ten times slower are not detected", func(f *fleet) { f.targets[faultyAddress].slowdown = 10 }, 1,
			func(s ejectionCounts) bool { return s.ejected > 0 && s.others == 0 }},
		{"a broken path of one VM ejects the instance", func(f *fleet) { f.targets[faultyAddress].fault = onVM("vm00") }, 1,
			func(s ejectionCounts) bool { return s.ejected == 0 && s.others == 0 && s.paths > 0 }},
		{"an overload of the service ejects an instance", func(*fleet) {}, 4,
			func(s ejectionCounts) bool { return s.ejected == 0 && s.others == 0 }},
		{"an outage of the service ejects an instance", func(f *fleet) {
			for _, instance := range f.targets {
				instance.fault = alwaysFail(evidence.Answered, 500)
			}
		}, 1, func(s ejectionCounts) bool { return s.ejected == 0 && s.others == 0 }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			run(t, small(), nil, func(f *fleet) {
				f.warmUp()
				tt.inject(f)
				f.load(10*time.Second, tt.load)
				if s := f.ejectionCounts(); !tt.ok(s) {
					t.Errorf("%+v", s)
				}
				f.check()
			})
		})
	}
}

// Guards against ejections that stay short for an instance that passes probes but
// fails requests each time it comes back into use.
func TestFlappingLengthensEjection(t *testing.T) {
	run(t, small(), nil, func(f *fleet) {
		f.warmUp()
		f.targets[faultyAddress].fault = alwaysFail(evidence.Answered, 500)
		f.load(120*time.Second, 0.5)
		var last time.Duration
		for _, e := range f.eventsAbout("target/" + faultyAddress) {
			if e, ok := e.Event().(event.Ejected); ok {
				if last > 0 && e.For != min(2*last, 5*time.Minute) {
					t.Errorf("ejected for %s after %s", e.For, last)
				}
				last = e.For
			}
		}
		if last < 40*time.Second {
			t.Errorf("last ejection %s", last)
		}
		f.check()
	})
}

// Guards against ejections that take a service below its floor, also while owners
// in different zones cannot reach each other, and against ejections that stay in
// force when other instances are lost.
func TestFloorHoldsWhileOwnersAreCutOff(t *testing.T) {
	for _, tt := range []struct {
		name         string
		cut          bool
		eject        bool
		refuse       bool
		loseCapacity func(f *fleet)
	}{
		{"ejections go below the floor", false, true, true, func(*fleet) {}},
		{"ejections go below the floor during a partition", true, false, true, func(*fleet) {}},
		{"ejections stay although a zone is taken out of service", false, true, true, func(f *fleet) { f.setOut("west", true) }},
		{"ejections stay although instances leave", false, true, true, func(f *fleet) { f.leave("10.0.0.6:80"); f.leave("10.0.0.7:80") }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := small()
			l.floor = 0.6
			run(t, l, nil, func(f *fleet) {
				f.warmUp()
				if tt.cut {
					f.cutZones()
				}
				for n, address := range []string{"10.0.0.0:80", "10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80", "10.0.0.5:80"} {
					f.targets[address].fault = alwaysFail(evidence.Answered, 500+n)
				}
				f.load(3*time.Second, 1)
				tt.loseCapacity(f)
				f.load(time.Second, 1)
				s := f.ejectionCounts()
				if tt.eject != (s.ejected+s.others > 0) || tt.refuse != (s.refused > 0) {
					t.Errorf("%+v", s)
				}
				f.check()
			})
		})
	}
}
