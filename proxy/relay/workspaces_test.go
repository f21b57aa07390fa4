package relay_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/relay"
)

// withKeys returns a configuration with one workspace that has these keys.
func withKeys(version int64, keys ...string) *catalog.Config {
	c := config(version, 3)
	w := catalog.Workspace{Name: "acme", Priority: 1, Rate: 12.5, Burst: 30}
	for _, key := range keys {
		w.Keys = append(w.Keys, catalog.DigestKey(key))
	}
	c.Workspaces = map[string]catalog.Workspace{w.Name: w}
	return c
}

// Guards against a relayed configuration that decides otherwise than the same one read
// from the store: keys added, one and all of them revoked, all workspaces removed, and
// callers no longer identified, each as a change and as a whole.
func TestRelayedWorkspacesEqualThoseOfTheStore(t *testing.T) {
	nobody, anonymous := config(11, 3), config(12, 3)
	nobody.Workspaces = map[string]catalog.Workspace{}
	src := newSource()
	from := serve(t, src)
	f := newFollower(t, from)
	for i, c := range []*catalog.Config{withKeys(7, "k1"), withKeys(8, "k1", "k2"), withKeys(9, "k2"), withKeys(10), nobody, anonymous, withKeys(13, "k1")} {
		assert.Assert(t, src.cache.SetConfig(c).ConfigChanged)
		src.read(12, record(12))
		f.poll()
		assert.DeepEqual(t, f.cache.Config(), c)
		assert.DeepEqual(t, src.cache.Config(), c)
		started := newFollower(t, from)
		started.poll()
		assert.DeepEqual(t, started.cache.Config(), c)
		for _, key := range []string{"k1", "k2", "k3", ""} {
			digest := catalog.DigestKey(key)
			assert.Equal(t, f.cache.Config().Access("d1", digest).Decision, c.Access("d1", digest).Decision, "step %d, key %s", i, key)
		}
	}
}

// Guards against an older copy that makes a revoked key valid again, whether it comes from
// the store, after a restore, or from a peer.
func TestOlderCopyDoesNotRestoreKeys(t *testing.T) {
	src, behind := newSource(), newSource()
	src.cache.SetConfig(withKeys(8, "k2"))
	behind.cache.SetConfig(withKeys(7, "k1"))
	src.read(12, record(12))
	behind.read(13, record(12))
	f := newFollower(t, serve(t, src))
	f.poll()
	f.from = serve(t, behind)
	_, changes := f.poll()
	assert.Assert(t, !changes.ConfigChanged)
	assert.Assert(t, !f.cache.SetConfig(withKeys(7, "k1")).ConfigChanged)
	d, err := newFollowerOf(t, f.from).FetchConfig(t.Context(), 0)
	assert.NilError(t, err)
	assert.Assert(t, !f.cache.ApplyConfig(d).ConfigChanged)
	_, ok := f.cache.Config().WorkspaceOf(catalog.DigestKey("k1"))
	assert.Assert(t, !ok, "a revoked key is valid again")
}

// newFollowerOf returns a client that has polled the instance.
func newFollowerOf(t *testing.T, from source.Candidate) *relay.Client {
	f := newFollower(t, from)
	f.poll()
	return f.client
}

// Guards against an instance of an earlier release that makes a newer one open to
// everybody: its changes have no workspaces and do not say whether callers are
// identified. Neither a first configuration nor a newer version may be taken from it.
func TestEarlierReleaseDoesNotOpenDeployment(t *testing.T) {
	for name, before := range map[string]*catalog.Config{"none": nil, "identified": withKeys(7, "k1"), "not identified": config(7, 3)} {
		t.Run(name, func(t *testing.T) {
			newer := newSource()
			newer.cache.SetConfig(withKeys(8, "k1"))
			newer.read(12, record(12))
			answer, _ := newFollower(t, serve(t, newer)).poll()
			earlier := *answer.Delta.Config
			earlier.Workspaces, earlier.Identified = nil, nil
			raw, err := json.Marshal(earlier)
			assert.NilError(t, err)
			assert.Assert(t, !strings.Contains(string(raw), "identified"))
			var received relay.ConfigDelta
			assert.NilError(t, json.Unmarshal(raw, &received))
			assert.Assert(t, !received.Complete())
			cache := relay.NewCache(boottime.Now)
			if before != nil {
				cache.SetConfig(before)
			}
			answer.Delta.Config = &received
			assert.Assert(t, !cache.Apply(answer, 0, boottime.Now()).ConfigChanged)
			assert.Assert(t, !cache.ApplyConfig(&received).ConfigChanged)
			assert.DeepEqual(t, cache.Config(), before)
		})
	}
}

// Guards against a version that is applied in part: routes sent in full with workspaces as
// a change from a version that the cache has left meanwhile. The cache then had the
// new version, and kept keys that it revokes for good.
func TestChangeIsAppliedAsAWhole(t *testing.T) {
	src := newSource()
	src.cache.SetConfig(withKeys(7, "k1"))
	src.read(12, record(12))
	f := newFollower(t, serve(t, src))
	f.poll()
	src.cache.SetConfig(withKeys(9, "k2"))
	d, err := f.client.FetchConfig(t.Context(), 7)
	assert.NilError(t, err)
	d.Routes.Full, d.Routes.Set = true, withKeys(9).Routes
	f.cache.SetConfig(withKeys(8, "k1"))
	assert.Assert(t, !f.cache.ApplyConfig(d).ConfigChanged)
	assert.DeepEqual(t, f.cache.Config(), withKeys(8, "k1"))
}

// Guards against a key in a message between instances, and against 2,000 workspaces with
// several keys that delay the records or cannot be transferred.
func TestManyWorkspaces(t *testing.T) {
	c := config(7, 3)
	c.Workspaces = make(map[string]catalog.Workspace)
	for i := range 2000 {
		w := catalog.Workspace{Name: fmt.Sprint("w", i)}
		for k := range 4 {
			w.Keys = append(w.Keys, catalog.DigestKey(fmt.Sprint("secret", i, "/", k)))
		}
		c.Workspaces[w.Name] = w
	}
	src := newSource()
	src.cache.SetConfig(c)
	src.read(12, record(12))
	f := newFollower(t, serve(t, src))
	answer, _ := f.poll()
	assert.Assert(t, answer.Delta.Config == nil && answer.Delta.ConfigVersion == 7)
	d, err := f.client.FetchConfig(t.Context(), 0)
	assert.NilError(t, err)
	raw, err := json.Marshal(d)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(raw), "secret"))
	assert.Assert(t, f.cache.ApplyConfig(d).ConfigChanged)
	assert.DeepEqual(t, f.cache.Config(), c)
}

// Guards against an instance that reads the store and never learns that the instances that
// poll it have a newer configuration, in which keys are revoked that it still accepts.
func TestSourceLearnsOfNewerConfig(t *testing.T) {
	src := newSource()
	src.cache.SetConfig(withKeys(7, "k1"))
	src.read(12, record(12))
	f := newFollower(t, serve(t, src))
	f.poll()
	src.read(13, record(12))
	f.poll()
	assert.Equal(t, len(src.outdated), 0)
	f.cache.SetConfig(withKeys(8))
	src.read(14, record(12))
	f.poll()
	assert.Equal(t, <-src.outdated, "asker")
}

// Guards the question of a starting instance, which must not transfer a configuration to
// learn whether it is newer, and the transfer of a change that is small enough for the
// answer to a poll.
func TestNewerConfigOfAnotherInstance(t *testing.T) {
	src := newSource()
	src.cache.SetConfig(withKeys(8, "k2"))
	from := serve(t, src)
	f := newFollower(t, from)
	assert.Assert(t, f.client.HasNewerConfig(t.Context(), from, 7))
	assert.Assert(t, !f.client.HasNewerConfig(t.Context(), from, 8))
	assert.Assert(t, !f.client.HasNewerConfig(t.Context(), source.Candidate{Address: "127.0.0.1:1"}, 7))
	d, err := f.client.FetchConfigFrom(t.Context(), from, 0)
	assert.NilError(t, err)
	assert.Assert(t, f.cache.ApplyConfig(d).ConfigChanged)
	assert.DeepEqual(t, f.cache.Config(), withKeys(8, "k2"))
}
