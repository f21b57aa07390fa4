package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/core/storeversion"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/peer"
	"github.com/papayarail/papayarail/proxy/relay"
)

// fakeSource is a relay.Source that records announcements and calls of PollFaster.
type fakeSource struct {
	cache       *relay.Cache
	unavailable bool
	announce    chan source.Candidate
	pollFaster  chan struct{}
	outdated    chan string
}

func newSource() *fakeSource {
	return &fakeSource{cache: relay.NewCache(boottime.Now), announce: make(chan source.Candidate, 10), pollFaster: make(chan struct{}, 1), outdated: make(chan string, 10)}
}

func (f *fakeSource) Cache() *relay.Cache     { return f.cache }
func (f *fakeSource) Unavailable(string) bool { return f.unavailable }
func (f *fakeSource) PollFaster()             { f.pollFaster <- struct{}{} }
func (f *fakeSource) ConfigOutdated(requester string) {
	f.outdated <- requester
}
func (f *fakeSource) Announce(all []source.Candidate) {
	for _, c := range all {
		f.announce <- c
	}
}

// read stores a read from a store whose clock is one hour ahead.
func (f *fakeSource) read(version storeversion.Version, records map[string]primacy.Record) {
	now := boottime.Now()
	f.cache.SetRecords(catalog.Snapshot[primacy.Record]{Rows: records, Version: version, StoreNow: now + time.Hour}, now, now)
}

// version returns that of the newest read.
func (f *fakeSource) version() storeversion.Version {
	return storeversion.Version(f.cache.Known().Records)
}

func serve(t *testing.T, src relay.Source) source.Candidate {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	server := peer.NewServer(silentLog())
	relay.Register(server, src)
	go func() { _ = server.Serve(l) }() // ends with the listener
	return source.Candidate{Name: "reader", Address: l.Addr().String()}
}

func silentLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// follower is an instance that polls another one.
type follower struct {
	t      *testing.T
	cache  *relay.Cache
	client *relay.Client
	from   source.Candidate
}

func newFollower(t *testing.T, from source.Candidate) *follower {
	client := relay.NewClient("asker", "", nil, silentLog())
	t.Cleanup(client.Close)
	return &follower{t, relay.NewCache(boottime.Now), client, from}
}

func (f *follower) poll() (relay.Answer, relay.Changes) {
	f.t.Helper()
	sentAt := boottime.Now()
	answer, err := f.client.Poll(f.t.Context(), f.from, f.cache.Known(), relay.News{}, nil)
	assert.NilError(f.t, err)
	return answer, f.cache.Apply(answer, sentAt, boottime.Now())
}

func record(version storeversion.Version) map[string]primacy.Record {
	return map[string]primacy.Record{"s": {Service: "s", Primary: primacy.Primary{Member: "a", Term: 2}, Version: version}}
}

func config(version int64, routes int) *catalog.Config {
	c := &catalog.Config{Version: version, Routes: make(map[string]catalog.Route), Services: map[string]catalog.Service{"s": {Name: "s"}}, TransactionIdle: time.Second}
	for i := range routes {
		name := fmt.Sprint("d", i)
		c.Routes[name] = catalog.Route{Database: name, Service: "s"}
	}
	return c
}

// Guards against an invalid row that an instance of an earlier release has read and that
// is used here or passed on. A row that was valid before is gone then.
func TestInvalidRowsAreNotPassedOn(t *testing.T) {
	src := newSource()
	f := newFollower(t, serve(t, src))
	valid := catalog.Member{ID: "a", Service: "s", FailureDomain: "z", Address: "10.1.0.9:80", Slots: 2}
	now := boottime.Now()
	src.cache.SetMembers(catalog.Snapshot[catalog.Member]{Rows: catalog.Members{"a": valid, "b": {ID: "b", Service: "s", Slots: -5}}, Version: 11, StoreNow: now + time.Hour}, now, now)
	src.cache.SetInstances(catalog.Snapshot[source.Candidate]{Rows: map[string]source.Candidate{"i": {Name: "i", Address: "10.1.0.9:80"}, "k": {Name: "k", Address: "10.1.0.9:0"}}, Version: 11})
	src.read(12, record(12))
	f.poll()
	members, _ := f.cache.Members()
	assert.DeepEqual(t, members, catalog.Members{"a": valid})
	assert.DeepEqual(t, f.cache.Instances(), []source.Candidate{{Name: "i", Address: "10.1.0.9:80"}})

	valid.Slots = 0
	now = boottime.Now()
	src.cache.SetMembers(catalog.Snapshot[catalog.Member]{Rows: catalog.Members{"a": valid}, Version: 13, StoreNow: now + time.Hour}, now, now)
	src.read(14, record(12))
	f.poll()
	members, _ = f.cache.Members()
	assert.Equal(t, len(members), 0)
}

// Guards against instances that do not learn that a member has left, and wait for it in a
// failover; and against departures that are sent again with each answer, or of a member that
// is registered again.
func TestDeparturesArePassedOn(t *testing.T) {
	src := newSource()
	f := newFollower(t, serve(t, src))
	member := func(id string) catalog.Member {
		return catalog.Member{ID: id, Service: "s", FailureDomain: "z", Address: "10.1.0.9:80", Slots: 2, Started: 3}
	}
	read := func(version storeversion.Version, rows catalog.Members, left catalog.Departures) {
		now := boottime.Now()
		src.cache.SetMembers(catalog.Snapshot[catalog.Member]{Rows: rows, Version: version, StoreNow: now + time.Hour, Left: left}, now, now)
		src.read(version+1, record(12))
		f.poll()
	}
	read(11, catalog.Members{"a": member("a"), "b": member("b"), "c": member("c")}, nil)
	assert.Equal(t, len(f.cache.Departures()), 0)
	read(21, catalog.Members{"a": member("a")}, catalog.Departures{"b": 3})
	assert.DeepEqual(t, f.cache.Departures(), catalog.Departures{"b": 3})
	read(31, catalog.Members{"a": member("a"), "d": member("d")}, nil)
	answer, _ := f.poll()
	assert.Equal(t, len(answer.Delta.Left), 0)
	late := newFollower(t, f.from)
	late.poll()
	assert.DeepEqual(t, late.cache.Departures(), catalog.Departures{"b": 3})
	read(41, catalog.Members{"a": member("a"), "b": member("b")}, nil)
	assert.Equal(t, len(f.cache.Departures()), 0)
}

// Guards the content of answers: everything at first, then only what has changed; the
// version of a record, on which conditional writes depend, must be kept.
func TestPoll(t *testing.T) {
	src := newSource()
	f := newFollower(t, serve(t, src))
	src.cache.SetConfig(config(7, 3))
	now := boottime.Now()
	src.cache.SetMembers(catalog.Snapshot[catalog.Member]{Rows: catalog.Members{"a": {ID: "a", Service: "s", FailureDomain: "z", Address: "10.1.0.9:80", Slots: 2, Primary: true}}, Version: 11, StoreNow: now + time.Hour}, now, now)
	src.read(12, record(12))
	_, changes := f.poll()
	assert.Equal(t, changes, relay.Changes{RecordsRead: true, MembersRead: true, MembersChanged: true, ConfigChanged: true})
	assert.DeepEqual(t, f.cache.Records().Records, record(12))
	assert.DeepEqual(t, f.cache.Config(), config(7, 3))

	src.read(13, record(12))
	answer, changes := f.poll()
	assert.Equal(t, changes, relay.Changes{RecordsRead: true})
	assert.Equal(t, len(answer.Delta.Records.Set), 0)
	assert.Assert(t, answer.Delta.Members == nil && answer.Delta.Config == nil)

	src.read(14, record(14))
	f.poll()
	assert.DeepEqual(t, f.cache.Records().Records, record(14))
}

// Guards the read lease over a relay: the age of a snapshot counts from its read, however
// long an instance held it before passing it on.
func TestAgeCountsFromTheRead(t *testing.T) {
	src := newSource()
	f := newFollower(t, serve(t, src))
	readAt := boottime.Now()
	src.read(12, record(12))
	const held = 60 * time.Millisecond
	timer := time.NewTimer(held)
	<-timer.C
	f.poll()
	at := f.cache.Records().ReadAt
	assert.Assert(t, at.Earliest <= readAt, "%s later than the read", at.Earliest-readAt)
	assert.Assert(t, at.Latest >= readAt)
	age, ok := f.cache.Age()
	assert.Assert(t, ok && age >= held, "age %s", age)
}

// Guards the long poll: without a newer read it must end with an answer without changes,
// which shows that the polled instance is alive, and otherwise at once with the newer
// read.
func TestPollWaitsForNewerRead(t *testing.T) {
	src := newSource()
	f := newFollower(t, serve(t, src))
	src.read(12, record(12))
	f.poll()
	_, changes := f.poll()
	assert.Equal(t, changes, relay.Changes{}, "nothing is new")
	time.AfterFunc(20*time.Millisecond, func() { src.read(13, record(12)) })
	started := time.Now()
	_, changes = f.poll()
	assert.Assert(t, changes.RecordsRead)
	assert.Assert(t, time.Since(started) < 300*time.Millisecond)
}

// Guards the distribution of a configuration of 1,400 routes, whose 256 KB were the
// largest cost of 100 instances while each read it from the store. It must not delay
// the records, and a later version must consist of the changed routes only.
func TestLargeConfig(t *testing.T) {
	src := newSource()
	f := newFollower(t, serve(t, src))
	src.cache.SetConfig(config(7, 1400))
	src.read(12, record(12))
	answer, changes := f.poll()
	assert.Assert(t, changes.RecordsRead && !changes.ConfigChanged && answer.Delta.ConfigVersion == 7)
	d, err := f.client.FetchConfig(t.Context(), 0)
	assert.NilError(t, err)
	assert.Assert(t, f.cache.ApplyConfig(d).ConfigChanged)
	assert.DeepEqual(t, f.cache.Config(), config(7, 1400))
	_, err = f.client.FetchConfig(t.Context(), 7)
	assert.ErrorContains(t, err, "no newer")
	changed := config(9, 1400)
	changed.Routes["d5"] = catalog.Route{Database: "d5", Service: "s", Timeout: time.Second}
	delete(changed.Routes, "d6")
	src.cache.SetConfig(changed)
	src.read(13, record(12))
	answer, changes = f.poll()
	assert.Assert(t, changes.ConfigChanged)
	assert.Equal(t, len(answer.Delta.Config.Routes.Set), 1)
	assert.DeepEqual(t, f.cache.Config(), changed)
	old := relay.Answer{Delta: relay.Delta{Config: &relay.ConfigDelta{Routes: answer.Delta.Config.Routes, Services: answer.Delta.Config.Services, Workspaces: answer.Delta.Config.Workspaces, Identified: answer.Delta.Config.Identified}}}
	old.Delta.Config.Routes.Version, old.Delta.Config.Services.Version, old.Delta.Config.Workspaces.Version = 8, 8, 8
	f.cache.Apply(old, 0, boottime.Now())
	assert.DeepEqual(t, f.cache.Config(), changed) // an older version must not replace it
}

// Guards against an instance that polls its source without a pause while that is starting
// and has a configuration, but no records: it must keep the configuration, so that the next
// poll waits.
func TestConfigOfStartingSource(t *testing.T) {
	src := newSource()
	f := newFollower(t, serve(t, src))
	src.cache.SetConfig(config(7, 3))
	_, changes := f.poll()
	assert.Equal(t, changes, relay.Changes{ConfigChanged: true})
	started := time.Now()
	f.poll()
	assert.Assert(t, time.Since(started) > 250*time.Millisecond, "answered after %s", time.Since(started))
}

// Guards against an instance that encodes a configuration again which it received in
// parts: what it passes on must be the same, over several instances.
func TestLargeConfigIsPassedOn(t *testing.T) {
	src := newSource()
	src.cache.SetConfig(config(7, 1400))
	src.read(12, record(12))
	for range 3 {
		f := newFollower(t, serve(t, src))
		f.poll()
		d, err := f.client.FetchConfig(t.Context(), 0)
		assert.NilError(t, err)
		assert.Assert(t, f.cache.ApplyConfig(d).ConfigChanged)
		assert.DeepEqual(t, f.cache.Config(), config(7, 1400))
		src = &fakeSource{cache: f.cache}
	}
}

// Guards the distinction between a stale and a silent source, on which the choice of
// the next source depends.
func TestPollFailures(t *testing.T) {
	client := relay.NewClient("asker", "", nil, silentLog())
	defer client.Close()
	stale := newSource()
	stale.unavailable = true
	_, err := client.Poll(t.Context(), serve(t, stale), relay.Known{}, relay.News{}, nil)
	assert.ErrorIs(t, err, relay.ErrStale)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = client.Poll(ctx, serve(t, newSource()), relay.Known{RecordsAsOf: time.Hour}, relay.News{}, nil)
	assert.Assert(t, err != nil, "the call ends with its context")
}

// Guards the announcement of a starting instance through its source, and the request
// for shorter read intervals during a failover.
func TestAnnounceAndPollFaster(t *testing.T) {
	src := newSource()
	src.read(12, record(12))
	client := relay.NewClient("asker", "", nil, silentLog())
	defer client.Close()
	assert.NilError(t, client.PollFaster(t.Context()), "must do nothing without a source")
	self := source.Candidate{Name: "asker", Address: "10.1.0.9:1"}
	_, err := client.Poll(t.Context(), serve(t, src), relay.Known{}, relay.News{}, []source.Candidate{self})
	assert.NilError(t, err)
	assert.Equal(t, <-src.announce, self)
	assert.NilError(t, client.PollFaster(t.Context()))
	<-src.pollFaster
}

// Guards against an answer that claims to be from the future, from an instance of another
// version or with a broken clock: it kept out every later read.
func TestAnswerFromTheFutureIsIgnored(t *testing.T) {
	src := newSource()
	f := newFollower(t, serve(t, src))
	src.read(12, record(12))
	f.poll()
	f.cache.Apply(relay.Answer{Delta: relay.Delta{RecordsAsOf: 1 << 60}}, 0, boottime.Now())
	src.read(13, record(13))
	_, changes := f.poll()
	assert.Assert(t, changes.RecordsRead)
}

// Guards the transfer of a configuration in several parts: sent as one answer, it would
// block a slow link for longer than the write timeout.
func TestConfigInParts(t *testing.T) {
	src := newSource()
	f := newFollower(t, serve(t, src))
	large := config(7, 20000)
	src.cache.SetConfig(large)
	src.read(12, record(12))
	f.poll()
	d, err := f.client.FetchConfig(t.Context(), 0)
	assert.NilError(t, err)
	assert.Assert(t, f.cache.ApplyConfig(d).ConfigChanged)
	assert.Equal(t, len(f.cache.Config().Routes), len(large.Routes))
}

// Guards against an instance that keeps its snapshot of the store after a restore until
// the store's counter has caught up, and against one that takes an older one back from a
// peer which has not seen the restore.
func TestSnapshotOfLaterEraReplacesHigherCounter(t *testing.T) {
	src, behind := newSource(), newSource()
	f, g := newFollower(t, serve(t, src)), newFollower(t, serve(t, behind))
	src.read(900, record(900))
	behind.read(900, record(900))
	f.poll()
	restored, err := storeversion.New(1, 3)
	assert.NilError(t, err)
	src.read(restored, record(restored))
	f.poll()
	assert.Equal(t, f.cache.Records().Version, restored)
	assert.DeepEqual(t, f.cache.Records().Records, record(restored))
	g.cache = f.cache
	behind.read(901, record(901))
	g.poll()
	assert.DeepEqual(t, f.cache.Records().Records, record(restored))
}

// Guards against an instance that started after a restore and counts the wait for lost
// claims from its own start.
func TestEarliestAnswerOfEraIsRelayed(t *testing.T) {
	src := newSource()
	restored, err := storeversion.New(1, 3)
	assert.NilError(t, err)
	src.read(900, record(900))
	beforeFirst := boottime.Now() + time.Hour
	src.read(restored, record(restored))
	seenAt := src.cache.Records().EraSeenAt
	assert.Assert(t, seenAt >= beforeFirst)
	src.read(restored+1, record(restored))
	f := newFollower(t, serve(t, src))
	f.poll()
	assert.Equal(t, f.cache.Records().EraSeenAt, seenAt)
}

// Guards against instances and groups that are woken by each read of the store while a
// member counts down how long it stays cold: only the end is a change.
func TestColdMemberIsNoChange(t *testing.T) {
	cache := relay.NewCache(func() time.Duration { return time.Hour })
	read := func(version storeversion.Version, coldFor time.Duration) relay.Changes {
		at := time.Duration(version) * time.Second
		m := catalog.Member{ID: "m", Service: "s", FailureDomain: "z", Address: "10.1.0.9:80", Slots: 2, Started: 7, ColdFor: coldFor}
		return cache.SetMembers(catalog.Snapshot[catalog.Member]{Rows: catalog.Members{"m": m}, Version: version, StoreNow: at}, at, at)
	}
	assert.Assert(t, read(1, 3*time.Second).MembersChanged)
	before, _ := cache.Members()
	assert.Equal(t, read(2, 2*time.Second), relay.Changes{MembersRead: true})
	after, _ := cache.Members()
	assert.Assert(t, before["m"].ColdFor > 0 && catalog.Members(before).Equal(after))
	assert.Assert(t, read(3, 0).MembersChanged)
	warm, _ := cache.Members()
	assert.Assert(t, !catalog.Members(after).Equal(warm))
}
