// Package kernel contains the plug-in registry and runs the parts of a node. It
// depends on no plug-in: a plug-in package registers a factory in its init
// function, and the program imports the plug-ins that it ships.
//
// # Usage
//
// A plug-in registers itself under a kind and a name:
//
//	func init() { kernel.Register("log", "memory", kernel.Factory[journal.Log](open)) }
//
// The program builds the one that the settings name:
//
//	log, err := kernel.Build[journal.Log]("log", settings.Log().Plugin(), options)
//
// A Group starts parts and stops them together:
//
//	var g kernel.Group
//	g.Add("follower", follower.Run)
//	err := g.Run(ctx)
package kernel

import (
	"context"
	"fmt"
	"sort"
	"sync"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"
)

// ErrUnknownPlugin reports a plug-in name that no imported package registered.
var ErrUnknownPlugin = merry.Sentinel("unknown plug-in")

// Decoder decodes a plug-in's options into v. Unknown keys are errors.
type Decoder func(v any) error

// Factory builds a plug-in from its options.
type Factory[T any] func(decode Decoder) (T, error)

type pluginID struct {
	kind string
	name string
}

var registry struct {
	sync.Mutex
	factories map[pluginID]any
}

// Register adds a plug-in. It panics when the same kind and name are
// registered twice, which is a mistake in the program's imports.
func Register[T any](kind, name string, f Factory[T]) {
	registry.Lock()
	defer registry.Unlock()
	id := pluginID{kind: kind, name: name}
	if _, ok := registry.factories[id]; ok {
		panic(fmt.Sprintf("kernel: plug-in %s/%s is registered twice", kind, name))
	}
	if registry.factories == nil {
		registry.factories = make(map[pluginID]any)
	}
	registry.factories[id] = f
}

// Names returns the sorted names of the registered plug-ins of a kind.
func Names(kind string) []string {
	registry.Lock()
	defer registry.Unlock()
	var names []string
	for id := range registry.factories {
		if id.kind == kind {
			names = append(names, id.name)
		}
	}
	sort.Strings(names)
	return names
}

// Build builds the plug-in that is registered under a kind and a name. The error
// matches ErrUnknownPlugin if there is no such plug-in, or if its factory builds
// another type than T.
func Build[T any](kind, name string, decode Decoder) (T, error) {
	var zero T
	registry.Lock()
	factory, ok := registry.factories[pluginID{kind: kind, name: name}]
	registry.Unlock()
	if !ok {
		return zero, merry.Errorf("kernel.Build: %s %q, known are %v: %w", kind, name, Names(kind), ErrUnknownPlugin)
	}
	f, ok := factory.(Factory[T])
	if !ok {
		return zero, merry.Errorf("kernel.Build: %s %q has a factory for another type: %w", kind, name, ErrUnknownPlugin)
	}
	v, err := f(decode)
	if err != nil {
		return zero, merry.Prependf(err, "kernel.Build: %s %s", kind, name)
	}
	return v, nil
}

// Part is a long-running function of a node. It must return when ctx ends.
type Part func(ctx context.Context) error

type namedPart struct {
	name string
	run  Part
}

// Group runs the parts of a node together. The zero value is ready to use.
type Group struct {
	parts []namedPart
}

// Add appends a part. It has no effect on a group that already runs.
func (g *Group) Add(name string, run Part) {
	g.parts = append(g.parts, namedPart{name: name, run: run})
}

// Run starts every part and waits for all of them. The first error cancels the
// context of all parts and is returned with the name of the part that failed.
func (g *Group) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	for _, p := range g.parts {
		eg.Go(func() error {
			if err := p.run(ctx); err != nil {
				return merry.Prependf(err, "kernel.Group: part %s", p.name)
			}
			return nil
		})
	}
	return eg.Wait()
}
