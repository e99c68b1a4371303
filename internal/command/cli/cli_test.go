package cli_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"chestnutbay.dev/chestnutbay/internal/base/settings"
	"chestnutbay.dev/chestnutbay/internal/command/cli"
	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/operator/office"
	"chestnutbay.dev/chestnutbay/internal/platform/journal"
	"chestnutbay.dev/chestnutbay/internal/report/burn"
	"chestnutbay.dev/chestnutbay/internal/report/event"
)

// helperVariable is the environment variable that makes the test binary run as the
// program.
const helperVariable = "CHESTNUTBAY_TEST_HELPER"

func TestMain(m *testing.M) {
	if os.Getenv(helperVariable) != "" {
		os.Exit(cli.Main(cli.Environment{Arguments: os.Args[1:], Run: ignoreFirstSignal, Entry: finishRequests, Stdout: os.Stdout, Stderr: os.Stderr}))
	}
	goleak.VerifyTestMain(m)
}

// ignoreFirstSignal never returns, like a node whose caller never finishes an
// upload.
func ignoreFirstSignal(ctx context.Context, _ *settings.Settings, _ *zap.Logger) error {
	fmt.Println("started")
	<-ctx.Done()
	fmt.Println("stopping")
	select {}
}

// finishRequests stops as planned and returns at the end of the standard input, like an
// entry VM whose requests in progress have ended.
func finishRequests(ctx context.Context, log io.Writer) error {
	fmt.Fprintln(log, "started")
	<-ctx.Done()
	fmt.Fprintln(log, "stopping")
	_, err := io.Copy(io.Discard, os.Stdin)
	return err
}

const (
	token    = "operator-token"
	document = "account: acme\nrate: 5\nburst: 10\n"
)

// fakeFleet is a fake for all that the operators' API depends on.
type fakeFleet struct {
	ledger ledger.Ledger
	err    error
}

func (f *fakeFleet) Publish(_ context.Context, c ledger.Change) (office.Receipt, error) {
	if f.err != nil {
		return office.Receipt{}, f.err
	}
	payload, err := ledger.Encode(c)
	if err != nil {
		return office.Receipt{}, err
	}
	result := f.ledger.Apply(journal.NewRecord(f.ledger.Next(), time.Unix(0, 0), payload))
	return office.NewReceipt(result.Version(), []string{"a", "b"}, []string{"c"}), result.Err()
}

func (f *fakeFleet) Events(_ context.Context, subject string, _ int) ([]event.Report, []string, error) {
	var ring event.Ring
	ring.Record(event.OperatorChange{Operator: "alice", ID: "1", Subject: "zone/north", Outcome: "accepted"})
	return event.Reports("a", &ring, subject, 10), []string{"c"}, f.err
}

func (f *fakeFleet) Burn(_ context.Context, q burn.Query) (burn.Snapshot, []string, error) {
	var c burn.Counters
	c.Count(burn.Sample{Account: "acme", Service: "orders", Route: "place", Verdict: burn.NotRun})
	return c.Snapshot("a", q), nil, f.err
}

func (f *fakeFleet) Status(context.Context) (office.FleetState, error) {
	s := office.FleetState{Node: "a", Zone: "north", VMs: 3, Quorum: 2, Log: "no answer"}
	s.Nodes = []office.NodeState{{ID: "b", Zone: "south", Serving: true}, {ID: "c", Leaving: true}, {ID: "d"}}
	s.Zones = []office.ZoneState{{Zone: "north", Out: true, Version: 17}}
	return s, f.err
}

func serve(t *testing.T, f *fakeFleet) string {
	s := httptest.NewServer(office.New(office.Config{
		Credentials: []settings.Credential{settings.NewCredential("alice", contract.HashKey(token))},
		Publisher:   f, Documents: &f.ledger, Events: f, Burn: f, Status: f,
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// run runs the command line and returns the exit status and what it printed.
func run(t *testing.T, node cli.Run, arguments ...string) (status int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	status = cli.Main(cli.Environment{Arguments: arguments, Run: node, Version: "v1.2.3", Stdout: &out, Stderr: &errs})
	return status, out.String(), errs.String()
}

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against wrong exit statuses. Scripts use them to decide whether to repeat
// a change.
func TestExitStatuses(t *testing.T) {
	valid := write(t, "acme.yaml", document)
	invalid := write(t, "bad.yaml", "account: acme\nrate: -1\nburst: 0\n")
	hash := contract.HashKey("k").String()
	down := closedAddress(t)
	reset := resetAddress(t)
	for _, tt := range []struct {
		name      string
		arguments string
		err       error
		address   string
		token     string
		status    int
		want      string
	}{
		{name: "publish is accepted", arguments: "publish " + valid, status: 0, want: "accepted: contract/acme is at version 0"},
		{name: "nodes that are missing are named", arguments: "publish " + valid, status: 0, want: "not confirmed by: c"},
		{name: "publish with an older base", arguments: "publish --base 7 " + valid, status: 3, want: "version -1 is in force"},
		{name: "key of another account", arguments: "publish " + valid, err: ledger.ErrKeyTaken, status: 3, want: "key belongs to another"},
		{name: "the node refuses the document", arguments: "publish " + valid, err: contract.NewProblems([]contract.Problem{contract.NewProblem(2, "rate", "is odd")}), status: 3, want: "line 2: rate: is odd"},
		{name: "invalid document is not sent", arguments: "publish " + invalid, address: down, status: 2, want: "bad.yaml:2: rate: must be"},
		{name: "missing document", arguments: "publish " + valid + ".missing", status: 2, want: "no such file"},
		{name: "outcome is unknown", arguments: "publish --id 42 " + valid, err: office.ErrUnknown, status: 4, want: "run the same command again with --id 42"},
		{name: "connection is closed without a response", arguments: "zone out north", address: reset, status: 4, want: "run the same command again with --id "},
		{name: "nothing can be reached", arguments: "zone out north", address: down, status: 5, want: "no node could be reached"},
		{name: "status of an unreachable fleet", arguments: "status", address: down, status: 5, want: "no node could be reached"},
		{name: "log is down", arguments: "zone out north", err: office.ErrUnavailable, status: 1, want: "no change can be accepted now"},
		{name: "unknown token", arguments: "zone out north", token: "wrong", status: 3, want: "token is missing or unknown"},
		{name: "no token", arguments: "zone out north", token: " ", status: 2, want: "no operator's token"},
		{name: "host name as address", arguments: "zone out north", address: "localhost:1", status: 2, want: "must be an IP number and port"},
		{name: "zone out", arguments: "zone out north", status: 0, want: "to return it: chestnutbay zone in north --base 0"},
		{name: "zone in without base", arguments: "zone in north", status: 2, want: "--base"},
		{name: "zone in with an older base", arguments: "zone in north --base 3", status: 3, want: "version -1 is in force"},
		{name: "withdraw a key", arguments: "withdraw-key --hash " + hash, status: 0, want: "accepted: key/" + hash},
		{name: "withdraw a key by its file", arguments: "withdraw-key --key-file " + write(t, "key", "k\n"), status: 0, want: "accepted: key/" + hash},
		{name: "withdraw an empty key", arguments: "withdraw-key --key-file " + write(t, "key", "\n"), status: 2, want: "is empty"},
		{name: "withdraw a key instead of its hash", arguments: "withdraw-key --hash k", status: 2, want: "64 hexadecimal digits"},
		{name: "withdraw nothing", arguments: "withdraw-key", status: 2, want: "--hash"},
		{name: "status", arguments: "status", status: 0, want: "not readable: no answer"},
		{name: "explain", arguments: "explain zone/north", status: 0, want: "OperatorChange: operator alice changed zone/north"},
		{name: "explain names nodes without answer", arguments: "explain zone/north", status: 0, want: "no answer from: c"},
		{name: "explain nothing known", arguments: "explain zone/south", status: 0, want: "no node that answered has events about zone/south"},
		{name: "explain a mistyped kind", arguments: "explain zones/south", status: 2, want: "KIND/NAME"},
		{name: "explain a topic", arguments: "explain alert", status: 0, want: "about alert"},
		{name: "no address", arguments: "status", address: " ", status: 2, want: "must be an IP number"},
		{name: "report", arguments: "report", status: 0, want: "1/1 (100%)"},
		{name: "report without any line", arguments: "report --limit=0", status: 2, want: "--limit"},
		{name: "report as HTML", arguments: "report --output html", status: 0, want: "<svg"},
		{name: "show a missing document", arguments: "show contract/acme", status: 3, want: "no such document"},
		{name: "show an unknown kind", arguments: "show acme", status: 2, want: "contract/ACCOUNT or service/NAME"},
		{name: "unknown subcommand", arguments: "pubish", status: 2, want: "pubish"},
		{name: "unknown flag", arguments: "status --colour", status: 2, want: "--colour"},
		{name: "help", arguments: "publish --help", status: 0, want: "exit status 3"},
		{name: "version", arguments: "version", status: 0, want: "chestnutbay v1.2.3"},
		{name: "no subcommand", arguments: "", status: 2, want: "expected one of"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := tt.address
			if address == "" {
				address = serve(t, &fakeFleet{err: tt.err})
			}
			t.Setenv("CHESTNUTBAY_OPERATORS", address)
			t.Setenv("CHESTNUTBAY_TOKEN", token)
			if tt.token != "" {
				t.Setenv("CHESTNUTBAY_TOKEN", tt.token)
			}
			status, stdout, stderr := run(t, nil, strings.Fields(tt.arguments)...)
			if status != tt.status || !strings.Contains(stdout+stderr, tt.want) {
				t.Fatalf("exit status %d, want %d and %q\nstdout: %s\nstderr: %s", status, tt.status, tt.want, stdout, stderr)
			}
			is.Equal(stderr == "", status == 0) // only failures write to standard error
		})
	}
}

// Guards against output that is not the expected JSON, also when a change fails.
func TestJSON(t *testing.T) {
	hash := contract.HashKey("k").String()
	for _, tt := range []struct {
		arguments string
		err       error
		want      string
	}{
		{arguments: "publish " + write(t, "acme.yaml", document), want: `"version":0`},
		{arguments: "publish --base 7 " + write(t, "acme.yaml", document), want: `"exit_status":3,"current":-1`},
		{arguments: "withdraw-key --id 42 --hash " + hash, err: office.ErrUnknown, want: `"id":"42"`},
		{arguments: "zone out north", want: `"confirmed":["a","b"],"missing":["c"]`},
		{arguments: "status", want: `{"zone":"north","out":true,"version":17}`},
		{arguments: "explain zone/north", want: `"type":"OperatorChange"`},
		{arguments: "report", want: `"account":"acme"`},
		{arguments: "keygen", want: `"sha256":"`},
		{arguments: "check " + write(t, "acme.yaml", "account: acme\nrate: -1\nburst: 1\n"), want: `"kind":"contract","problems":[{"line":2,"key":"rate"`},
	} {
		t.Run(tt.arguments, func(t *testing.T) {
			is := is.New(t)
			t.Setenv("CHESTNUTBAY_OPERATORS", serve(t, &fakeFleet{err: tt.err}))
			t.Setenv("CHESTNUTBAY_TOKEN", token)
			_, stdout, _ := run(t, nil, append(strings.Fields(tt.arguments), "--output", "json")...)
			var compact bytes.Buffer
			is.NoErr(json.Compact(&compact, []byte(stdout)))
			is.True(strings.Contains(compact.String(), tt.want)) // the output holds the value
		})
	}
}

// Guards against output of show that cannot be edited and published with the
// version that it names, and against a failure because one of several nodes is
// unreachable.
func TestShowEditPublish(t *testing.T) {
	is := is.New(t)
	t.Setenv("CHESTNUTBAY_OPERATORS", closedAddress(t)+","+serve(t, &fakeFleet{}))
	tokenFile := write(t, "token", token+"\n")
	status, _, _ := run(t, nil, "publish", write(t, "acme.yaml", document), "--token-file", tokenFile)
	is.Equal(status, 0)
	_, list, _ := run(t, nil, "show", "--token-file", tokenFile)
	is.Equal(list, "contract/acme\n")
	status, text, _ := run(t, nil, "show", "contract/acme", "--token-file", tokenFile)
	is.Equal(status, 0)
	is.True(strings.HasPrefix(text, "# version 0; publish changes with --base 0\n"))
	edited := write(t, "edited.yaml", strings.Replace(text, "rate: 5", "rate: 6", 1))
	status, out, _ := run(t, nil, "publish", edited, "--base", "0", "--token-file", tokenFile)
	is.Equal(status, 0)
	is.True(strings.Contains(out, "version 1"))
}

// Guards against a check that stops at the first invalid file or starts a node.
func TestCheck(t *testing.T) {
	is := is.New(t)
	good := write(t, "acme.yaml", document)
	service := write(t, "orders.yaml", "service: orders\nroutes: []\n")
	node := write(t, "node.yaml", strings.Replace(settings.Example, "vms: 48", "vms: 0", 1))
	status, stdout, stderr := run(t, nil, "check", good, service, node, good+".missing")
	is.Equal(status, 2)
	is.Equal(stdout, good+": contract is valid\n")
	for _, want := range []string{service + ":2: routes: must name", node + ":9: fleet.vms: must be", good + ".missing: open"} {
		is.True(strings.Contains(stderr, want)) // every file is reported
	}
	status, _, _ = run(t, nil, "check", good)
	is.Equal(status, 0)
}

// Guards against a node that starts with invalid settings, a failure that does not
// change the exit status, and a signal that does not end the node's context.
func TestServe(t *testing.T) {
	is := is.New(t)
	valid := strings.Replace(settings.Example, "secret_file: /etc/chestnutbay/fleet.secret", "secret: 0123456789abcdef", 1)
	file := write(t, "node.yaml", valid)
	mustNotRun := func(context.Context, *settings.Settings, *zap.Logger) error { t.Fatal("started"); return nil }
	status, _, stderr := run(t, mustNotRun, "serve", "--settings", write(t, "bad.yaml", "node: {}\n"))
	is.Equal(status, 2)
	is.True(strings.Contains(stderr, "bad.yaml:1: node.id: must be"))
	status, _, _ = run(t, func(context.Context, *settings.Settings, *zap.Logger) error { return merry.New("port in use") }, "serve", "--settings", file)
	is.Equal(status, 1)
	status, _, _ = run(t, func(ctx context.Context, s *settings.Settings, _ *zap.Logger) error {
		is.Equal(s.Node().ID(), "entry-01")
		is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
		<-ctx.Done() // hangs when the signal does not end the context
		return nil
	}, "serve", "--settings", file)
	is.Equal(status, 0) // a planned stop is no failure
}

// Guards against a node that waits for its requests in flight even after a second
// signal, which must end the process.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	is := is.New(t)
	valid := strings.Replace(settings.Example, "secret_file: /etc/chestnutbay/fleet.secret", "secret: 0123456789abcdef", 1)
	command := exec.Command(os.Args[0], "serve", "--settings", write(t, "node.yaml", valid))
	command.Env = append(os.Environ(), helperVariable+"=1")
	stdout, err := command.StdoutPipe()
	is.NoErr(err)
	is.NoErr(command.Start())
	for _, line := range []string{"started", "stopping"} {
		text := make([]byte, len(line)+1)
		_, err := stdout.Read(text)
		is.NoErr(err)
		is.Equal(string(text), line+"\n")
		is.NoErr(command.Process.Signal(syscall.SIGTERM))
	}
	err = command.Wait()
	is.True(err != nil)
	is.Equal(command.ProcessState.Sys().(syscall.WaitStatus).Signal(), syscall.SIGTERM)
}

// Guards against an entry VM that cuts off the requests in progress when the platform sends
// its signal a second time during a planned stop.
func TestFurtherSignalsInPlannedStop(t *testing.T) {
	is := is.New(t)
	command := exec.Command(os.Args[0], "entry")
	command.Env = append(os.Environ(), helperVariable+"=1")
	stdin, err := command.StdinPipe()
	is.NoErr(err)
	stdout, err := command.StdoutPipe()
	is.NoErr(err)
	is.NoErr(command.Start())
	lines := bufio.NewScanner(stdout)
	is.True(lines.Scan()) // started
	is.NoErr(command.Process.Signal(syscall.SIGTERM))
	is.True(lines.Scan()) // stopping
	for _, s := range []os.Signal{syscall.SIGTERM, os.Interrupt, syscall.SIGTERM} {
		is.NoErr(command.Process.Signal(s))
	}
	is.NoErr(stdin.Close())
	is.NoErr(command.Wait())
}

// Guards against example commands that do not work: dev publishes its documents at
// the node that it runs and prints a curl line with a valid key.
func TestDev(t *testing.T) {
	is := is.New(t)
	var f fakeFleet
	var authorization string
	port := freePorts(t)
	node := func(ctx context.Context, s *settings.Settings, _ *zap.Logger) error {
		return fakeNode(ctx, s, &f, &authorization)
	}
	var stdout signalOnWrite
	var stderr bytes.Buffer
	status := cli.Main(cli.Environment{Arguments: []string{"dev", "--port", fmt.Sprint(port)}, Run: node, Stdout: &stdout, Stderr: &stderr})
	is.Equal(stderr.String(), "")
	is.Equal(status, 0)
	m := regexp.MustCompile(`curl -H 'Authorization: Bearer (\S+)' http://127\.0\.0\.1:(\d+)/\n`).FindStringSubmatch(stdout.String())
	is.Equal(len(m), 3) // the line can be pasted into a shell
	c, ok := f.ledger.AccountByKey(contract.HashKey(m[1]))
	is.True(ok)
	is.Equal(c.Account(), "demo")
	is.Equal(m[2], fmt.Sprint(port))
	is.Equal(authorization, "Bearer "+m[1]) // the key was used before it was printed
}

// signalOnWrite is a buffer that sends SIGTERM to this process at each write.
type signalOnWrite struct{ bytes.Buffer }

func (s *signalOnWrite) Write(p []byte) (int, error) {
	n, _ := s.Buffer.Write(p)
	return n, syscall.Kill(os.Getpid(), syscall.SIGTERM)
}

// freePorts returns the first of five ports in a row that are free.
func freePorts(t *testing.T) int {
	t.Helper()
	// Test runs at the same time start their search at different ports.
	for first := 20000 + os.Getpid()%1000*5; first < 32000; first += 5 {
		if allFree(first, 5) {
			return first
		}
	}
	t.Fatal("no five free ports in a row")
	return 0
}

func allFree(first, n int) bool {
	for i := range n {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+i))
		if err != nil {
			return false
		}
		defer l.Close()
	}
	return true
}

// fakeNode serves operators and callers until ctx ends. It stores the Authorization
// header of the last request of a caller in authorization.
func fakeNode(ctx context.Context, s *settings.Settings, f *fakeFleet, authorization *string) error {
	callers, err := net.Listen("tcp", s.Listen().Callers().String())
	if err != nil {
		return err
	}
	operators, err := net.Listen("tcp", s.Listen().Operators().String())
	if err != nil {
		return err
	}
	api := httptest.NewUnstartedServer(office.New(office.Config{Credentials: s.Operators().Credentials(), Publisher: f}))
	api.Listener = operators
	api.Start()
	defer api.Close()
	callerServer := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		*authorization = r.Header.Get("Authorization")
	}))
	callerServer.Listener = callers
	callerServer.Start()
	defer callerServer.Close()
	<-ctx.Done()
	return nil
}

// resetAddress returns the address of a server that closes every connection without
// a response.
func resetAddress(t *testing.T) string {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// closedAddress returns an address that nothing listens on.
func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	return l.Addr().String()
}
