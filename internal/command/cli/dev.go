package cli

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"text/template"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/base/settings"
	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/contract/ledger"
	"chestnutbay.dev/chestnutbay/internal/operator/office"
	"chestnutbay.dev/chestnutbay/internal/trial/emulator"
)

type devCommand struct {
	Port int    `help:"First of the five ports on 127.0.0.1 that are used." default:"8080"`
	Log  string `help:"Lowest level of the node's log lines: ${enum}." enum:"debug,info,warn,error" default:"warn"`
}

// Help returns the detailed help text of the subcommand.
func (devCommand) Help() string {
	return `Runs a fleet of one node and two targets on this machine, publishes a service and
a contract with a new key, and prints a curl line that works as printed. Nothing
is kept: the log is in memory and ends with the process.

The node runs the same code as "serve". Stop it with Ctrl-C.

Example:
  chestnutbay dev --port 18080`
}

const (
	// devInstances is the number of emulated targets.
	devInstances = 2
	// devAccount is the client account of the published contract.
	devAccount = "demo"
	// devRate and devBurst are the limits of the account.
	devRate, devBurst = 50, 100
	// devService is the name of the published service.
	devService = "hello"
	// devStartTimeout limits the time until the node serves a request. It must
	// exceed the 5 s after its start during which a voter grants no lease.
	devStartTimeout = 30 * time.Second
	// devRetryInterval is the time between two attempts while the node starts.
	devRetryInterval = 100 * time.Millisecond
)

var devSettings = template.Must(template.New("dev").Parse(`node:
  id: dev-1
  zone: local
listen:
  callers: {{.Callers}}
  peers: {{.Peers}}
  operators: {{.Operators}}
fleet:
  vms: 1
  secret: {{.Secret}}
log:
  plugin: memory
roster:
  plugin: static
  options:
    nodes:
      - {id: dev-1, address: "{{.Peers}}", zone: local}
    instances:
{{- range .Targets}}
      - {service: {{$.Service}}, address: "{{.}}", zone: local}
{{- end}}
shutdown:
  lag: 0s
  limit: 10s
logging:
  format: terminal
  level: {{.Level}}
operators:
  credentials:
    - name: dev
      sha256: {{.TokenHash}}
`))

const devServiceDocument = `service: hello
slots: 8
connections: 64
ramp: 1s
routes:
  - name: hello
    path: /
`

const devContractDocument = `account: demo
rate: %d
burst: %d
keys: [%s]
services:
  - service: hello
    floor: 0.5
`

// devFleet holds the addresses, secrets and names of the fleet that dev runs. The
// template devSettings uses the exported fields.
type devFleet struct {
	Callers, Peers, Operators string
	Targets                   []string
	controlAddresses          []string
	Service                   string
	Secret, TokenHash, Level  string
	token, key                string
}

func newDevFleet(c devCommand) *devFleet {
	f := &devFleet{Service: devService, Secret: contract.NewKey(), Level: c.Log, token: contract.NewKey(), key: contract.NewKey()}
	f.TokenHash = contract.HashKey(f.token).String()
	f.Callers, f.Peers, f.Operators = loopback(c.Port), loopback(c.Port+1), loopback(c.Port+2)
	for i := range devInstances {
		f.Targets = append(f.Targets, loopback(c.Port+3+i))
	}
	return f
}

func loopback(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}

func (f *devFleet) settings() (*settings.Settings, error) {
	var text bytes.Buffer
	if err := devSettings.Execute(&text, f); err != nil {
		return nil, err
	}
	return settings.Parse("dev", &text)
}

// Run starts the targets and the node, prints example commands and waits until
// the process is interrupted.
func (c devCommand) Run(a *app) error {
	f := newDevFleet(c)
	s, err := f.settings()
	if err != nil {
		return a.printProblems(err)
	}
	listeners, err := listenAll(f.Targets)
	if err != nil {
		return merry.Errorf("dev: a target cannot listen; choose other ports with --port: %w", err)
	}
	controls, err := listenAll(slices.Repeat([]string{loopback(0)}, devInstances))
	if err != nil {
		return merry.Prepend(err, "dev")
	}
	// The targets run longer than the node, because the node finishes its
	// requests in flight after a signal.
	targetsCtx, stopTargets := context.WithCancel(context.WithoutCancel(a.ctx))
	defer stopTargets()
	eg, ctx := errgroup.WithContext(a.ctx)
	for i, listener := range listeners {
		f.controlAddresses = append(f.controlAddresses, controls[i].Addr().String())
		target := emulator.New(fmt.Sprintf("target-%d", i+1), uint64(i))
		eg.Go(func() error { return target.Serve(targetsCtx, listener) })
		eg.Go(func() error { return emulator.ServeHandler(targetsCtx, controls[i], target.Control()) })
	}
	eg.Go(func() error {
		defer stopTargets()
		return a.Run(ctx, s, s.Logging().Logger())
	})
	eg.Go(func() error { return a.publishAndTry(ctx, f) })
	return eg.Wait()
}

// listenAll listens on all addresses. After an error it closes the listeners that
// it has opened.
func listenAll(addresses []string) ([]net.Listener, error) {
	var list []net.Listener
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, opened := range list {
				opened.Close()
			}
			return nil, err
		}
		list = append(list, listener)
	}
	return list, nil
}

// publishAndTry publishes the documents, waits until a request succeeds and prints
// example commands.
func (a *app) publishAndTry(ctx context.Context, f *devFleet) error {
	ctx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	client := office.NewClient([]string{f.Operators}, f.token)
	documents := []string{devServiceDocument, fmt.Sprintf(devContractDocument, devRate, devBurst, contract.HashKey(f.key))}
	for _, text := range documents {
		id := ledger.NewID()
		err := retry(ctx, func() error {
			_, err := client.Publish(ctx, id, ledger.NoVersion, []byte(text))
			return err
		})
		if err != nil {
			return a.startError(ctx, err)
		}
	}
	if err := retry(ctx, func() error { return f.sendRequest(ctx) }); err != nil {
		return a.startError(ctx, err)
	}
	f.print(a)
	return nil
}

// startError returns nil if the command was interrupted, and otherwise an error
// that says that the node did not serve a request in time.
func (a *app) startError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil
	}
	return merry.Errorf("dev: the node does not serve within %s: %w", devStartTimeout, err)
}

// sendRequest sends one request through the node and expects status 200.
func (f *devFleet) sendRequest(ctx context.Context) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.Callers+"/", nil)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+f.key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return merry.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// print prints commands for callers and operators of the fleet.
func (f *devFleet) print(a *app) {
	lines := []string{
		"A fleet of one node runs. Try:",
		"",
		fmt.Sprintf("  curl -H 'Authorization: Bearer %s' http://%s/", f.key, f.Callers),
		"",
		"As its operator:",
		"",
		fmt.Sprintf("  export CHESTNUTBAY_OPERATORS=%s CHESTNUTBAY_TOKEN=%s", f.Operators, f.token),
		"  go run ./cmd/chestnutbay status",
		"  go run ./cmd/chestnutbay report",
		"  go run ./cmd/chestnutbay explain account/" + devAccount,
		"",
		"Send load within the account's rate, and let a target fail in between:",
		"",
		fmt.Sprintf("  export CHESTNUTBAY_LOAD_ACCOUNTS=%s:%s:%d:%d", devAccount, f.key, devRate, devBurst),
		fmt.Sprintf("  go run ./cmd/chestnutbay load --node %s --target %s --target %s --rate 40", f.Callers, f.controlAddresses[0], f.controlAddresses[1]),
		fmt.Sprintf("  curl -d '{\"drop_share\":0.5}' http://%s%s", f.controlAddresses[0], emulator.BehaviourPath),
		"",
		"Ctrl-C stops it.",
	}
	fmt.Fprintln(a.Stdout, strings.Join(lines, "\n"))
}

// retry calls try until it succeeds or ctx ends. It returns the last error of try.
func retry(ctx context.Context, try func() error) error {
	for {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(devRetryInterval):
		}
	}
}
