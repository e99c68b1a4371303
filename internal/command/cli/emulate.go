package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/trial/emulator"
)

type emulateCommand struct {
	emulator.Behaviour
	Listen   string `help:"Address of the target (ip:port). Port 0 picks a free one." default:"127.0.0.1:0" placeholder:"ADDRESS"`
	Control  string `help:"Address of the control API (ip:port). Port 0 picks a free one." default:"127.0.0.1:0" placeholder:"ADDRESS"`
	Name     string `help:"Name of the target in its answers." default:"target"`
	Seed     uint64 `help:"Seed of the random numbers." default:"1"`
	UntilEOF bool   `name:"until-eof" help:"Stop when standard input ends, as it does when the process that started this one is gone."`
}

// Help returns the detailed help text of the subcommand.
func (emulateCommand) Help() string {
	return `Runs a target with gray failures, to try a fleet out. Its two addresses are printed
first, one on a line. It answers every request with what it saw of it as JSON, or
with as many bytes as the query parameter "size" says, and tells its health at
/healthz. Stop it with Ctrl-C.

The control API changes a running target. It has no authentication: keep it on a
loopback address.

  GET  /behaviour   the behaviour
  POST /behaviour   changes the fields that the JSON body names
  POST /restart     breaks all connections and begins a cold start, unannounced
  GET  /history     the identities of the requests that ran, with their arrival

Examples:
  chestnutbay emulate --listen 127.0.0.1:9001 --control 127.0.0.1:9101 --slots 4 --latency 20ms
  curl -d '{"fail_prefix":"/order"}' http://127.0.0.1:9101/behaviour
  curl -X POST http://127.0.0.1:9101/restart`
}

// Run runs the target and its control API until the process is interrupted or, with
// --until-eof, standard input ends.
func (c emulateCommand) Run(a *app) error {
	target := emulator.New(c.Name, c.Seed)
	if err := target.SetBehaviour(c.Behaviour); err != nil {
		return usageError{err}
	}
	listeners, err := listenAll([]string{c.Listen, c.Control})
	if err != nil {
		return merry.Prepend(err, "emulate")
	}
	fmt.Fprintf(a.Stdout, "target %s\ncontrol %s\n", listeners[0].Addr(), listeners[1].Addr())
	ctx := a.ctx
	if c.UntilEOF {
		ctx = untilEOF(ctx, os.Stdin)
	}
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error { return target.Serve(ctx, listeners[0]) })
	eg.Go(func() error { return emulator.ServeHandler(ctx, listeners[1], target.Control()) })
	return eg.Wait()
}

// untilEOF returns a context that ends when r does. Nothing waits for the goroutine
// that reads r, because r may still be open when the command has finished.
func untilEOF(parent context.Context, r io.Reader) context.Context {
	ctx, cancel := context.WithCancel(parent)
	time.AfterFunc(0, func() {
		defer cancel()
		_, _ = io.Copy(io.Discard, r) // A read error counts as the end, too.
	})
	return ctx
}
