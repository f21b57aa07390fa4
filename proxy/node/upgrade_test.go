//go:build !race

package node_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/mirror"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/peer"
	"github.com/papayarail/papayarail/proxy/relay"
	"github.com/papayarail/papayarail/proxy/simulator"
)

// startEarlierRelease starts an instance of a release without workspaces, which answers
// each poll with a fresh read of the store. The first one in the common order of the
// sources, it is polled by all others.
func (c *cluster) startEarlierRelease(name string) {
	store := c.sim.Store(name)
	assert.NilError(c.t, store.Announce(c.ctx, []source.Candidate{{Name: name, Address: name, FailureDomain: "a", Weight: 9}}))
	server := peer.NewServer(c.log(name))
	server.Handle("reading", func(ctx context.Context, _ json.RawMessage, _ <-chan struct{}) (any, *peer.Error) {
		time.Sleep(100 * time.Millisecond)
		answer, err := earlierAnswer(ctx, store)
		if err != nil {
			return nil, peer.NewError(-32001, err.Error())
		}
		return answer, nil
	})
	l := c.network.Listen(name)
	c.listeners = append(c.listeners, l)
	c.wait.Go(func() { _ = server.Serve(l) }) // ends with the listener
}

// earlierAnswer returns the answer of an earlier release to a poll: its change of the
// configuration has neither workspaces nor the statement whether callers are identified.
func earlierAnswer(ctx context.Context, store *simulator.StoreClient) (any, error) {
	config, _, err := store.Config(ctx, catalog.ConfigCursor{}, 0)
	if err != nil {
		return nil, err
	}
	members, err := store.Members(ctx)
	if err != nil {
		return nil, err
	}
	records, err := store.Records(ctx)
	if err != nil {
		return nil, err
	}
	version := uint64(config.Version)
	plain, err := json.Marshal(relay.Delta{RecordsAsOf: records.StoreNow, MembersAsOf: members.StoreNow,
		Records: &mirror.Delta[primacy.Record]{Version: uint64(records.Version), Full: true, Set: records.Rows},
		Members: &mirror.Delta[catalog.Member]{Version: uint64(members.Version), Full: true, Set: members.Rows}, ConfigVersion: version,
		Config: &relay.ConfigDelta{TransactionIdle: config.TransactionIdle,
			Routes:   &mirror.Delta[catalog.Route]{Version: version, Full: true, Set: config.Routes},
			Services: &mirror.Delta[catalog.Service]{Version: version, Full: true, Set: config.Services}}})
	return map[string]any{"latest": records.StoreNow + time.Millisecond, "earliest": records.StoreNow, "plain": json.RawMessage(plain)}, err
}

// Guards against a rolling upgrade in which an instance polls one of an earlier release:
// it must not serve callers without a valid key, neither with its first configuration nor
// with a newer version, and must have each version within 5 s nevertheless.
func TestEarlierReleaseDuringUpgrade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, true, nil)
		c.sim.SetWorkspaces(workspaces("acme", "k1", "k2"))
		c.startEarlierRelease("old")
		c.start("i1", c.sim.Store("i1"))
		granted := func(key string) bool {
			access, _ := c.nodes["i1"].Access(simulator.Database, catalog.DigestKey(key))
			assert.Assert(t, key != "" || access.Decision != catalog.Granted, "a caller without a key is admitted")
			return access.Decision == catalog.Granted
		}
		for started := time.Now(); time.Since(started) < inForceWithin; time.Sleep(pollDelay) {
			granted("")
		}
		assert.Assert(t, granted("k1") && granted("k2"))
		c.sim.SetWorkspaces(workspaces("acme", "k2"))
		for changed := time.Now(); time.Since(changed) < inForceWithin; time.Sleep(pollDelay) {
			granted("")
		}
		assert.Assert(t, !granted("k1") && granted("k2"))
		c.closeSimulated()
	})
}
