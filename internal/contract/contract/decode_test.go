package contract_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
)

var (
	hashA = contract.HashKey("a").String()
	hashB = contract.HashKey("b").String()
)

// TestDecodeProblems guards against invalid documents that are accepted, and
// against problems reported without the line and key that operators need.
func TestDecodeProblems(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"empty file is taken for a document", "", []string{"the document is empty"}},
		{"broken YAML is taken for a document", "account: [", []string{"yaml: line 1: did not find expected node content"}},
		{"second document is dropped silently", "account: a\nrate: 1\nburst: 1\n---\naccount: b\n", []string{"line 4: must be one document"}},
		{"missing limits stand for no limit", "account: acme\n", []string{
			"rate: must be more than 0 and at most 1e+06 requests per second, is 0",
			"burst: must be from 1 to 1e+06 requests, is 0",
		}},
		{"infinite and negative limits are let through", "account: acme\nrate: .inf\nburst: -2\n", []string{
			"line 2: rate: must be more than 0 and at most 1e+06 requests per second, is +Inf",
			"line 3: burst: must be from 1 to 1e+06 requests, is -2",
		}},
		{"only the first problem is reported", "\n# all wrong\naccount: Acme Inc\nrate: .nan\nburst: 0.5\n" +
			"keys:\n  - zz\n  - " + hashA + "\n  - " + hashA + "\ndeadline: soon\nretry_budget: 2\nobjective: -1\n" +
			"services:\n  - service: \"\"\n    floor: 3\n  - service: orders\n  - service: orders\n", []string{
			`line 10: deadline: must be a duration such as "30s", is "soon"`,
			`line 7: keys[0]: must be the SHA-256 of a key in 64 hexadecimal digits`,
			`line 3: account: must be 1 to 63 lower-case letters, digits or dashes, is "Acme Inc"`,
			"line 4: rate: must be more than 0 and at most 1e+06 requests per second, is NaN",
			"line 5: burst: must be from 1 to 1e+06 requests, is 0.5",
			"line 9: keys[2]: is listed twice",
			`line 14: services[0].service: must be 1 to 63 lower-case letters, digits or dashes, is ""`,
			"line 15: services[0].floor: must be from 0 to 1, is 3",
			`line 17: services[2].service: "orders" is listed twice`,
			"line 11: retry_budget: must be from 0 to 1, is 2",
			"line 12: objective: must be from 0 to 1, is -1",
		}},
		{"misspelt key is ignored", "account: acme\nrate: 1\nburst: 1\nbusrt: 5\n", []string{"line 4: busrt: unknown key"}},
		{"unknown nested key is reported at the outer key of the same name", "account: acme\nrate: 1\nburst: 1\nservices:\n  - service: orders\n    rate: 5\n", []string{
			"line 6: services[0].rate: unknown key",
		}},
		{"value of the wrong type is reported without its line and key", "account: acme\nrate: fast\nburst: 1\n", []string{
			"line 2: rate: cannot unmarshal !!str `fast` into float64",
			"line 2: rate: must be more than 0 and at most 1e+06 requests per second, is 0",
		}},
		{"key that is set twice is accepted", "account: acme\nrate: 1\nrate: 2\nburst: 1\n", []string{
			`line 3: rate: mapping key "rate" already defined at line 2`,
		}},
		{"negative deadline is accepted", "account: acme\nrate: 1\nburst: 1\ndeadline: -1s\n", []string{
			"line 4: deadline: must be more than 0 and at most 2h0m0s, is -1s",
		}},
		{"service without routes is accepted", "service: orders\n", []string{"routes: must name at least one route"}},
		{"not all problems of a service are reported", "service: orders\nslots: -1\nconnections: -3\nramp: 2h\nroutes:\n" +
			"  - name: a\n    path: orders\n    class: slow\n    methods: [get]\n  - name: a\n    path: /b\n    color: red\n", []string{
			"line 12: routes[1].color: unknown key",
			"line 2: slots: must be from 1 to 10000, is -1",
			"line 3: connections: must be at least the -1 slots, is -3",
			"line 4: ramp: must be from 0 to 1h0m0s, is 2h0m0s",
			`line 7: routes[0].path: must start with a slash, is "orders"`,
			`line 8: routes[0].class: must be interactive or bulk, is "slow"`,
			`line 9: routes[0].methods[0]: must be an upper-case method, is "get"`,
			`line 10: routes[1].name: "a" is listed twice`,
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := contract.Decode(strings.NewReader(tt.text))
			is.True(errors.Is(err, contract.ErrInvalid))
			got := strings.Split(err.Error(), "\n")
			seen := make(map[string]int)
			for _, line := range got {
				seen[line]++
			}
			for _, line := range tt.want {
				if seen[line] != 1 {
					t.Errorf("missing: %s", line)
				}
				delete(seen, line)
			}
			for line := range seen {
				t.Errorf("unexpected: %s", line)
			}
		})
	}
}

// TestDecodeRoundTrip guards against values that change between the operator's
// file and the log, in particular explicit zeros that are replaced by defaults.
func TestDecodeRoundTrip(t *testing.T) {
	tests := []struct {
		name  string
		text  string
		check func(is *is.I, d contract.Document)
	}{
		{"defaults are missing", "account: acme\nrate: 5\nburst: 10\nservices: [{service: orders}]\n", func(is *is.I, d contract.Document) {
			c := d.(*contract.Contract)
			is.Equal(c.Deadline(), contract.DefaultDeadline)
			is.Equal(c.RetryBudget(), contract.DefaultRetryBudget)
			is.Equal(c.Objective(), contract.DefaultObjective)
			is.Equal(c.Services()[0].Floor(), contract.DefaultFloor)
		}},
		{"retry budget and floor of zero turn into defaults", "account: acme\nrate: 5\nburst: 10\nretry_budget: 0\nservices: [{service: orders, floor: 0}]\nkeys: [" + hashA + ", " + hashB + "]\n", func(is *is.I, d contract.Document) {
			c := d.(*contract.Contract)
			is.Equal(c.RetryBudget(), 0.0)
			is.Equal(c.Services()[0].Floor(), 0.0)
			is.Equal(c.Keys(), []contract.KeyHash{contract.HashKey("a"), contract.HashKey("b")})
			is.True(c.Allows("orders") && !c.Allows("catalogue"))
		}},
		{"ramp of zero turns into the default", "service: orders\nramp: 0s\ntrusted_refusals: true\nroutes: [{name: all, path: /, idempotent: true, open: true, class: bulk}]\n", func(is *is.I, d contract.Document) {
			s := d.(*contract.Service)
			is.Equal(s.Ramp(), time.Duration(0))
			is.Equal(s.Slots(), contract.DefaultSlots)
			is.True(s.TrustedRefusals())
			r := s.Routes()[0]
			is.True(r.Open() && r.Idempotent("POST") && r.Class() == contract.Bulk)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d, err := contract.Decode(strings.NewReader(tt.text))
			is.NoErr(err)
			tt.check(is, d)
			text, err := contract.Encode(d)
			is.NoErr(err)
			again, err := contract.Decode(strings.NewReader(string(text)))
			is.NoErr(err)
			is.Equal(again, d)
			data, err := json.Marshal(d)
			is.NoErr(err)
			var fromLog contract.Document = new(contract.Contract)
			if _, ok := d.(*contract.Service); ok {
				fromLog = new(contract.Service)
			}
			is.NoErr(json.Unmarshal(data, fromLog))
			is.Equal(fromLog, d)
		})
	}
}
