//go:build !race

package node_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/simulator"
	"github.com/papayarail/papayarail/proxy/statement"
)

// inForceWithin is the time in which a new version of the configuration must be in force
// on every instance (ConfigApplyMs of the requirements).
const inForceWithin = 5 * time.Second

// workspaces returns one workspace with these keys.
func workspaces(name string, keys ...string) map[string]catalog.Workspace {
	w := catalog.Workspace{Name: name, Rate: 100}
	for _, key := range keys {
		w.Keys = append(w.Keys, catalog.DigestKey(key))
	}
	return map[string]catalog.Workspace{name: w}
}

func denied(err error) bool {
	var v *verdict.Error
	return errors.As(err, &v) && v.Code == verdict.Denied && v.Verdict == verdict.NotRun
}

func (s *callerStub) begin() error {
	return s.send(statement.Statement{ID: "t", Kind: statement.Begin}).Err
}

// Guards revocation while sessions are open: from 5 s after a new version, a session with
// a revoked key is refused at its next single statement and at its next BEGIN, its open
// transaction finishes, and nobody else is affected. An added key is accepted.
func TestKeyRevokedWhileSessionsAreOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSimulated(t, "i1")
		c.sim.SetWorkspaces(workspaces("acme", "k1", "k2"))
		time.Sleep(inForceWithin)
		single, next, open := c.openWithKey("i1", simulator.Database, "k1"), c.openWithKey("i1", simulator.Database, "k1"), c.openWithKey("i1", simulator.Database, "k1")
		other, none, anonymous := c.openWithKey("i1", simulator.Database, "k2"), c.openWithKey("i1", simulator.Database, ""), c.openWithKey("i1", simulator.Database+"_stale", "")
		for _, s := range []*callerStub{single, next, open, other} {
			assert.NilError(t, c.write(s))
		}
		assert.Assert(t, denied(c.read(none, 0)))
		assert.NilError(t, c.read(anonymous, 1500*time.Millisecond))
		assert.NilError(t, open.begin())
		assert.NilError(t, open.send(statement.Statement{ID: "t1", Kind: statement.Write, Operands: "y 1"}).Err)

		keepAlive := time.Now()
		c.sim.SetWorkspaces(workspaces("acme", "k2", "k3"))
		for time.Since(keepAlive) < inForceWithin {
			time.Sleep(time.Second) // the transaction would be rolled back after 3 s without a statement
			assert.NilError(t, open.send(statement.Statement{ID: "r", Kind: statement.Read, Operands: "x"}).Err)
		}
		writes := c.sim.CountWrite("revoked")
		assert.Assert(t, denied(single.send(statement.Statement{ID: "revoked", Kind: statement.Write, Operands: "x 1"}).Err))
		assert.Equal(t, c.sim.CountWrite("revoked"), writes, "a refused write ran")
		assert.Assert(t, denied(next.begin()))
		assert.Assert(t, denied(c.read(next, 0)), "the refused BEGIN must not leave a transaction open")
		assert.NilError(t, open.send(statement.Statement{ID: "t2", Kind: statement.Write, Operands: "y 2"}).Err)
		assert.NilError(t, open.send(statement.Statement{ID: "t", Kind: statement.Commit}).Err)
		c.sim.Acknowledge("t2")
		assert.Assert(t, denied(open.begin()))
		assert.NilError(t, c.read(other, 0))
		assert.NilError(t, c.read(anonymous, 1500*time.Millisecond))
		added := c.openWithKey("i1", simulator.Database, "k3")
		assert.NilError(t, c.write(added))

		c.sim.SetWorkspaces(workspaces("acme")) // all keys revoked
		time.Sleep(inForceWithin)
		for _, s := range []*callerStub{single, next, open, other, none, added} {
			assert.Assert(t, denied(c.read(s, 0)))
		}
		assert.NilError(t, c.read(anonymous, 1500*time.Millisecond))
		c.sim.SetWorkspaces(workspaces("acme", "k1"))
		time.Sleep(inForceWithin)
		assert.NilError(t, c.read(single, 0), "a key that a newer version lists again")
		for _, s := range []*callerStub{single, next, open, other, none, anonymous, added} {
			s.leave()
		}
		c.closeSimulated()
	})
}

// Guards against an instance that keeps a revoked key because the store rejects it while it
// serves the others, whichever of them reads the store.
func TestKeyRevokedOnInstanceWithoutStore(t *testing.T) {
	for _, cut := range []string{"i1", "i2", "i3"} {
		t.Run(cut, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startCluster(t, true, []string{"i1", "i2", "i3"})
				c.pace = time.Sleep
				c.sim.SetWorkspaces(workspaces("acme", "k1", "k2"))
				time.Sleep(7 * time.Second)
				revoked, kept := c.openWithKey(cut, simulator.Database, "k1"), c.openWithKey(cut, simulator.Database, "k2")
				c.eventually(time.Second, func() error { return c.read(revoked, 0) })
				c.sim.Partition(cut, "store")
				c.sim.SetWorkspaces(workspaces("acme", "k2"))
				time.Sleep(inForceWithin)
				assert.Assert(t, denied(c.read(revoked, 0)))
				c.eventually(time.Second, func() error { return c.read(kept, 0) })
				revoked.leave()
				kept.leave()
				c.closeSimulated()
			})
		})
	}
}

// Guards against a revoked key that becomes valid again when the store is restored with the
// configuration before: on instances that run, and on one that starts then and reads the
// store for the others. The second case restores a list without the running instances.
func TestRevokedKeyStaysRevokedAfterRestore(t *testing.T) {
	for _, listed := range []bool{true, false} {
		t.Run(map[bool]string{true: "listed", false: "not listed"}[listed], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startCluster(t, true, []string{"i1", "i2"})
				c.sim.SetWorkspaces(workspaces("acme", "k1", "k2"))
				time.Sleep(7 * time.Second)
				if listed { // i3 has run before and was the first in the common order
					assert.NilError(t, c.sim.Store("i3").Announce(t.Context(), []source.Candidate{{Name: "i3", Address: "i3", FailureDomain: "a", Weight: 5}}))
				} else {
					c.sim.ForgetInstances()
				}
				c.sim.CopyStore()
				c.sim.SetWorkspaces(workspaces("acme", "k2"))
				time.Sleep(inForceWithin)
				c.sim.RestoreStore()
				c.startWithWeight("i3", c.sim.Store("i3"), 5)
				for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(pollDelay) {
					for name, n := range c.nodes {
						access, _ := n.Access(simulator.Database, catalog.DigestKey("k1"))
						assert.Assert(t, access.Decision != catalog.Granted, "%s admits a revoked key", name)
					}
				}
				for name, n := range c.nodes {
					access, _ := n.Access(simulator.Database, catalog.DigestKey("k2"))
					assert.Equal(t, access.Decision, catalog.Granted, "%s has no configuration", name)
				}
				c.closeSimulated()
			})
		})
	}
}

// Guards against an instance that keeps an older configuration than those that poll it: it
// reads the restored store, and could ask nobody when it started.
func TestOutdatedConfigIsFetchedFromPollingInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, true, []string{"i1", "i2"})
		c.sim.SetWorkspaces(workspaces("acme", "k1"))
		time.Sleep(7 * time.Second)
		c.sim.CopyStore()
		c.sim.SetWorkspaces(workspaces("acme", "k2"))
		time.Sleep(inForceWithin)
		c.sim.RestoreStore()
		c.sim.Partition("i3", "i1")
		c.sim.Partition("i3", "i2")
		c.startWithWeight("i3", c.sim.Store("i3"), 5)
		c.await(5*time.Second, "a configuration on i3", c.nodes["i3"].Configured)
		c.sim.Heal("i3", "i1")
		c.sim.Heal("i3", "i2")
		version := c.nodes["i1"].State().ConfigVersion
		c.await(inForceWithin, "the newer configuration on i3", func() bool { return c.nodes["i3"].State().ConfigVersion == version })
		c.closeSimulated()
	})
}

// Guards the diagnostic state, from which operators see whether a key is required.
func TestStateShowsIdentification(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSimulated(t, "i1")
		assert.Assert(t, !c.nodes["i1"].State().CallersIdentified)
		c.sim.SetWorkspaces(workspaces("acme"))
		time.Sleep(inForceWithin)
		state := c.nodes["i1"].State()
		assert.Assert(t, state.CallersIdentified && state.Workspaces == 1)
		c.closeSimulated()
	})
}
