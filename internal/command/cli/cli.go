// Package cli implements the command line, with one source file for each subcommand
// and its help text.
//
// # Usage
//
// The program passes its arguments and the function that runs a node:
//
//	os.Exit(cli.Main(cli.Environment{
//		Arguments: os.Args[1:],
//		Run:       node.Run,
//		Stdout:    os.Stdout,
//		Stderr:    os.Stderr,
//	}))
//
// The Exit constants list the exit statuses and their meaning.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/base/settings"
	"chestnutbay.dev/chestnutbay/internal/report/burn"
)

// Run runs a node until ctx ends and its requests in flight are finished.
type Run func(ctx context.Context, s *settings.Settings, logger *zap.Logger) error

// Environment holds what the program passes to the command line.
type Environment struct {
	// Arguments are the arguments without the program's name.
	Arguments []string
	// Run runs a node.
	Run Run
	// Entry runs an entry VM on the users' platform, with log lines to the writer.
	Entry func(ctx context.Context, log io.Writer) error
	// Version is printed by "version".
	Version string
	Stdout  io.Writer
	Stderr  io.Writer
}

// root declares the subcommands for kong.
type root struct {
	Serve       serveCommand       `cmd:"" help:"Run an entry node of the fleet."`
	Entry       entryCommand       `cmd:"" help:"Run an entry VM on the users' platform."`
	Dev         devCommand         `cmd:"" help:"Run a fleet of one node with a target on this machine, to try it out."`
	Check       checkCommand       `cmd:"" help:"Check settings and documents without starting anything."`
	Publish     publishCommand     `cmd:"" help:"Publish a client account's contract or a service."`
	Show        showCommand        `cmd:"" help:"Print a document in force, with its version."`
	WithdrawKey withdrawKeyCommand `cmd:"" help:"Withdraw a key for good."`
	Zone        zoneCommand        `cmd:"" help:"Take an availability zone out or back in."`
	Status      statusCommand      `cmd:"" help:"Print the state of the fleet."`
	Explain     explainCommand     `cmd:"" help:"Print what happened to a target, a client account, a zone or a request, and why."`
	Report      reportCommand      `cmd:"" help:"Print what each client account got, the worst-served one first."`
	Emulate     emulateCommand     `cmd:"" help:"Run a target with gray failures, to try a fleet out."`
	Load        loadCommand        `cmd:"" help:"Send load through a fleet and check the histories of callers and targets."`
	Keygen      keygenCommand      `cmd:"" help:"Make a new key or operator's token and its hash."`
	Reference   referenceCommand   `cmd:"" help:"Print the reference of the settings."`
	Version     versionCommand     `cmd:"" help:"Print the version."`
}

const description = `Chestnutbay is a proxy fleet for targets with gray failures.

Exit statuses:
  0  done; a change is accepted
  1  another failure
  2  wrong usage, settings or documents; nothing was started or sent
  3  refused; nothing was changed
  4  the outcome of a change is unknown; run the same command again with --id
  5  no node could be reached; nothing was sent`

// app is passed to the Run method of each subcommand. ctx ends with the first
// SIGTERM or SIGINT.
type app struct {
	Environment
	ctx context.Context
}

// Main runs the command line and returns the exit status.
func Main(e Environment) int {
	ctx, stop := interruptible(context.Background())
	defer stop()
	a := &app{Environment: e, ctx: ctx}
	err := a.execute()
	if err != nil && !errors.Is(err, errPrinted) {
		fmt.Fprintln(e.Stderr, "chestnutbay:", err)
	}
	return int(statusOf(err))
}

// exit is the value with which kong's exit callback panics, for example after
// --help. It holds the exit status.
type exit int

// execute parses the arguments and runs the subcommand.
func (a *app) execute() (err error) {
	defer func() {
		if r := recover(); r != nil {
			code, ok := r.(exit)
			if !ok {
				panic(r)
			}
			if code != 0 {
				err = usageError{fmt.Errorf("exit status %d", code)}
			}
		}
	}()
	parser, err := kong.New(new(root),
		kong.Name("chestnutbay"),
		kong.Description(description),
		kong.Writers(a.Stdout, a.Stderr),
		kong.Exit(func(code int) { panic(exit(code)) }),
		kong.Vars{
			"kinds":  strings.Join(subjectKinds, ", "),
			"topics": strings.Join(subjectTopics, ", "),
			"pairs":  strconv.Itoa(burn.DefaultLimit),
		},
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
	)
	if err != nil {
		return err
	}
	k, err := parser.Parse(a.Arguments)
	if err != nil {
		return usageError{err}
	}
	return k.Run(a)
}

// maxSignals is the size of the signal channel. It holds the first signal and a
// second one that arrives before signal.Stop.
const maxSignals = 2

// interruptible returns a context that ends with the first SIGTERM or SIGINT.
// The default handling of these signals is restored before the context ends, so
// that a second signal ends the process at once.
func interruptible(parent context.Context) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, maxSignals)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	var eg errgroup.Group
	eg.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			signal.Stop(signals)
			return nil
		case <-signals:
		}
		signal.Stop(signals)
		return resendSignal(signals)
	})
	return ctx, func() {
		cancel()
		_ = eg.Wait() // A process can always send a signal to itself.
	}
}

// resendSignal sends a second signal that arrived before signal.Stop to the process
// again, so that the default handling applies to it.
func resendSignal(signals <-chan os.Signal) error {
	select {
	case s := <-signals:
		return syscall.Kill(os.Getpid(), s.(syscall.Signal))
	default:
		return nil
	}
}
