// Package staticroster implements a VM list that is part of the settings. It
// registers as the VM list plug-in "static".
//
// # Usage
//
//	list, err := kernel.Build[roster.List](roster.PluginKind, staticroster.Name, decode)
package staticroster

import (
	"context"

	"github.com/ansel1/merry/v2"

	"chestnutbay.dev/chestnutbay/internal/base/kernel"
	"chestnutbay.dev/chestnutbay/internal/platform/roster"
)

// Name is the plug-in's name.
const Name = "static"

func init() {
	kernel.Register(roster.PluginKind, Name, kernel.Factory[roster.List](open))
}

func open(decode kernel.Decoder) (roster.List, error) {
	var f roster.File
	if err := decode(&f); err != nil {
		return nil, err
	}
	listing, err := f.Listing()
	if err != nil {
		return nil, merry.Prepend(err, "staticroster")
	}
	return New(listing), nil
}

// List is a VM list with fixed content.
type List struct {
	listing roster.Listing
}

// New returns a list that always returns the listing.
func New(listing roster.Listing) *List {
	return &List{listing: listing}
}

// Read returns the listing.
func (l *List) Read(context.Context) (roster.Listing, error) {
	return l.listing, nil
}
