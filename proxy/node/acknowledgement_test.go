//go:build !race

package node_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/simulator"
)

// failoverDelays are times from a change of the members to the loss of the primary.
var failoverDelays = []time.Duration{20, 50, 100, 200, 400, 700, 1200}

// Guards against commits that only a replica behind a cut has, which the instances outside
// cannot know (review/2, 22 to 80 commits lost).
func TestReplicaJoinsBehindCut(t *testing.T) {
	for _, after := range failoverDelays {
		t.Run(fmt.Sprintf("after=%dms", after), func(t *testing.T) {
			underLoad(t, uint64(after), simulated("i1", "i2", "near"), func(t *testing.T, c *cluster) {
				time.Sleep(time.Second)
				c.isolate([]string{"a", "d", "near"}, []string{"b", "c", "i1", "i2", "store"})
				time.Sleep(after * time.Millisecond)
				c.sim.Join("d")
				c.sim.Deregister("d")
				time.Sleep(5 * time.Second)
				c.rejoin([]string{"a", "d", "near"}, []string{"b", "c", "i1", "i2", "store"})
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against commits that only a replica has which registered after the holder of the
// claim had read the list of members.
func TestPrimaryLostAfterReplicaJoins(t *testing.T) {
	for at := 1000; at < 2000; at += 140 {
		t.Run(fmt.Sprintf("at=%dms", at), func(t *testing.T) {
			underLoad(t, uint64(at), simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
				time.Sleep(time.Duration(at) * time.Millisecond)
				c.sim.SetReceiveLag("b", 10*time.Second)
				c.sim.SetReceiveLag("c", 10*time.Second)
				c.sim.Join("d")
				time.Sleep(50 * time.Millisecond)
				c.sim.Crash("a", true)
				time.Sleep(4 * time.Second)
				c.sim.Restart("a", false)
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against commits that only a leaving replica has when the primary is lost: its log
// is gone with it.
func TestPrimaryLostAfterReplicaLeaves(t *testing.T) {
	for _, after := range []time.Duration{0, 1, 3, 4, 5, 7} {
		t.Run(fmt.Sprintf("after=%ds", after), func(t *testing.T) {
			underLoad(t, uint64(after), simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
				c.sim.Join("d")
				time.Sleep(time.Second)
				c.sim.Drain("d")
				time.Sleep(2 * time.Second)
				c.sim.SetReceiveLag("b", 20*time.Second)
				c.sim.SetReceiveLag("c", 20*time.Second)
				time.Sleep(500 * time.Millisecond)
				c.sim.Crash("d", false)
				c.sim.Deregister("d")
				time.Sleep(after * time.Second)
				c.sim.Crash("a", true)
				time.Sleep(9 * time.Second)
				c.sim.Restart("a", false)
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against commits that a replica has received after a restart has ended its pause,
// while the promotion of another one is pending (decisions/0012, open cases).
func TestPausedReplicaRestartsDuringFailover(t *testing.T) {
	for _, after := range []time.Duration{0, 100, 300, 600, 900} {
		t.Run(fmt.Sprintf("after=%dms", after), func(t *testing.T) {
			underLoad(t, uint64(after), simulated("i1", "i2", "near"), func(t *testing.T, c *cluster) {
				time.Sleep(time.Second)
				// The primary reaches the replicas and one instance, which does not reach the store.
				c.isolate([]string{"a"}, []string{"i1", "i2", "store"})
				c.isolate([]string{"near"}, []string{"i1", "i2", "store"})
				c.await(5*time.Second, "a call for a promotion", func() bool { return c.sim.CalledFor() != "" })
				other := "b"
				if c.sim.CalledFor() == "b" {
					other = "c"
				}
				time.Sleep(after * time.Millisecond)
				c.sim.Crash(other, false)
				c.sim.Restart(other, false)
				time.Sleep(4 * time.Second)
				c.rejoin([]string{"a", "near"}, []string{"i1", "i2", "store"})
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against the promotion of a log that lacks acknowledged commits, because the only
// replica that had them has ended, and against callers that wait meanwhile. When that replica
// returns, it is promoted.
func TestNoPromotionWithoutAcknowledgedCommits(t *testing.T) {
	underLoad(t, 1, simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
		c.sim.Join("d")
		time.Sleep(5 * time.Second)
		c.sim.SetReceiveLag("b", time.Minute)
		c.sim.SetReceiveLag("c", time.Minute)
		time.Sleep(time.Second)
		c.sim.Crash("a", true)
		c.sim.Crash("d", false)
		time.Sleep(10 * time.Second)
		assert.Check(t, c.sim.Promotions() == 0, "%s was promoted", c.sim.Primary())
		refusedAs := make(map[string]bool)
		for name := range c.nodes {
			s := c.open(name, simulator.Database)
			started := time.Now()
			err := c.write(s)
			assert.Check(t, time.Since(started) < 200*time.Millisecond, "refused after %s: %v", time.Since(started), err)
			refusedAs[verdict.FromError(err).Error()] = true
			s.leave()
		}
		assert.Check(t, slices.ContainsFunc(slices.Collect(maps.Keys(refusedAs)), func(s string) bool { return strings.Contains(s, "has its acknowledged commits") }), "%v", refusedAs)
		c.sim.Restart("d", false)
		c.await(6*time.Second, "the promotion of d", func() bool { return c.sim.Primary() == "d" })
		c.sim.SetReceiveLag("b", 0)
		c.sim.SetReceiveLag("c", 0)
		gap := c.writeGap("i1", 2*time.Second)
		assert.Check(t, gap < 2*time.Second, "gap %s", gap)
	})
}

// isolate drops the traffic between each node of one list and each of the other.
func (c *cluster) isolate(inside, outside []string) { c.eachPair(inside, outside, c.sim.Partition) }

// rejoin ends isolate.
func (c *cluster) rejoin(inside, outside []string) { c.eachPair(inside, outside, c.sim.Heal) }

func (c *cluster) eachPair(inside, outside []string, do func(a, b string)) {
	for _, in := range inside {
		for _, out := range outside {
			do(in, out)
		}
	}
}

// listStore is a store whose list of members can become unavailable.
type listStore struct {
	*simulator.StoreClient
	blocked atomic.Bool
	last    atomic.Int64
	clock   func() time.Duration
}

func (s *listStore) Members(ctx context.Context) (catalog.Snapshot[catalog.Member], error) {
	if s.blocked.Load() {
		return catalog.Snapshot[catalog.Member]{}, errors.New("429")
	}
	at := s.clock()
	m, err := s.StoreClient.Members(ctx)
	s.last.Store(int64(at))
	return m, err
}

// Guards against commits that only a member has which registered right after the last list of
// the holder, before a promotion that was decided with this list takes effect.
func TestMemberRegistersAfterHolderReadList(t *testing.T) {
	for _, cut := range []time.Duration{600, 900, 1600, 1700, 1800, 1850, 1900, 1950} {
		t.Run(fmt.Sprintf("cut=%dms", cut), func(t *testing.T) {
			underLoad(t, uint64(cut), simulated("near0"), func(t *testing.T, c *cluster) {
				s := &listStore{StoreClient: c.sim.Store("i1"), clock: c.sim.Clock}
				c.start("i1", s)
				time.Sleep(3 * time.Second)
				stop1 := c.loadOn(7, "i1")
				time.Sleep(time.Second)
				old := s.last.Load()
				c.await(3*time.Second, "list", func() bool { return s.last.Load() != old })
				s.blocked.Store(true)
				l := time.Duration(s.last.Load())
				c.sim.Join("d")
				c.isolate([]string{"near0"}, []string{"i1", "store", "a", "b", "c", "d"})
				c.start("near", c.sim.Store("near"))
				time.Sleep(50 * time.Millisecond)
				stop2 := c.loadOn(8, "near")
				time.Sleep(l + cut*time.Millisecond - c.sim.Clock())
				c.isolate([]string{"a", "d", "near"}, []string{"b", "c", "i1", "store"})
				time.Sleep(4 * time.Second)
				t.Logf("called for %q", c.sim.CalledFor())
				s.blocked.Store(false)
				c.rejoin([]string{"a", "d", "near"}, []string{"b", "c", "i1", "store"})
				time.Sleep(2 * time.Second)
				stop1()
				stop2()
			})
		})
	}
}

// Guards against commits that only a leaving replica has, because an instance with an old list
// does not know that it leaves.
func TestReplicaLeavesBesideOutdatedList(t *testing.T) {
	for _, phase := range []time.Duration{0, 200, 400, 600, 800} {
		t.Run(fmt.Sprintf("phase=%dms", phase), func(t *testing.T) {
			underLoad(t, uint64(phase), simulated("i1", "i2", "near"), func(t *testing.T, c *cluster) {
				c.sim.Join("d")
				time.Sleep(5*time.Second + phase*time.Millisecond)
				c.isolate([]string{"near"}, []string{"i1", "i2", "store"})
				time.Sleep(10 * time.Millisecond)
				c.sim.Drain("b")
				time.Sleep(6800 * time.Millisecond)
				c.sim.SetReceiveLag("c", 20*time.Second)
				c.sim.SetReceiveLag("d", 20*time.Second)
				time.Sleep(220 * time.Millisecond) // 7.02 s after the report
				c.sim.Crash("b", false)
				c.sim.Deregister("b")
				time.Sleep(20 * time.Millisecond)
				c.sim.Crash("a", true)
				time.Sleep(9 * time.Second)
				c.sim.Restart("a", false)
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against strict reads without the primary that lack a commit which only a replica has
// that the reading instance does not know.
func TestStrictReadWithOutdatedList(t *testing.T) {
	for _, phase := range []time.Duration{0, 500} {
		t.Run(fmt.Sprintf("phase=%dms", phase), func(t *testing.T) {
			underLoad(t, uint64(phase), simulated("i1", "i2", "near"), func(t *testing.T, c *cluster) {
				time.Sleep(time.Second + phase*time.Millisecond)
				c.isolate([]string{"i1"}, []string{"store"})
				time.Sleep(50 * time.Millisecond)
				c.sim.Join("d")
				time.Sleep(4600 * time.Millisecond)
				c.isolate([]string{"a", "d", "near"}, []string{"b", "c", "i1"})
				time.Sleep(3 * time.Second)
				c.rejoin([]string{"a", "d", "near"}, []string{"b", "c", "i1"})
				c.rejoin([]string{"i1"}, []string{"store"})
				time.Sleep(3 * time.Second)
			})
		})
	}
}

// Guards against the promotion of a shorter log while the replica with the longest one has
// restarted without it.
func TestReplicaRestartsWithoutLogBeforeFailover(t *testing.T) {
	for _, phase := range []time.Duration{0, 150, 300, 450, 600, 750} {
		t.Run(fmt.Sprintf("phase=%dms", phase), func(t *testing.T) {
			underLoad(t, uint64(phase), simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
				time.Sleep(4*time.Second + phase*time.Millisecond)
				c.sim.SetReceiveLag("c", 20*time.Second)
				time.Sleep(500 * time.Millisecond)
				c.isolate([]string{"a"}, []string{"b", "c", "i1", "i2", "i3"})
				c.sim.Crash("b", false)
				c.sim.Restart("b", true)
				time.Sleep(5 * time.Second)
				c.rejoin([]string{"a"}, []string{"b", "c", "i1", "i2", "i3"})
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against the endless replacement of a primary that had lost its log as a replica and has
// caught up since: no write was served any more.
func TestReplicaThatRestartedWithoutLogLeads(t *testing.T) {
	underLoad(t, 1, simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
		time.Sleep(4 * time.Second)
		c.sim.Crash("b", false)
		c.sim.Restart("b", true)
		time.Sleep(5 * time.Second)
		c.sim.SetReceiveLag("c", 60*time.Millisecond)
		c.sim.Drain("a")
		c.await(5*time.Second, "b as the primary", func() bool { return c.sim.Primary() == "b" })
		time.Sleep(5 * time.Second)
		s := c.open("i1", simulator.Database)
		for range 20 {
			assert.Check(t, c.write(s))
			time.Sleep(50 * time.Millisecond)
		}
		s.leave()
		assert.Check(t, c.sim.Promotions() == 1)
	})
}

// Guards against reads with a staleness bound on a primary that has restarted without its log: they
// were sent there without a position until it was replaced.
func TestPrimaryRestartsWithoutLog(t *testing.T) {
	behind := func(t *testing.T) *cluster {
		c := newSimulated(t, "i1", "i2", "i3")
		c.sim.SetApplyLag("b", time.Minute)
		c.sim.SetApplyLag("c", time.Minute)
		return c
	}
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			underLoad(t, seed, behind, func(t *testing.T, c *cluster) {
				time.Sleep(4 * time.Second)
				c.sim.Crash("a", false)
				time.Sleep(50 * time.Millisecond) // its statements end without an answer
				c.sim.Restart("a", true)
				time.Sleep(6 * time.Second)
			})
		})
	}
}

// Guards against a failover by an instance that has never read the entries of the primary and
// of a replica, which are behind a cut.
func TestNewInstanceReplacesPrimary(t *testing.T) {
	for _, phase := range []time.Duration{0, 300, 600} {
		t.Run(fmt.Sprintf("phase=%dms", phase), func(t *testing.T) {
			underLoad(t, uint64(phase), simulated("i1", "near"), func(t *testing.T, c *cluster) {
				c.sim.Join("d")
				time.Sleep(5*time.Second + phase*time.Millisecond)
				c.isolate([]string{"a", "b", "near"}, []string{"c", "d", "i1", "new", "store"})
				c.sim.Partition("i1", "store") // i1 ends; new is its successor
				time.Sleep(3 * time.Second)
				c.sim.Deregister("a")
				c.sim.Deregister("b") // three heartbeats of silence
				time.Sleep(100 * time.Millisecond)
				c.start("new", c.sim.Store("new"))
				time.Sleep(6 * time.Second)
				c.sim.Register("a")
				c.sim.Register("b")
				c.sim.Heal("i1", "store")
				c.rejoin([]string{"a", "b", "near"}, []string{"c", "d", "i1", "new", "store"})
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against the same while instances that know them wait.
func TestNewInstanceReplacesPrimaryBesideOld(t *testing.T) {
	for _, phase := range []time.Duration{0, 300} {
		t.Run(fmt.Sprintf("phase=%dms", phase), func(t *testing.T) {
			underLoad(t, uint64(phase), simulated("i1", "i2", "near"), func(t *testing.T, c *cluster) {
				c.sim.Join("d")
				time.Sleep(5*time.Second + phase*time.Millisecond)
				c.isolate([]string{"a", "b", "near"}, []string{"c", "d", "i1", "i2", "new", "store"})
				time.Sleep(3 * time.Second)
				c.sim.Deregister("a")
				c.sim.Deregister("b")
				time.Sleep(100 * time.Millisecond)
				c.start("new", c.sim.Store("new"))
				time.Sleep(20 * time.Second)
				t.Logf("called for %q", c.sim.CalledFor())
				c.sim.Register("a")
				c.sim.Register("b")
				c.rejoin([]string{"a", "b", "near"}, []string{"c", "d", "i1", "i2", "new", "store"})
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against commits that restarted replicas prove to an instance which does not know the called-for member.
func TestReplicasRestartBesideUnknownMember(t *testing.T) {
	t.Parallel()
	for _, after := range []time.Duration{0, 200, 400, 700} {
		t.Run(fmt.Sprintf("after=%dms", after), func(t *testing.T) {
			underLoad(t, uint64(after), simulated("i1", "i2", "near"), func(t *testing.T, c *cluster) {
				time.Sleep(4 * time.Second)
				c.sim.Partition("near", "store")
				c.sim.Join("d")
				c.sim.SetReceiveLag("b", 100*time.Millisecond)
				c.sim.SetReceiveLag("c", 100*time.Millisecond)
				time.Sleep(1500 * time.Millisecond)
				c.isolate([]string{"a"}, []string{"i1", "i2"})
				c.await(5*time.Second, "a call for a promotion", func() bool { return c.sim.CalledFor() != "" })
				t.Logf("called for %q", c.sim.CalledFor())
				time.Sleep(after * time.Millisecond)
				for _, id := range []string{"b", "c"} {
					c.sim.SetReceiveLag(id, 0)
					c.sim.Crash(id, false)
					c.sim.Restart(id, false)
				}
				time.Sleep(3 * time.Second)
				c.rejoin([]string{"a"}, []string{"i1", "i2"})
				c.sim.Heal("near", "store")
				time.Sleep(3 * time.Second)
				assert.Check(t, c.sim.Promotions() > 0)
			})
		})
	}
}
