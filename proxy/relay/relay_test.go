package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/peer"
	"github.com/papayarail/papayarail/proxy/relay"
)

// fakeReader returns a fixed reading, an error, or nothing.
type fakeReader struct {
	reading relay.Reading
	err     error
	silent  bool
}

func (f *fakeReader) ReadFor(ctx context.Context, _ bool) (relay.Reading, error) {
	if f.silent {
		<-ctx.Done()
	}
	f.reading.Complete()
	return f.reading, f.err
}

func serve(t *testing.T, reader relay.Reader) source.Candidate {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	server := peer.NewServer(silentLog())
	relay.Register(server, reader)
	go func() { _ = server.Serve(l) }() // ends with the listener
	return source.Candidate{Name: "reader", Address: l.Addr().String()}
}

func silentLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func reading(routes int) relay.Reading {
	config := &catalog.Config{Version: 7, Routes: make(map[string]catalog.Route)}
	for i := range routes {
		name := fmt.Sprint("d", i)
		config.Routes[name] = catalog.Route{Database: name}
	}
	return relay.Reading{
		StoreNow: 5 * time.Second, Config: config,
		Records: map[string]primacy.Record{"s": {Service: "s", Lead: primacy.Lead{Member: "a", Term: 2}, Version: 12}},
		Members: catalog.Members{"a": {ID: "a", Service: "s", Primary: true}},
	}
}

// Guards what an asker learns: everything at first, then only what has changed;
// the version of a record, which decides conditional writes, is kept.
func TestAsk(t *testing.T) {
	reader := &fakeReader{reading: reading(3)}
	from := serve(t, reader)
	client := relay.NewClient(nil, silentLog())
	defer client.Close()
	first, err := client.Ask(t.Context(), from, relay.Known{})
	assert.NilError(t, err)
	assert.DeepEqual(t, first.Records, reader.reading.Records)
	assert.DeepEqual(t, first.Members, reader.reading.Members)
	assert.Equal(t, len(first.Config.Routes), 3)
	second, err := client.Ask(t.Context(), from, first.Digests)
	assert.NilError(t, err)
	assert.Assert(t, second.Records == nil && second.Members == nil && second.Config == nil)
	assert.Equal(t, second.StoreNow, 5*time.Second)
	assert.DeepEqual(t, first.Updated(second).Records, first.Records)
	record := reader.reading.Records["s"]
	record.Version++
	reader.reading.Records = map[string]primacy.Record{"s": record}
	third, err := client.Ask(t.Context(), from, second.Digests)
	assert.NilError(t, err)
	assert.Equal(t, third.Records["s"].Version, uint64(13))
}

// A configuration of 1,400 routes for 85 instances would take a small link 14 s;
// askers get its version and read it from the store.
func TestLargeConfigIsNotRelayed(t *testing.T) {
	from := serve(t, &fakeReader{reading: reading(1400)})
	client := relay.NewClient(nil, silentLog())
	defer client.Close()
	r, err := client.Ask(t.Context(), from, relay.Known{})
	assert.NilError(t, err)
	assert.Assert(t, r.Config == nil)
	assert.Equal(t, r.Digests.Config, int64(7))
}

// Guards the two kinds of failure, which lead to different choices of the next
// source.
func TestAskFailures(t *testing.T) {
	client := relay.NewClient(nil, silentLog())
	defer client.Close()
	_, err := client.Ask(t.Context(), serve(t, &fakeReader{err: errors.New("no answer")}), relay.Known{})
	assert.ErrorIs(t, err, relay.ErrStoreAway)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = client.Ask(ctx, serve(t, &fakeReader{silent: true}), relay.Known{})
	assert.Assert(t, err != nil && !errors.Is(err, relay.ErrStoreAway))
}
