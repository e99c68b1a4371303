package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// gracePeriod is gracePeriodS of the deployment.
	gracePeriod = 6 * time.Second
	// readyTimeout bounds the start of a VM.
	readyTimeout = 20 * time.Second
	// metricsPort is the port of the deploy file's metrics.
	metricsPort = 9464
)

// errNotReady reports a VM that did not start in time.
var errNotReady = errors.New("a VM did not get ready in time")

// network is a part of 127.0.0.0/8 that no other run uses, and the ports on it.
type network struct {
	prefix                 string
	front, ready, internal int
	claim                  net.Listener
}

// claimNetwork takes a loopback network by a listener on its last address.
func claimNetwork() (*network, error) {
	for range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.254:%d", prefix, metricsPort))
		if err != nil {
			continue
		}
		n := &network{prefix: prefix, claim: l}
		base := 20000 + rand.IntN(8000)
		n.front, n.ready, n.internal = base, base+1, base+2
		return n, nil
	}
	return nil, errors.New("no loopback network is free")
}

func (n *network) ip(host int) string { return fmt.Sprintf("%s.%d", n.prefix, host) }

// vm is an entry VM that runs as a process.
type vm struct {
	name, ip, zone string
	network        *network
	store          string
	program        string
	dir            string
	record         *record
	// oneCore makes the VM run on one core, the one with the number core. The platform gives
	// a machine one core, or shows it several on some days.
	oneCore bool
	core    int

	command *exec.Cmd
	exited  chan struct{}
	group   errgroup.Group
}

// start starts the program of the deploy file as the platform does.
func (v *vm) start(first bool) error {
	path := filepath.Join(v.dir, v.name+".toml")
	if err := os.WriteFile(path, []byte(v.settings(first)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.dir, v.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(v.program, "entry")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHESTNUTBAY_SETTINGS=" + path}
	c.Stdout, c.Stderr = log, log
	start := c.Start
	if v.oneCore {
		start = func() error { return startOnCore(c, v.core) }
	}
	if err := start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.command, v.exited = c, exited
	started.add(c.Process)
	v.record.addf("%s starts", v.name)
	v.group.Go(func() error {
		defer close(exited)
		err := c.Wait()
		v.record.addf("%s has ended: %v", v.name, c.ProcessState)
		return err
	})
	return nil
}

// processes is a list of processes that were started.
type processes struct {
	mu   sync.Mutex
	list []*os.Process
}

// started holds the processes of all VMs.
var started processes

func (p *processes) add(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, process)
}

// killOnSignal ends the VMs when this program is interrupted.
func killOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	var group errgroup.Group
	group.Go(func() error {
		<-signals
		started.mu.Lock()
		for _, p := range started.list {
			_ = p.Kill()
		}
		os.Exit(exitNotRun)
		return nil
	})
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) {
	v.record.addf("%s gets signal %v", v.name, s)
	_ = v.command.Process.Signal(s)
}

// kill ends the process if it still runs.
func (v *vm) kill() {
	if v.command == nil {
		return
	}
	_ = v.command.Process.Kill()
	_ = v.group.Wait()
}

// awaitReady waits until the VM reports that it is ready.
func (v *vm) awaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", v.ip, v.network.ready))
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			v.record.addf("%s is ready", v.name)
			return nil
		}
	}
	return errNotReady
}

// front returns the address for clients.
func (v *vm) front() string { return fmt.Sprintf("%s:%d", v.ip, v.network.front) }

// settings returns the settings file, with the figures of hollenbeck-gw.
func (v *vm) settings(first bool) string {
	return fmt.Sprintf(`[localNode]
nodeName = %q
role = "entry"
machineClass = "front"
serves = ["front"]
ip = %q
zone = %q
region = "great-lakes"
lossCounts = false
bootstrap = %t
[localNode.limits]
cpuShare = 0.32
cpuCores = 1
memoryMb = 284
maxFileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[network]
internalPortRange = [%d,%d]
seedNodes = [%q]
[network.listenAddresses]
front = "%s:%d"
readiness = "%s:%d"
[network.zones]
grand-rapids = "great-lakes"
toledo = "great-lakes"
[platform]
discovery = "platform"
entry = "vip"
heartbeatIntervalS = 1.5
[platform.platform]
address = %q
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 8
appendS = 0.004
partitionMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinS = 1
[terms]
contracts = ["base","drain","config","cost","retry","recover","health","tenants","quota","places","platform"]
[terms.faultTolerance]
machines = 2
zones = 1
regions = 0
[terms.bounds]
stableWindowS = 3
drainTimeoutS = 2
gracePeriodS = %g
lossSlackS = 0.2
configApplyS = 2
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 64
quotaWindowS = 5
quotaOverrun = 0.1
quotaSlack = 20
warmupOverrun = 1.5
warmupSlack = 5
`, v.name, v.ip, v.zone, first, v.network.internal, v.network.internal+15, fmt.Sprintf("%s:%d", v.network.ip(1), v.network.internal),
		v.ip, v.network.front, v.ip, v.network.ready, v.store, gracePeriod.Seconds())
}
