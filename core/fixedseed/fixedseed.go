// Package fixedseed runs property tests with the same random seed in every run, so that they
// are reproducible.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

// randomSeedVariable is the environment variable that, if set, selects a new seed in every
// run, in order to find further cases.
const randomSeedVariable = "PAPAYARAIL_FREE_SEEDS"

const (
	seedFlag    = "rapid.seed"
	defaultSeed = "1"
)

// Main runs the tests of a package with a fixed seed for rapid, unless -rapid.seed gives
// another one or the environment variable PAPAYARAIL_FREE_SEEDS is set. It is called by
// TestMain and exits the process.
func Main(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup(seedFlag)
	if seed != nil && seed.Value.String() == "0" && os.Getenv(randomSeedVariable) == "" {
		if err := flag.Set(seedFlag, defaultSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
