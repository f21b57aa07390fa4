//go:build !race

package node_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/proxy/simulator"
	"github.com/papayarail/papayarail/proxy/statement"
)

// Guards against a change that is aborted while a promotion that got no answer may still
// take effect: the members go on, and the called-for one lacks what others acknowledged.
func TestLatePromotionAfterPrimaryIsBack(t *testing.T) {
	for _, late := range []time.Duration{1, 3, 4, 6, 9} {
		t.Run(fmt.Sprintf("late=%ds", late), func(t *testing.T) {
			underLoad(t, uint64(late), simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
				time.Sleep(4 * time.Second)
				c.sim.HoldPromotions(1)
				c.sim.Crash("a", true)
				c.await(5*time.Second, "a call for a promotion", func() bool { return c.sim.CalledFor() != "" })
				c.sim.Restart("a", false)
				c.sim.SetReceiveLag(c.sim.CalledFor(), 60*time.Millisecond)
				time.Sleep(late * time.Second)
				c.sim.ReleaseHeld()
				time.Sleep(3 * time.Second)
			})
		})
	}
}

// Guards against the promotion of another member while one that got no answer may still
// take effect.
func TestLatePromotionAfterAnother(t *testing.T) {
	for _, late := range []time.Duration{0, 300, 1000, 2000} {
		t.Run(fmt.Sprintf("late=%dms", late), func(t *testing.T) {
			underLoad(t, uint64(late), simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
				promoteLateAfterAnother(c, late*time.Millisecond)
			})
		})
	}
}

// promoteLateAfterAnother lets a promotion without an answer take effect after another one
// was called for.
func promoteLateAfterAnother(c *cluster, late time.Duration) {
	c.sim.Join("d")
	time.Sleep(4 * time.Second)
	c.sim.HoldPromotions(9)
	c.sim.Crash("a", true)
	c.await(5*time.Second, "a call for a promotion", func() bool { return c.sim.CalledFor() != "" })
	called := c.sim.CalledFor()
	// Among members with equal logs, one that is not leaving is preferred.
	c.sim.Drain(called)
	c.sim.SetReceiveLag(called, 60*time.Millisecond)
	c.await(5*time.Second, "another call", func() bool { return c.sim.Calls() > 1 })
	c.sim.HoldPromotions(0)
	time.Sleep(late)
	c.sim.ReleaseHeld()
	time.Sleep(3 * time.Second)
	c.sim.Restart("a", false)
	time.Sleep(2 * time.Second)
}

// Guards against a call without an answer that takes effect when its member has led and has
// been replaced since: it leads again, without the commits of its successor.
func TestLatePromotionOfFormerPrimary(t *testing.T) {
	for _, late := range []time.Duration{50, 200, 1000, 3000} {
		t.Run(fmt.Sprintf("late=%dms", late), func(t *testing.T) {
			underLoad(t, uint64(late), simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
				promoteLateAgain(c, late*time.Millisecond)
			})
		})
	}
}

// promoteLateAgain lets a promotion without an answer take effect after its member has led,
// because of another call, and has been replaced.
func promoteLateAgain(c *cluster, late time.Duration) {
	time.Sleep(4 * time.Second)
	c.sim.HoldPromotions(1)
	c.sim.Crash("a", true)
	c.await(5*time.Second, "a call for a promotion", func() bool { return c.sim.CalledFor() != "" })
	called := c.sim.CalledFor()
	c.await(5*time.Second, "a new primary", func() bool { return c.sim.Promotions() == 1 })
	c.sim.Restart("a", false)
	c.sim.SetReceiveLag(called, 60*time.Millisecond)
	c.sim.Drain(called)
	c.await(5*time.Second, "its successor", func() bool { return c.sim.Promotions() == 2 })
	time.Sleep(late)
	c.sim.ReleaseHeld()
	time.Sleep(3 * time.Second)
}

// Guards against acknowledgements of a term that the instance does not know: strict reads under
// the lease on another primary miss them.
func TestAcknowledgementOfUnknownTerm(t *testing.T) {
	events := map[string]func(*cluster, time.Duration){"after another": promoteLateAfterAnother, "again": promoteLateAgain}
	for name, promoteLate := range events {
		for _, promoteTime := range []time.Duration{300, 500, 1000} {
			for _, late := range []time.Duration{0, 50, 300} {
				t.Run(fmt.Sprintf("%s/promote=%dms/late=%dms", name, promoteTime, late), func(t *testing.T) {
					underLoad(t, uint64(late), simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
						c.sim.SetPromoteTime(promoteTime * time.Millisecond)
						promoteLate(c, late*time.Millisecond)
					})
				})
			}
		}
	}
}

// Guards against a RESUME of an aborted change that takes effect after the next holder has
// paused the member: it acknowledges commits that the promoted one lacks.
func TestLateResumeAfterNextPause(t *testing.T) {
	for _, after := range []time.Duration{0, 200, 500, 900} {
		t.Run(fmt.Sprintf("after=%dms", after), func(t *testing.T) {
			underLoad(t, uint64(after), simulated("i1", "i2", "near"), func(t *testing.T, c *cluster) {
				c.sim.Join("d")
				time.Sleep(4 * time.Second)
				// The first change pauses b and c, and is aborted before a call for a promotion.
				c.sim.HoldCommands("d", statement.PauseReplication, true)
				c.sim.Crash("a", true)
				c.await(5*time.Second, "a PAUSE without an answer", func() bool { return c.sim.Held() > 0 })
				c.sim.PassCommands("d")
				c.sim.DropHeld()
				c.sim.Restart("a", false)
				c.sim.HoldCommands("b", statement.ResumeReplication, true)
				c.await(30*time.Second, "a RESUME without an answer", func() bool { return c.sim.Held() > 1 })
				c.sim.PassCommands("b")
				time.Sleep(time.Second)
				// The primary reaches the replicas and one instance, which does not reach the store.
				calls := c.sim.Calls()
				c.isolate([]string{"a", "near"}, []string{"i1", "i2", "store"})
				for range 200 {
					if c.sim.Calls() > calls {
						break
					}
					time.Sleep(20 * time.Millisecond)
				}
				time.Sleep(after * time.Millisecond)
				c.sim.ReleaseHeld()
				time.Sleep(9 * time.Second)
				assert.Assert(t, c.sim.Promotions() > 0, "the lost primary was not replaced")
				c.rejoin([]string{"a", "near"}, []string{"i1", "i2", "store"})
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against the same after a second call without an answer, for its successor, whose note in
// the record replaces that of the first one.
func TestTwoLatePromotionsOfFormerPrimaries(t *testing.T) {
	for _, promoteTime := range promoteTimes {
		for _, late := range []time.Duration{300, 1000, 2000} {
			t.Run(fmt.Sprintf("promote=%s/late=%dms", promoteTime, late), func(t *testing.T) {
				underLoad(t, uint64(late), simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
					c.sim.SetPromoteTime(promoteTime)
					time.Sleep(4 * time.Second)
					c.sim.HoldPromotions(1)
					c.sim.Crash("a", true)
					c.await(5*time.Second, "a call for a promotion", func() bool { return c.sim.CalledFor() != "" })
					called := c.sim.CalledFor()
					c.await(9*time.Second, "a new primary", func() bool { return c.sim.Promotions() == 1 })
					c.sim.Restart("a", false)
					c.sim.HoldPromotions(1)
					c.sim.Drain(called)
					c.await(9*time.Second, "its successor", func() bool { return c.sim.Promotions() == 2 })
					time.Sleep(1500 * time.Millisecond)
					c.sim.SetReceiveLag(called, 60*time.Millisecond)
					time.Sleep(late * time.Millisecond)
					c.sim.ReleaseHeld()
					time.Sleep(3 * time.Second)
				})
			})
		}
	}
}

// Guards against a primary that leads without replicas for good after a late promotion.
func TestLatePromotionOfMemberThatLeaves(t *testing.T) {
	t.Parallel()
	for _, promoteTime := range promoteTimes {
		for _, stays := range []time.Duration{50, 300, 700} {
			t.Run(fmt.Sprintf("promote=%s/stays=%dms", promoteTime, stays), func(t *testing.T) {
				underLoad(t, uint64(stays), simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
					c.sim.SetPromoteTime(promoteTime)
					promoteLateAndLeave(c, stays*time.Millisecond)
					gap := c.gapUpTo(15 * time.Second)
					assert.Check(t, gap < promoteTime+4*time.Second, "gap %s", gap)
				})
			})
		}
	}
}

// gapUpTo returns how long it takes until i1 serves a write; more than the limit if it serves none.
func (c *cluster) gapUpTo(limit time.Duration) time.Duration {
	s := c.open("i1", simulator.Database)
	defer s.leave()
	from := time.Now()
	for c.write(s) != nil && time.Since(from) < limit {
		time.Sleep(pollDelay)
	}
	c.t.Logf("gap %s", time.Since(from))
	return time.Since(from)
}

// promoteLateAndLeave lets a promotion without an answer take effect right after that of its member's
// successor. The member leaves, and its successor goes on in an earlier term than the others.
func promoteLateAndLeave(c *cluster, stays time.Duration) (successor string) {
	c.sim.ModelBranches()
	c.sim.Join("d")
	time.Sleep(4 * time.Second)
	c.sim.HoldPromotions(1)
	c.sim.Crash("a", true)
	c.await(5*time.Second, "a call for a promotion", func() bool { return c.sim.CalledFor() != "" })
	called := c.sim.CalledFor()
	c.await(9*time.Second, "a new primary", func() bool { return c.sim.Promotions() == 1 })
	c.sim.Restart("a", false)
	c.sim.Drain(called)
	c.await(9*time.Second, "its successor", func() bool { return c.sim.Promotions() == 2 })
	successor = c.sim.Primary()
	c.sim.ReleaseHeld()
	time.Sleep(stays)
	c.sim.Leave(called, false)
	return successor
}

// Guards against commits that are proved by a replica of an earlier term than that of the others.
func TestReplicaJoinsPrimaryOfEarlierTerm(t *testing.T) {
	t.Parallel()
	for _, outage := range []time.Duration{0, 300, 800, 1500} {
		t.Run(fmt.Sprintf("outage=%dms", outage), func(t *testing.T) {
			underLoad(t, 1, simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
				primary := promoteLateAndLeave(c, 50*time.Millisecond)
				c.sim.JoinFrom("e", primary)
				gap := c.gapUpTo(6 * time.Second)
				assert.Check(t, gap < 5*time.Second, "gap %s", gap)
				time.Sleep(6*time.Second - gap)
				c.cutStore()
				time.Sleep(outage * time.Millisecond)
				c.sim.Crash(primary, true)
				c.healStore()
				time.Sleep(6 * time.Second)
			})
		})
	}
}

// Guards against commits that a member lacks which was called for, did not run meanwhile, and is promoted late.
func TestLatePromotionOfRestartedMember(t *testing.T) {
	t.Parallel()
	for _, down := range []time.Duration{1, 3, 6, 9} {
		t.Run(fmt.Sprintf("down=%ds", down), func(t *testing.T) {
			underLoad(t, 1, simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
				c.sim.ModelBranches()
				c.sim.Join("d")
				c.awaitNamed(5*time.Second, "a", "b", "c", "d")
				time.Sleep(4 * time.Second)
				c.sim.HoldPromotions(1)
				c.sim.Crash("a", true)
				c.await(5*time.Second, "a call for a promotion", func() bool { return c.sim.CalledFor() != "" })
				called := c.sim.CalledFor()
				c.sim.Crash(called, false)
				c.sim.Restart("a", false)
				time.Sleep(down * time.Second)
				c.sim.Restart(called, false)
				c.sim.ReleaseHeld()
				time.Sleep(6 * time.Second)
			})
		})
	}
}
