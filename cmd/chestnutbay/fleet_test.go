package main_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
	"chestnutbay.dev/chestnutbay/internal/trial/emulator"
)

const serviceDocument = `service: catalogue
slots: 4
connections: 40
ramp: 1s
routes:
  - {name: lookup, path: /lookup}
  - {name: upload, path: /upload, methods: [POST], class: bulk}
`

func contractDocument(rate float64, keys ...string) string {
	text := fmt.Sprintf("account: %s\nrate: %g\nburst: %g\nservices: [{service: catalogue, floor: 0.5}]\nkeys:\n", callerAccount, rate, 2*rate)
	for _, k := range keys {
		text += "  - " + contract.HashKey(k).String() + "\n"
	}
	return text
}

// startThreeNodes starts three nodes and two targets, publishes a contract with
// callerKey and extraKeys, and waits until a request through each node succeeds.
func startThreeNodes(t *testing.T, extraKeys ...string) *fleet {
	f := newFleet(t, 3)
	f.startTarget(t, "north", "target-1")
	f.startTarget(t, "south", "target-2")
	f.startNodes(t)
	f.publish(t, f.nodes[0], serviceDocument)
	f.publish(t, f.nodes[0], contractDocument(200, append(extraKeys, callerKey)...))
	for _, n := range f.nodes {
		f.waitStatus(t, n, callerKey, "/lookup/1", http.StatusOK)
	}
	return f
}

// Guards against failures on the path from a caller through a node process to a
// target process, keys that are passed on to a target, and keys that are accepted
// although unknown or withdrawn.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	const key, withdrawnKey = callerKey, "another key of lakeside"
	f := startThreeNodes(t, withdrawnKey)

	for _, n := range f.nodes {
		status, a, err := f.get(n, key, "/lookup/7")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(a.Path, "/lookup/7")
		is.Equal(a.Header.Get("Authorization"), "") // The target sees no key.
		status, _, err = f.get(n, "no such key", "/lookup/7")
		is.NoErr(err)
		is.Equal(status, http.StatusUnauthorized)
		status, _, err = f.get(n, "", "/lookup/7")
		is.NoErr(err)
		is.Equal(status, http.StatusUnauthorized)
	}

	out, status := f.operator(t, f.nodes[1], "withdraw-key", "--hash", contract.HashKey(withdrawnKey).String())
	if status != 0 {
		t.Fatalf("withdraw-key: status %d: %s", status, out)
	}
	accepted := time.Now()
	for _, n := range f.nodes {
		f.waitStatus(t, n, withdrawnKey, "/lookup/8", http.StatusUnauthorized)
		is.True(time.Since(accepted) < 6*time.Second) // The withdrawal is in force within the bound.
		f.waitStatus(t, n, key, "/lookup/8", http.StatusOK)
	}
}

// Guards against a planned stop that cuts an upload in progress.
func TestPlannedStopFinishesUpload(t *testing.T) {
	is := is.New(t)
	const key = callerKey
	f := startThreeNodes(t)
	n := f.nodes[0]

	body, writer := io.Pipe()
	req, err := http.NewRequest(http.MethodPost, "http://"+n.callers+"/upload/drawing", body)
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+key)
	var g errgroup.Group
	var answered int
	g.Go(func() error {
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		answered = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	})
	chunk := make([]byte, 64<<10)
	_, err = writer.Write(chunk)
	is.NoErr(err)
	n.signal(t, syscall.SIGTERM)
	// The callers' port closes after shutdown.lag; the upload continues.
	eventually(t, "callers' port closed", func() error {
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + n.callers + "/lookup/1")
		if err == nil {
			resp.Body.Close()
			return fmt.Errorf("answers %s", resp.Status)
		}
		return nil
	})
	for range 64 {
		_, err = writer.Write(chunk)
		is.NoErr(err)
	}
	is.NoErr(writer.Close())
	is.NoErr(g.Wait())
	is.Equal(answered, http.StatusOK)
	is.NoErr(n.wait()) // The process exits with status 0.
}

// Guards against bodies that are buffered in memory: a node passes on an upload and
// a download of 1 GB each, and its peak memory must grow by less than 32 MB.
func TestLargeBodiesInBoundedMemory(t *testing.T) {
	is := is.New(t)
	const key, size, maxGrowth = callerKey, int64(1 << 30), int64(32 << 20)
	f := startThreeNodes(t)
	n := f.nodes[0]
	before := n.peakMemory(t)

	resp := f.do(t, n, key, http.MethodPost, "/upload/drawing", io.LimitReader(zeros{}, size))
	var a emulator.Response
	is.NoErr(json.NewDecoder(resp.Body).Decode(&a))
	resp.Body.Close()
	is.Equal(a.Bytes, size)

	resp = f.do(t, n, key, http.MethodGet, fmt.Sprintf("/lookup/drawing?size=%d", size), http.NoBody)
	got, err := io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(got, size)

	grown := n.peakMemory(t) - before
	t.Logf("peak memory grew by %d KB", grown>>10)
	is.True(grown < maxGrowth)
}

// peakMemory returns the process's largest resident memory so far, in bytes.
func (p *process) peakMemory(t *testing.T) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var kb int64
	if _, err := fmt.Sscan(rest, &kb); err != nil {
		t.Fatal(err)
	}
	return kb << 10
}

// do sends a request through a node and expects status 200.
func (f *fleet) do(t *testing.T, n *fleetNode, key, method, path string, body io.Reader) *http.Response {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+n.callers+path, body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("%s %s: %s", method, path, resp.Status)
	}
	return resp
}

// Guards against a fleet that stops serving when the log is unavailable or one node
// is killed: two of three nodes still form a quorum.
func TestServesWithoutLogAndOneNode(t *testing.T) {
	is := is.New(t)
	const key = callerKey
	f := startThreeNodes(t)
	f.platform.setLogUnavailable(true)
	f.nodes[2].signal(t, syscall.SIGKILL)
	f.nodes[2].wait()
	// The wait is longer than the time for which evidence, leases and grants
	// remain valid.
	<-time.After(10 * time.Second)
	for _, n := range f.nodes[:2] {
		f.waitStatus(t, n, key, "/lookup/1", http.StatusOK)
	}
	out, status := f.operator(t, f.nodes[0], "withdraw-key", "--hash", contract.HashKey(key).String())
	is.True(status == 4 || status == 1 || status == 5) // The change is not accepted while the log is unavailable.
	is.True(out != "")
	f.platform.setLogUnavailable(false)
	eventually(t, "withdraw-key after the log is available again", func() error {
		out, status := f.operator(t, f.nodes[0], "withdraw-key", "--hash", contract.HashKey(key).String())
		if status != 0 {
			return fmt.Errorf("status %d: %s", status, out)
		}
		return nil
	})
	for _, n := range f.nodes[:2] {
		f.waitStatus(t, n, key, "/lookup/1", http.StatusUnauthorized)
	}
}
