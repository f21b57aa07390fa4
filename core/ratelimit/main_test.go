package ratelimit

import (
	"testing"

	"github.com/papayarail/papayarail/core/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }
