package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Names, host, paths and keys of the configuration that the operator stand-in publishes.
const (
	host          = "jepu9.example"
	uploadPath    = "/fiti832/"
	uploadService = "huvo11a"
	orderPath     = "/xapu221/"
	orderService  = "wuno96b"
	key           = "ctnfzs989anu6wsjnban"
	tenant        = "sese880"
)

// world is a small deployment: a store, instances of two services and entry VMs.
type world struct {
	network   *network
	store     *store
	instances []*instance
	vms       []*vm
	record    *record
	dir       string
}

// services lists the service of each instance.
var services = []string{uploadService, uploadService, uploadService, orderService, orderService, orderService}

// newWorld starts the store, three instances of each service, and VMs, and waits until
// the VMs are ready. With oneCore each VM runs on a core of its own, otherwise on any. prepare,
// which may be nil, is called for each instance before it starts.
func newWorld(program string, vms int, oneCore bool, prepare func(i *instance)) (*world, error) {
	w := &world{record: newRecord()}
	var err error
	if w.network, err = claimNetwork(); err != nil {
		return w, err
	}
	if w.dir, err = os.MkdirTemp("", "chestnutbay-review-"); err != nil {
		return w, err
	}
	if w.store, err = startStore(w.network.ip(200)); err != nil {
		return w, err
	}
	w.publish(1)
	for n, service := range services {
		i, err := newInstance(w.record, w.network.ip(100+n), fmt.Sprintf("i-%d", n+1), service, "grand-rapids")
		if err != nil {
			return w, err
		}
		w.instances = append(w.instances, i)
		if prepare != nil {
			prepare(i)
		}
		i.start(w.store)
	}
	for n := range vms {
		v := &vm{
			name: fmt.Sprintf("front-grand-rapids-%d", n+1), ip: w.network.ip(n + 1), zone: "grand-rapids",
			network: w.network, store: w.store.address, program: program, dir: w.dir, record: w.record, oneCore: oneCore, core: n,
		}
		w.vms = append(w.vms, v)
		if err := v.start(true); err != nil {
			return w, err
		}
	}
	for _, v := range w.vms {
		if err := v.awaitReady(); err != nil {
			return w, err
		}
	}
	time.Sleep(time.Second) // until the instances are known
	return w, nil
}

// close ends everything that newWorld started. The VMs' logs stay if KEEP is set.
func (w *world) close() {
	for _, v := range w.vms {
		v.kill()
	}
	for _, i := range w.instances {
		i.close()
	}
	if w.store != nil {
		w.store.close()
	}
	if w.network != nil {
		w.network.claim.Close()
	}
	if os.Getenv("KEEP") == "" && w.dir != "" {
		os.RemoveAll(w.dir)
	}
}

// publish writes the operator's configuration.
func (w *world) publish(version int) {
	w.store.put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"resources":[
{"entryKind":"routes","metadata":{"name":"r-1"},"spec":{"host":%q,"pathPrefix":%q,"kind":"upload","timeoutS":5,"targetLatencyS":2,"priority":1,"service":%q,"maxAttempts":2,"public":false}},
{"entryKind":"routes","metadata":{"name":"r-2"},"spec":{"host":%q,"pathPrefix":%q,"kind":"unsafe","timeoutS":5,"targetLatencyS":2,"priority":1,"service":%q,"maxAttempts":2,"public":false}},
{"entryKind":"services","metadata":{"name":%q},"spec":{"healthCheckPath":"/health","maxConnections":390,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":2.5}},
{"entryKind":"services","metadata":{"name":%q},"spec":{"healthCheckPath":"/health","maxConnections":390,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":2.5}},
{"entryKind":"tenants","metadata":{"name":%q},"spec":{"apiKeys":[%q],"priority":1,"ratePerS":0,"burst":0}},
{"entryKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}]}`,
		version, host, uploadPath, uploadService, host, orderPath, orderService, uploadService, orderService, tenant, key))
}

// program returns the path of the program that the deploy file builds.
func program() (string, error) {
	path, err := filepath.Abs("target/chestnutbay")
	if err != nil {
		return "", err
	}
	if _, err := os.Stat(path); err != nil {
		return "", errors.New("target/chestnutbay is missing: run the build of deploy/system.toml")
	}
	return path, nil
}

// ran returns how often instances began to run a request.
func (w *world) ran(id string) int {
	n := 0
	for _, i := range w.instances {
		n += i.ran(id)
	}
	return n
}
