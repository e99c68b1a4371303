package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"text/template"
	"time"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/platform/memorylog"
	"chestnutbay.dev/chestnutbay/internal/platform/roster"
	"chestnutbay.dev/chestnutbay/internal/platform/weblog"
	"chestnutbay.dev/chestnutbay/internal/trial/emulator"
	"chestnutbay.dev/chestnutbay/internal/trial/history"
	"chestnutbay.dev/chestnutbay/internal/trial/load"
)

const (
	// waitTimeout limits every wait for an expected state.
	waitTimeout = 30 * time.Second
	// pollInterval is the time between two checks of a state.
	pollInterval = 50 * time.Millisecond
	token        = "an operator's token for tests"
	// callerAccount is the tests' client account, and callerKey is the key that all
	// of its contracts contain.
	callerAccount = "lakeside"
	callerKey     = "the key of lakeside"
	// serviceName is the service that the targets belong to.
	serviceName = "catalogue"
)

// readRecord returns the executions of a target.
func (f *fleet) readRecord(t testing.TB, target string) history.Record {
	t.Helper()
	record, err := load.FetchRecord(t.Context(), http.DefaultClient, f.controls[target])
	if err != nil {
		t.Fatal(err)
	}
	return record
}

// zeros is an endless body. It leaves the buffer unchanged, since only the size of
// the body matters.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// process is a child process of the test.
type process struct {
	cmd    *exec.Cmd
	stdin  io.WriteCloser
	stderr *lockedBuffer
	waited sync.Once
	err    error
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// startProcess starts a process and kills it when the test ends. If the test has
// failed, the standard error of the process is logged.
func startProcess(t testing.TB, cmd *exec.Cmd) *process {
	t.Helper()
	p := &process{cmd: cmd, stderr: &lockedBuffer{}}
	cmd.Stderr = p.stderr
	var err error
	if p.stdin, err = cmd.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Kill()
		p.wait()
		if t.Failed() {
			t.Logf("%s wrote:\n%s", cmd.Args[0], p.stderr)
		}
	})
	return p
}

// wait waits for the process and returns its result. It may be called repeatedly.
func (p *process) wait() error {
	p.waited.Do(func() { p.err = p.cmd.Wait() })
	return p.err
}

// running reports whether the process still exists. A process that ended stays
// in state Z until wait.
func (p *process) running() bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	return err == nil && !bytes.Contains(stat, []byte(") Z "))
}

func (p *process) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// fleet holds nodes and targets, each in a process of its own, and a fake platform
// in the test's process.
type fleet struct {
	binary   string
	dir      string
	vms      int
	platform *platform
	nodes    []*fleetNode
	// controls maps a target's address to that of its control API.
	controls map[string]string
}

type fleetNode struct {
	*process
	id, zone                  string
	callers, peers, operators string
	settings                  string
}

// platform is a fake of the platform's log service and VM list. While
// logUnavailable is set, it closes connections to the log without a response.
type platform struct {
	server *httptest.Server

	mu             sync.Mutex
	logUnavailable bool
	listing        roster.File
}

func newPlatform(t testing.TB) *platform {
	p := &platform{}
	mux := http.NewServeMux()
	log := weblog.NewHandler(memorylog.New(0))
	mux.HandleFunc("/vms", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		json.NewEncoder(w).Encode(p.listing)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		unavailable := p.logUnavailable
		p.mu.Unlock()
		if unavailable {
			panic(http.ErrAbortHandler)
		}
		log.ServeHTTP(w, r)
	})
	p.server = httptest.NewServer(mux)
	t.Cleanup(p.server.Close)
	return p
}

func (p *platform) setLogUnavailable(unavailable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logUnavailable = unavailable
}

var nodeSettings = template.Must(template.New("node").Parse(`node: {id: {{.ID}}, zone: {{.Zone}}}
listen: {callers: "{{.Callers}}", peers: "{{.Peers}}", operators: "{{.Operators}}"}
fleet: {vms: {{.VMs}}, secret: "a fleet secret for the tests of the program"}
log: {plugin: http, options: {url: "{{.Platform}}"}}
roster: {plugin: http, options: {url: "{{.Platform}}/vms"}}
shutdown: {lag: 300ms, limit: 1m}
logging: {format: json, level: info}
operators: {credentials: [{name: tester, sha256: {{.TokenHash}}}]}
`))

// buildBinary builds the program once per test run.
var buildBinary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "chestnutbay-test")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "chestnutbay")
	out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("go build: %w: %s", err, out)
	}
	return path, nil
})

// newFleet prepares n nodes in zones north, south and east in turn.
func newFleet(t testing.TB, n int) *fleet {
	t.Helper()
	binary, err := buildBinary()
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{binary: binary, dir: t.TempDir(), vms: n, platform: newPlatform(t), controls: make(map[string]string)}
	zones := []string{"north", "south", "east"}
	for i := range n {
		node := &fleetNode{id: fmt.Sprintf("vm-%d", i+1), zone: zones[i%len(zones)]}
		node.callers, node.peers, node.operators = freeAddress(t), freeAddress(t), freeAddress(t)
		f.nodes = append(f.nodes, node)
		f.platform.listing.Nodes = append(f.platform.listing.Nodes,
			roster.NodeFile{ID: node.id, Address: node.peers, Zone: node.zone})
	}
	return f
}

// The ports of nodes lie below the ephemeral ports of the system, so that no
// outgoing connection takes one before the node listens on it.
const (
	firstPort = 15000
	lastPort  = 32000
)

var nextPort atomic.Int64

// freeAddress returns a loopback address with a port that nothing listens on.
func freeAddress(t testing.TB) string {
	t.Helper()
	// Test processes that run at the same time begin at different ports.
	nextPort.CompareAndSwap(0, int64(firstPort+os.Getpid()%(lastPort-firstPort)))
	for range lastPort - firstPort {
		port := nextPort.Add(1)
		if port > lastPort {
			nextPort.Store(firstPort)
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err == nil {
			l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// startTarget starts an emulated target, adds it to the VM list and returns its
// address.
func (f *fleet) startTarget(t testing.TB, zone, name string) string {
	t.Helper()
	cmd := exec.Command(f.binary, "emulate", "--name", name, "--until-eof")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	startProcess(t, cmd)
	var address, control string
	if _, err := fmt.Fscanf(out, "target %s\ncontrol %s\n", &address, &control); err != nil {
		t.Fatal(err)
	}
	f.controls[address] = control
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	f.platform.listing.Instances = append(f.platform.listing.Instances,
		roster.InstanceFile{Service: serviceName, Address: address, Zone: zone})
	return address
}

// startNode writes the node's settings and starts it.
func (f *fleet) startNode(t testing.TB, n *fleetNode) {
	t.Helper()
	var text bytes.Buffer
	err := nodeSettings.Execute(&text, map[string]any{
		"ID": n.id, "Zone": n.zone, "VMs": f.vms, "Platform": f.platform.server.URL,
		"Callers": n.callers, "Peers": n.peers, "Operators": n.operators,
		"TokenHash": contract.HashKey(token),
	})
	if err != nil {
		t.Fatal(err)
	}
	n.settings = filepath.Join(f.dir, n.id+".yaml")
	if err := os.WriteFile(n.settings, text.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	n.process = startProcess(t, exec.Command(f.binary, "serve", "--settings", n.settings))
}

func (f *fleet) startNodes(t testing.TB) {
	t.Helper()
	for _, n := range f.nodes {
		f.startNode(t, n)
	}
}

// operator runs a subcommand against a node and returns its output and exit status.
func (f *fleet) operator(t testing.TB, n *fleetNode, arguments ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(f.binary, arguments...)
	cmd.Env = append(os.Environ(), "CHESTNUTBAY_OPERATORS="+n.operators, "CHESTNUTBAY_TOKEN="+token)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// publish publishes a document through a node and waits until it is accepted.
func (f *fleet) publish(t testing.TB, n *fleetNode, document string) {
	t.Helper()
	file := filepath.Join(f.dir, "document.yaml")
	if err := os.WriteFile(file, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	// A node accepts no change shortly after its start.
	eventually(t, "publish", func() error {
		if !n.running() {
			t.Fatalf("node %s has stopped", n.id)
		}
		out, status := f.operator(t, n, "publish", file)
		if status != 0 {
			return fmt.Errorf("status %d: %s", status, out)
		}
		return nil
	})
}

// get sends one request through a node and returns its status and, for status 200,
// the target's response. With an empty key it sends no Authorization header.
func (f *fleet) get(n *fleetNode, key, path string) (int, emulator.Response, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.callers+path, http.NoBody)
	if err != nil {
		return 0, emulator.Response{}, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, emulator.Response{}, err
	}
	defer resp.Body.Close()
	var a emulator.Response
	if resp.StatusCode == http.StatusOK {
		err = json.NewDecoder(resp.Body).Decode(&a)
	}
	return resp.StatusCode, a, err
}

// waitStatus repeats a request through a node until it gets the status want.
func (f *fleet) waitStatus(t testing.TB, n *fleetNode, key, path string, want int) {
	t.Helper()
	eventually(t, fmt.Sprintf("status %d through %s", want, n.id), func() error {
		got, _, err := f.get(n, key, path)
		if err == nil && got != want {
			err = fmt.Errorf("status %d", got)
		}
		return err
	})
}

// eventually repeats try until it succeeds, and fails the test after waitTimeout.
// goal describes the expected state.
func eventually(t testing.TB, goal string, try func() error) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		err := try()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s: %v", goal, waitTimeout, err)
		}
		<-time.After(pollInterval)
	}
}
