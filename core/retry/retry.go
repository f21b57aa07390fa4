// Package retry decides whether a failed request is tried again. It is a pure
// state machine without clock or I/O.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/papayarail/papayarail/core/defaults"
	"github.com/papayarail/papayarail/core/verdict"
)

const (
	// DefaultRatio is the number of retries allowed per request.
	DefaultRatio = 0.1
	// DefaultBurst lets a service with few requests retry some of them.
	DefaultBurst = 10
	// DefaultBaseDelay is the back-off before the first retry.
	DefaultBaseDelay = 10 * time.Millisecond
	// DefaultMaxDelay bounds the back-off.
	DefaultMaxDelay = time.Second
	// DefaultMaxAttempts bounds the attempts of one request, the first included.
	DefaultMaxAttempts = 4
)

// Config holds the settings of a Budget. Zero fields select the defaults.
type Config struct {
	Ratio       float64 // retries per request
	Burst       float64 // retries that can be saved up
	BaseDelay   time.Duration
	MaxDelay    time.Duration
	MaxAttempts int
	// Rand supplies the jitter; nil selects a fixed seed.
	Rand *rand.Rand
}

func (c Config) withDefaults() Config {
	c.Ratio = defaults.Positive(c.Ratio, DefaultRatio)
	c.Burst = defaults.Positive(c.Burst, DefaultBurst)
	c.BaseDelay = defaults.Positive(c.BaseDelay, DefaultBaseDelay)
	c.MaxDelay = defaults.Positive(c.MaxDelay, DefaultMaxDelay)
	c.MaxAttempts = defaults.Positive(c.MaxAttempts, DefaultMaxAttempts)
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(1, 2))
	}
	return c
}

// Budget is the retry budget of one service: a token bucket that is filled by
// requests, not by time, so that retries never add more than Ratio to the load.
// It is not safe for concurrent use.
//
// Invariant: after n requests, at most Burst + n*Ratio retries have been allowed.
type Budget struct {
	cfg    Config
	tokens float64
}

// New returns a full Budget.
func New(cfg Config) *Budget {
	cfg = cfg.withDefaults()
	return &Budget{cfg: cfg, tokens: cfg.Burst}
}

// RecordRequest counts the first attempt of a request.
func (b *Budget) RecordRequest() { b.tokens = min(b.tokens+b.cfg.Ratio, b.cfg.Burst) }

// Tokens returns the number of retries that are allowed now.
func (b *Budget) Tokens() float64 { return b.tokens }

// Decide reports whether a request that failed in the given attempt (1 for the
// first) is tried again, and after which delay. A request is tried again only if
// it was not run or is repeatable, if the budget has a token, and if the next
// attempt starts before the deadline (0: none). retryAfter is the delay asked
// for by the upstream; the back-off is never shorter. An allowed retry takes a token.
func (b *Budget) Decide(v verdict.Verdict, repeatable bool, attempt int,
	retryAfter, deadline, now time.Duration) (again bool, delay time.Duration) {
	if v == verdict.Ran || (v != verdict.NotRun && !repeatable) {
		return false, 0
	}
	if attempt >= b.cfg.MaxAttempts || b.tokens < 1 {
		return false, 0
	}
	delay = max(b.backoff(attempt), retryAfter)
	if deadline > 0 && now+delay >= deadline {
		return false, 0
	}
	b.tokens--
	return true, delay
}

// backoff returns a delay between half and all of BaseDelay * 2^(attempt-1), at most MaxDelay.
func (b *Budget) backoff(attempt int) time.Duration {
	d := b.cfg.BaseDelay
	for i := 1; i < attempt && d < b.cfg.MaxDelay; i++ {
		d *= 2
	}
	d = min(d, b.cfg.MaxDelay)
	return d/2 + time.Duration(b.cfg.Rand.Int64N(int64(d/2)+1))
}
