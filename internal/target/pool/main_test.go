package pool_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

var measure = flag.Bool("measure", false, "run the measurements")

func TestMain(m *testing.M) {
	flag.Parse()
	// Property tests use the same seed in every run, unless -rapid.seed sets one.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}
