package contract_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutbay.dev/chestnutbay/internal/contract/contract"
)

// TestServiceDetection guards against a detection setting that is lost on its way
// through Decode and Encode, or accepted although its value is unknown.
func TestServiceDetection(t *testing.T) {
	for _, tt := range []struct {
		name, line string
		want       contract.Detection
		invalid    bool
	}{
		{"the default is not careful", "", contract.DetectCareful, false},
		{"fast is lost", "detection: fast\n", contract.DetectFast, false},
		{"an unknown value is accepted", "detection: eager\n", "", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d, err := contract.Decode(strings.NewReader("service: orders\n" + tt.line + "routes: [{name: all, path: /}]\n"))
			if tt.invalid {
				is.True(err != nil)
				return
			}
			is.NoErr(err)
			text, err := contract.Encode(d)
			is.NoErr(err)
			again, err := contract.Decode(strings.NewReader(string(text)))
			is.NoErr(err)
			is.Equal(again.(*contract.Service).Detection(), tt.want)
		})
	}
}
