// Package fixedseed gives property tests the same seed in every run.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

// randomSeedVariable selects a new seed in every run, to search for more cases.
const randomSeedVariable = "PAPAYARAIL_FREE_SEEDS"

const (
	seedFlag    = "rapid.seed"
	defaultSeed = "1"
)

// Main runs the tests of a package with a fixed rapid seed, unless a seed is
// given by -rapid.seed or the environment variable PAPAYARAIL_FREE_SEEDS is set.
// It is the body of a TestMain.
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
