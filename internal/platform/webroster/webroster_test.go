package webroster_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"

	"chestnutbay.dev/chestnutbay/internal/base/kernel"
	"chestnutbay.dev/chestnutbay/internal/platform/roster"
	"chestnutbay.dev/chestnutbay/internal/platform/staticroster"
	"chestnutbay.dev/chestnutbay/internal/platform/webroster"
)

func build(name, settings string) (roster.List, error) {
	return kernel.Build[roster.List](roster.PluginKind, name, func(v any) error {
		d := yaml.NewDecoder(strings.NewReader(settings))
		d.KnownFields(true)
		return d.Decode(v)
	})
}

const validList = `{"nodes":[{"id":"vm-1","address":"10.0.0.1:7001","zone":"n","leaving":true}],
"instances":[{"service":"orders","address":"10.1.0.1:80","zone":"s","started":"2026-12-04T09:00:00Z"}]}`

// TestLists guards against lists that lose a VM or one of its attributes, and
// against failed or invalid responses that are used as the VM list.
func TestLists(t *testing.T) {
	tests := []struct {
		name      string
		status    int
		body      string
		want      error
		errorText string
	}{
		{"valid list is changed", 200, validList, nil, ""},
		{"outage is reported as an empty list", 503, "", webroster.ErrUnavailable, "503"},
		{"truncated list is accepted", 200, validList[:100], roster.ErrInvalid, "unexpected EOF"},
		{"host name is accepted as an address", 200, `{"nodes":[{"id":"a","address":"host:1"}]}`, roster.ErrInvalid, "nodes[0].address: must be ip:port"},
		{"two VMs with the same ID are accepted", 200, `{"nodes":[{"id":"a","address":"10.0.0.1:1"},{"id":"a","address":"10.0.0.2:1"}]}`, roster.ErrInvalid, "nodes[1].id: must be set and unique"},
		{"only the first problem is reported", 200, `{"instances":[{"address":"x"},{"service":"s","address":"10.0.0.2"}]}`, roster.ErrInvalid, "instances[1].address"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				w.Write([]byte(tt.body))
			}))
			defer s.Close()
			list, err := build(webroster.Name, "url: "+s.URL)
			is.NoErr(err)
			listing, err := list.Read(context.Background())
			if tt.want != nil {
				is.True(errors.Is(err, tt.want))
				is.True(strings.Contains(err.Error(), tt.errorText))
				return
			}
			is.NoErr(err)
			checkListing(is, listing)
		})
	}
}

func checkListing(is *is.I, l roster.Listing) {
	is.Helper()
	is.Equal(len(l.Nodes()), 1)
	is.Equal(len(l.Instances()), 1)
	n, x := l.Nodes()[0], l.Instances()[0]
	is.Equal(n, roster.NewNode("vm-1", "10.0.0.1:7001", "n", true))
	is.Equal(x.Service()+" "+x.Address()+" "+x.Zone(), "orders 10.1.0.1:80 s")
	is.Equal(x.Started().Unix(), int64(1796374800))
	is.True(!x.Leaving())
}

// TestStatic guards against a list in the settings that is read differently from
// the same list served over HTTP, and against invalid settings that are accepted.
func TestStatic(t *testing.T) {
	is := is.New(t)
	list, err := build(staticroster.Name, validList) // JSON is YAML.
	is.NoErr(err)
	listing, err := list.Read(context.Background())
	is.NoErr(err)
	checkListing(is, listing)
	_, err = build(staticroster.Name, "nodes: [{id: a, address: nowhere}]")
	is.True(errors.Is(err, roster.ErrInvalid))
	_, err = build(staticroster.Name, "vms: []")
	is.True(err != nil)
	_, err = build(webroster.Name, "url: nowhere")
	is.True(err != nil)
}
