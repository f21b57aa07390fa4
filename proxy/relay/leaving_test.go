package relay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/storeversion"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/relay"
)

// readMember stores a list of one member, read now, on an instance.
func readMember(cache *relay.Cache, version storeversion.Version, m catalog.Member) (now time.Duration) {
	now = boottime.Now()
	m.ID, m.Service, m.FailureDomain, m.Address, m.Slots = "a", "s", "z", "10.1.0.9:80", 2
	cache.SetMembers(catalog.Snapshot[catalog.Member]{Rows: catalog.Members{"a": m}, Version: version, StoreNow: now + time.Hour}, now, now)
	return now
}

// assertLeaving checks since when an instance takes the member to leave.
func assertLeaving(t *testing.T, cache *relay.Cache, started int64, since time.Duration) {
	t.Helper()
	report, ok := cache.Leaving()["a"]
	assert.Assert(t, ok, "the report is not known")
	assert.Equal(t, report.Started, started)
	assert.Check(t, report.Since <= since && report.Since > since-50*time.Millisecond, "since %s instead of %s", report.Since, since)
}

// Guards against an instance that counts the drain time of a member from its own first list:
// only one that has seen the member before the report knows a time before it, and tells.
func TestLeavingSinceIsPassedOn(t *testing.T) {
	src, late := newSource(), newSource()
	lastBefore := readMember(src.cache, 11, catalog.Member{Started: 7})
	readMember(src.cache, 12, catalog.Member{Started: 7, Draining: true})
	src.read(12, record(12))
	assertLeaving(t, src.cache, 7, lastBefore)

	readMember(late.cache, 12, catalog.Member{Started: 7, Draining: true})
	assert.Equal(t, len(late.cache.Leaving()), 0)

	f := newFollower(t, serve(t, src))
	_, changes := f.poll()
	assert.Assert(t, changes.LeavingChanged)
	assertLeaving(t, f.cache, 7, lastBefore)

	// An instance that reads the store itself, and polls nobody, learns it from those that
	// poll it.
	late.read(13, record(12))
	f.from = serve(t, late)
	answer, _ := f.poll()
	news := f.cache.LeavingBeyond(answer.Delta.Leaving)
	assert.Equal(t, len(news), 1)
	late.read(14, record(12))
	answer, err := f.client.Poll(t.Context(), f.from, f.cache.Known(), relay.News{Leaving: news}, nil)
	assert.NilError(t, err)
	assertLeaving(t, late.cache, 7, lastBefore)
	assert.Equal(t, len(f.cache.LeavingBeyond(answer.Delta.Leaving)), 0)
}

// Guards against the report of an earlier incarnation that counts for a later one, and against
// one of the future, after which the member would be used for too long.
func TestLeavingSinceOfAnotherIncarnation(t *testing.T) {
	src := newSource()
	readMember(src.cache, 11, catalog.Member{Started: 7})
	readMember(src.cache, 12, catalog.Member{Started: 7, Draining: true})
	assert.Equal(t, len(src.cache.Leaving()), 1)
	readMember(src.cache, 13, catalog.Member{Started: 8, Draining: true})
	assert.Equal(t, len(src.cache.Leaving()), 0)

	src.read(14, record(12))
	f := newFollower(t, serve(t, src))
	for _, report := range []catalog.LeavingSince{{Started: 7, Since: time.Hour}, {Started: 8, Since: boottime.Now() + 2*time.Hour}} {
		src.read(src.version()+1, record(12))
		_, err := f.client.Poll(t.Context(), f.from, f.cache.Known(), relay.News{Leaving: catalog.Leaving{"a": report}}, nil)
		assert.NilError(t, err)
		assert.Equal(t, len(src.cache.Leaving()), 0)
	}
}
