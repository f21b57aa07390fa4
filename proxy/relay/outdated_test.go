package relay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/mirror"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/relay"
)

// Guards against a list or records that count as newer than they are: a change that starts
// from a version which the cache no longer has is not applied, but raised their time.
func TestIgnoredDeltaIsNoNewerRead(t *testing.T) {
	cache := relay.NewCache(func() time.Duration { return 20 * time.Second })
	cache.SetMembers(catalog.Snapshot[catalog.Member]{Rows: catalog.Members{"a": {ID: "a", Service: "s", Address: "a", Slots: 2}}, Version: 7, StoreNow: 10 * time.Second}, 10*time.Second, 10*time.Second)
	cache.SetRecords(catalog.Snapshot[primacy.Record]{Rows: map[string]primacy.Record{"s": {Service: "s", Version: 6}}, Version: 7, StoreNow: 10 * time.Second}, 10*time.Second, 10*time.Second)
	_, before := cache.Members()
	answer := relay.Answer{Earliest: 19 * time.Second, Latest: 19*time.Second + time.Millisecond}
	answer.Delta.MembersAsOf, answer.Delta.RecordsAsOf = 18*time.Second, 18*time.Second
	answer.Delta.Members = &mirror.Delta[catalog.Member]{From: 5, Version: 9, Set: map[string]catalog.Member{"d": {ID: "d", Service: "s", Address: "d", Slots: 2}}}
	answer.Delta.Records = &mirror.Delta[primacy.Record]{From: 5, Version: 9, Set: map[string]primacy.Record{"s": {Service: "s", Version: 8}}}
	changes := cache.Apply(answer, 19*time.Second, 19*time.Second)
	assert.Assert(t, !changes.MembersRead && !changes.RecordsRead, "%+v", changes)
	_, after := cache.Members()
	assert.Equal(t, after.Store, before.Store)
	assert.Equal(t, cache.Known().RecordsAsOf, 10*time.Second)
}
