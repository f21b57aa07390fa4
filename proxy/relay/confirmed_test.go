package relay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/relay"
)

// confirm notes on an instance that the store had no newer configuration at this time of this
// machine; see read for the store's clock.
func confirm(cache *relay.Cache, at time.Duration) {
	cache.ConfirmConfig(catalog.ConfigCursor{Version: 20, StoreNow: (at + time.Hour).Truncate(time.Millisecond)})
}

// assertAge checks the age of a configuration that was confirmed at a time of this machine.
// Times are sent in ms.
func assertAge(t *testing.T, cache *relay.Cache, at time.Duration) {
	t.Helper()
	age, ok := cache.ConfigAge()
	assert.Assert(t, ok)
	since := boottime.Now() - at
	assert.Check(t, age >= since-time.Millisecond && age <= since+20*time.Millisecond, "age %s instead of %s", age, since)
}

// Guards against an instance that cannot tell whether its source still follows the
// configuration: the answers to its polls said only that the records were fresh.
func TestConfirmationIsPassedOn(t *testing.T) {
	src := newSource()
	f := newFollower(t, serve(t, src))
	src.cache.SetConfig(config(7, 3))
	src.read(12, record(12))
	f.poll()
	_, ok := f.cache.ConfigAge()
	assert.Assert(t, !ok, "the source does not know whether its configuration is the newest one")

	at := boottime.Now() - 50*time.Millisecond
	confirm(src.cache, at)
	src.read(13, record(12))
	f.poll()
	assertAge(t, f.cache, at)
	assert.Equal(t, f.cache.ConfigCursor().Version, src.cache.ConfigCursor().Version)

	// The source is told nothing that it has told itself.
	for range 20 {
		src.read(src.version()+1, record(12))
		answer, _ := f.poll()
		assertAge(t, f.cache, at)
		assert.Equal(t, f.cache.ConfirmedBeyond(answer.Delta.ConfigConfirmed()), catalog.ConfigCursor{})
	}
}

// Guards against a confirmation of a version that an instance does not have yet, as when it is
// too large for the answer to a poll.
func TestConfirmationOfMissingVersion(t *testing.T) {
	src := newSource()
	f := newFollower(t, serve(t, src))
	src.cache.SetConfig(config(7, 1400))
	confirm(src.cache, boottime.Now())
	src.read(12, record(12))
	answer, _ := f.poll()
	assert.Assert(t, answer.Delta.Config == nil)
	_, ok := f.cache.ConfigAge()
	assert.Assert(t, !ok)
}

// Guards against instances that stay unconfirmed because the one that asked the store cannot
// tell its source, which passes it on to the others.
func TestConfirmationReachesSource(t *testing.T) {
	src := newSource()
	f := newFollower(t, serve(t, src))
	src.cache.SetConfig(config(7, 3))
	src.read(12, record(12))
	f.poll()
	at := boottime.Now() - 50*time.Millisecond
	confirm(f.cache, at)
	tell := func(cursor catalog.ConfigCursor) {
		t.Helper()
		src.read(src.version()+1, record(12))
		_, err := f.client.Poll(t.Context(), f.from, f.cache.Known(), relay.News{ConfigConfirmed: cursor}, nil)
		assert.NilError(t, err)
	}
	tell(f.cache.ConfigCursor())
	assertAge(t, src.cache, at)

	future := f.cache.ConfigCursor()
	future.StoreNow += time.Minute
	tell(future)
	assertAge(t, src.cache, at)

	src.cache.SetConfig(config(8, 3))
	f.cache.SetConfig(config(9, 3))
	later := f.cache.ConfigCursor()
	later.StoreNow += 10 * time.Millisecond
	tell(later)
	assertAge(t, src.cache, at)
}
