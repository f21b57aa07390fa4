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

	"github.com/papayarail/papayarail/core/leadership"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/peer"
	"github.com/papayarail/papayarail/proxy/relay"
)

// fakeSource is an instance whose readings are passed on.
type fakeSource struct {
	state    *relay.Cache
	away     bool
	announce chan source.Candidate
	hurried  chan struct{}
}

func newSource() *fakeSource {
	return &fakeSource{state: relay.NewCache(boottime.Now), announce: make(chan source.Candidate, 10), hurried: make(chan struct{}, 1)}
}

func (f *fakeSource) Cache() *relay.Cache     { return f.state }
func (f *fakeSource) Unavailable(string) bool { return f.away }
func (f *fakeSource) PollFaster()             { f.hurried <- struct{}{} }
func (f *fakeSource) Announce(all []source.Candidate) {
	for _, c := range all {
		f.announce <- c
	}
}

// read takes in a reading of the store whose clock is one hour ahead.
func (f *fakeSource) read(version uint64, records map[string]leadership.Record) {
	now := boottime.Now()
	f.state.SetRecords(catalog.Snapshot[leadership.Record]{Rows: records, Version: version, StoreNow: now + time.Hour}, now, now)
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

// asker is an instance that asks another one.
type asker struct {
	t      *testing.T
	state  *relay.Cache
	client *relay.Client
	from   source.Candidate
}

func newAsker(t *testing.T, from source.Candidate) *asker {
	client := relay.NewClient("asker", nil, silentLog())
	t.Cleanup(client.Close)
	return &asker{t, relay.NewCache(boottime.Now), client, from}
}

func (a *asker) ask() (relay.Answer, relay.Changes) {
	a.t.Helper()
	sentAt := boottime.Now()
	answer, err := a.client.Poll(a.t.Context(), a.from, a.state.Known(), nil)
	assert.NilError(a.t, err)
	return answer, a.state.Apply(answer, sentAt, boottime.Now())
}

func record(version uint64) map[string]leadership.Record {
	return map[string]leadership.Record{"s": {Service: "s", Leader: leadership.Leader{Member: "a", Term: 2}, Version: version}}
}

func config(version int64, routes int) *catalog.Config {
	c := &catalog.Config{Version: version, Routes: make(map[string]catalog.Route), Services: map[string]catalog.Service{"s": {Name: "s"}}, TransactionIdle: time.Second}
	for i := range routes {
		name := fmt.Sprint("d", i)
		c.Routes[name] = catalog.Route{Database: name, Service: "s"}
	}
	return c
}

// Guards what an asker learns: everything at first, then only what has changed;
// the version of a record, which decides conditional writes, is kept.
func TestAsk(t *testing.T) {
	src := newSource()
	a := newAsker(t, serve(t, src))
	src.state.SetConfig(config(7, 3))
	now := boottime.Now()
	src.state.SetMembers(catalog.Snapshot[catalog.Member]{Rows: catalog.Members{"a": {ID: "a", Service: "s", Primary: true}}, Version: 11, StoreNow: now + time.Hour}, now, now)
	src.read(12, record(12))
	_, changes := a.ask()
	assert.Equal(t, changes, relay.Changes{RecordsRead: true, MembersRead: true, MembersChanged: true, ConfigChanged: true})
	records, _ := a.state.Records()
	assert.DeepEqual(t, records, record(12))
	assert.DeepEqual(t, a.state.Config(), config(7, 3))

	src.read(13, record(12))
	answer, changes := a.ask()
	assert.Equal(t, changes, relay.Changes{RecordsRead: true})
	assert.Equal(t, len(answer.Delta.Records.Set), 0)
	assert.Assert(t, answer.Delta.Members == nil && answer.Delta.Config == nil)

	src.read(14, record(14))
	a.ask()
	records, _ = a.state.Records()
	assert.DeepEqual(t, records, record(14))
}

// Guards the read lease over a relay: a reading that was held back for a while is
// taken as old, whenever it is asked for.
func TestAgeIsThatOfTheReading(t *testing.T) {
	src := newSource()
	a := newAsker(t, serve(t, src))
	readAt := boottime.Now()
	src.read(12, record(12))
	const held = 60 * time.Millisecond
	timer := time.NewTimer(held)
	<-timer.C
	a.ask()
	_, at := a.state.Records()
	assert.Assert(t, at.Earliest <= readAt, "%s later than the reading", at.Earliest-readAt)
	assert.Assert(t, at.Latest >= readAt)
	age, ok := a.state.Age()
	assert.Assert(t, ok && age >= held, "age %s", age)
}

// Guards the calls of an instance that has all there is: it waits for the next
// reading, and learns after a while that the asked one is alive.
func TestAskWaitsForNews(t *testing.T) {
	src := newSource()
	a := newAsker(t, serve(t, src))
	src.read(12, record(12))
	a.ask()
	_, changes := a.ask()
	assert.Equal(t, changes, relay.Changes{}, "nothing is new")
	time.AfterFunc(20*time.Millisecond, func() { src.read(13, record(12)) })
	started := time.Now()
	_, changes = a.ask()
	assert.Assert(t, changes.RecordsRead)
	assert.Assert(t, time.Since(started) < 300*time.Millisecond)
}

// Guards the spreading of a configuration of 1,400 routes: read from the store by
// each instance, 256 KB each were the greatest price of 100 instances. It does not
// hold up the evidence, and a later one passes by the routes that changed.
func TestLargeConfig(t *testing.T) {
	src := newSource()
	a := newAsker(t, serve(t, src))
	src.state.SetConfig(config(7, 1400))
	src.read(12, record(12))
	answer, changes := a.ask()
	assert.Assert(t, changes.RecordsRead && !changes.ConfigChanged && answer.Delta.ConfigVersion == 7)
	d, err := a.client.FetchConfig(t.Context(), 0)
	assert.NilError(t, err)
	assert.Assert(t, a.state.ApplyConfig(d).ConfigChanged)
	assert.DeepEqual(t, a.state.Config(), config(7, 1400))
	_, err = a.client.FetchConfig(t.Context(), 7)
	assert.ErrorContains(t, err, "no newer")
	changed := config(9, 1400)
	changed.Routes["d5"] = catalog.Route{Database: "d5", Service: "s", Timeout: time.Second}
	delete(changed.Routes, "d6")
	src.state.SetConfig(changed)
	src.read(13, record(12))
	answer, changes = a.ask()
	assert.Assert(t, changes.ConfigChanged)
	assert.Equal(t, len(answer.Delta.Config.Routes.Set), 1)
	assert.DeepEqual(t, a.state.Config(), changed)
	old := relay.Answer{Delta: relay.Delta{Config: &relay.ConfigDelta{Routes: answer.Delta.Config.Routes, Services: answer.Delta.Config.Services}}}
	old.Delta.Config.Routes.Version, old.Delta.Config.Services.Version = 8, 8
	a.state.Apply(old, 0, boottime.Now())
	assert.DeepEqual(t, a.state.Config(), changed) // an older version is never put in force
}

// Guards the two kinds of failure, which lead to different choices of the next
// source.
func TestAskFailures(t *testing.T) {
	client := relay.NewClient("asker", nil, silentLog())
	defer client.Close()
	away := newSource()
	away.away = true
	_, err := client.Poll(t.Context(), serve(t, away), relay.Known{}, nil)
	assert.ErrorIs(t, err, relay.ErrStale)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = client.Poll(ctx, serve(t, newSource()), relay.Known{RecordsAsOf: time.Hour}, nil)
	assert.Assert(t, err != nil, "the call ends with its context")
}

// Guards the announcement of a starting instance through the one it asks, and the
// word that a primary is being replaced.
func TestAnnounceAndHurry(t *testing.T) {
	src := newSource()
	src.read(12, record(12))
	client := relay.NewClient("asker", nil, silentLog())
	defer client.Close()
	assert.NilError(t, client.PollFaster(t.Context()), "without a source there is nobody to tell")
	self := source.Candidate{Name: "asker", Address: "10.1.0.9:1"}
	_, err := client.Poll(t.Context(), serve(t, src), relay.Known{}, []source.Candidate{self})
	assert.NilError(t, err)
	assert.Equal(t, <-src.announce, self)
	assert.NilError(t, client.PollFaster(t.Context()))
	<-src.hurried
}

// Guards against an answer that claims to be from the future, as of another
// version or with a broken clock: it kept out every later reading.
func TestReadingFromTheFutureIsIgnored(t *testing.T) {
	src := newSource()
	a := newAsker(t, serve(t, src))
	src.read(12, record(12))
	a.ask()
	a.state.Apply(relay.Answer{Delta: relay.Delta{RecordsAsOf: 1 << 60}}, 0, boottime.Now())
	src.read(13, record(13))
	_, changes := a.ask()
	assert.Assert(t, changes.RecordsRead)
}

// Guards a configuration that takes several parts, on links that an answer of its
// length would block for longer than the time for a write.
func TestConfigInParts(t *testing.T) {
	src := newSource()
	a := newAsker(t, serve(t, src))
	large := config(7, 20000)
	src.state.SetConfig(large)
	src.read(12, record(12))
	a.ask()
	d, err := a.client.FetchConfig(t.Context(), 0)
	assert.NilError(t, err)
	assert.Assert(t, a.state.ApplyConfig(d).ConfigChanged)
	assert.Equal(t, len(a.state.Config().Routes), len(large.Routes))
}
