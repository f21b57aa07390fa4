package source_test

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/source"
)

// candidates returns n instances in five failure domains. The last one has the greatest
// weight and comes first.
func candidates(n int) []source.Candidate {
	var all []source.Candidate
	for i := range n {
		all = append(all, source.Candidate{Name: fmt.Sprint("i", i), FailureDomain: fmt.Sprint("d", i%5), Weight: 1})
	}
	all[n-1].Weight = 2
	return all
}

// pickers returns the pickers of all instances by name.
func pickers(all []source.Candidate) map[string]*source.Picker {
	ps := make(map[string]*source.Picker)
	for _, c := range all {
		ps[c.Name] = source.New(c.Name, c.FailureDomain, "")
		ps[c.Name].SetCandidates(all)
	}
	return ps
}

// tree is the distribution tree of the live instances.
type tree struct {
	source   map[string]string // by instance
	children map[string]int
	readers  int // instances that read the store
	depth    int
	remote   int // instances whose source is in another failure domain
}

// buildTree asks the picker of each live instance for its source. Requests to dead
// instances fail as unresponsive.
func buildTree(t *testing.T, all []source.Candidate, ps map[string]*source.Picker, now time.Duration, dead map[string]bool) tree {
	tr := tree{source: make(map[string]string), children: make(map[string]int)}
	domain := make(map[string]string)
	for _, c := range all {
		domain[c.Name] = c.FailureDomain
	}
	for name, p := range ps {
		if dead[name] {
			continue
		}
		choice := p.Next(now)
		for !choice.ReadStore && dead[choice.Source.Name] {
			p.RecordFailure(choice.Source.Name, source.Unresponsive, now)
			// After an unresponsive source, the instance reads the store before it asks
			// another candidate.
			p.RecordStoreRead(true, now)
			choice = p.Next(now)
		}
		if choice.ReadStore {
			tr.readers++
			continue
		}
		tr.source[name] = choice.Source.Name
		tr.children[choice.Source.Name]++
		if domain[name] != domain[choice.Source.Name] {
			tr.remote++
		}
	}
	for name := range ps {
		depth := 0
		for at, ok := tr.source[name]; ok; at, ok = tr.source[at] {
			depth++
			assert.Assert(t, depth <= len(all), "%s is its own source", name)
		}
		tr.depth = max(tr.depth, depth)
	}
	return tr
}

// Guards against a load on the store or on an instance that grows with the number of
// instances: one instance reads the store, one of each other failure domain asks it, none
// serves more than its fanout, and the tree is shallow. An instance that serves all others
// would answer 6,000 calls per second in a deployment of 1,796.
func TestInstancesFormATree(t *testing.T) {
	for _, size := range []struct{ n, depth int }{{6, 2}, {30, 2}, {195, 3}, {1796, 4}} {
		t.Run(fmt.Sprint(size.n), func(t *testing.T) {
			all := candidates(size.n)
			tr := buildTree(t, all, pickers(all), 0, nil)
			assert.Equal(t, tr.readers, 1)
			assert.Equal(t, tr.remote, 4)
			assert.Assert(t, tr.depth <= size.depth, "depth %d", tr.depth)
			for name, n := range tr.children {
				// The root also serves one instance of each of the four other domains.
				assert.Assert(t, n <= source.Fanout+4, "%s serves %d", name, n)
			}
		})
	}
}

// Guards against the failure of one instance that leaves its children without a source,
// changes the source of other instances, or makes many instances read the store.
func TestInstanceFails(t *testing.T) {
	all := candidates(195)
	before := buildTree(t, all, pickers(all), 0, nil)
	for _, failed := range all {
		if before.children[failed.Name] == 0 {
			continue
		}
		ps := pickers(all)
		now := 10 * time.Second
		dead := map[string]bool{failed.Name: true}
		tr := buildTree(t, all, ps, now, dead)
		assert.Assert(t, tr.readers >= 1 && tr.readers <= 5, "%d readers without %s", tr.readers, failed.Name)
		moved := 0
		for name, from := range before.source {
			if name != failed.Name && tr.source[name] != from {
				moved++
			}
		}
		assert.Equal(t, moved, before.children[failed.Name], "without %s", failed.Name)
	}
}

// Guards against a cycle of sources while instances know different parts of the
// deployment, as when all of them start at the same time.
func TestPartialCandidatesFormNoCycle(t *testing.T) {
	all := candidates(60)
	ps := pickers(all)
	for i, c := range all {
		ps[c.Name].SetCandidates(all[:i+1])
	}
	buildTree(t, all, ps, 0, nil)
}

// Guards against a read lease that expires because the source does not respond: the
// instance reads the store immediately, and avoids that source for a while.
func TestUnresponsiveSource(t *testing.T) {
	p := source.New("i0", "d0", "")
	assert.Assert(t, p.Next(0).ReadStore, "without candidates it reads the store itself")
	p.SetCandidates(candidates(40))
	firstSource := p.Next(0).Source.Name
	p.RecordSuccess(firstSource, 0)
	p.RecordFailure(firstSource, source.Unresponsive, time.Second)
	choice := p.Next(time.Second)
	assert.Assert(t, choice.ReadStore && choice.Delay == 0)
	p.RecordStoreRead(true, time.Second)
	next := p.Next(time.Second)
	assert.Assert(t, next.ReadStore || next.Source.Name != firstSource)
	assert.Equal(t, p.Next(4*time.Second).Source.Name, firstSource, "it is asked again later")
}

// Guards against a partitioned instance that asks all others in turn, during which its read
// lease expires (incident inc-5af3).
func TestPartitionedInstanceReadsStore(t *testing.T) {
	p := source.New("i0", "d0", "")
	p.SetCandidates(candidates(60))
	p.RecordSuccess(p.Next(0).Source.Name, 0)
	now, asked := time.Duration(0), 0
	for now < 6*time.Second {
		choice := p.Next(now)
		if choice.ReadStore {
			now += 400 * time.Millisecond // duration of the read
			p.RecordStoreRead(true, now)
			continue
		}
		asked++
		now += 450 * time.Millisecond // time until the request times out
		p.RecordFailure(choice.Source.Name, source.Unresponsive, now)
	}
	assert.Assert(t, asked <= 4, "%d candidates asked in 6 s", asked)
	assert.Assert(t, p.ReadsConfig(now, true) && p.ReadsConfig(now, false), "it does not wait for the configuration of others")
}

// Guards against an instance that never serves because it is partitioned from the others
// when it starts: it has no snapshot that could expire, and asks a few more of them.
func TestPartitionedInstanceStarts(t *testing.T) {
	p := source.New("i0", "d0", "")
	p.SetCandidates(candidates(60))
	now, asked, firstRead := time.Duration(0), 0, time.Duration(0)
	for now < 6*time.Second {
		choice := p.Next(now)
		if choice.ReadStore {
			firstRead = cmp.Or(firstRead, now)
			now += 400 * time.Millisecond
			p.RecordStoreRead(true, now)
			continue
		}
		asked++
		now += 450 * time.Millisecond
		p.RecordFailure(choice.Source.Name, source.Unresponsive, now)
	}
	assert.Assert(t, firstRead > 0 && firstRead <= 2500*time.Millisecond, "first read of the store at %s", firstRead)
	assert.Assert(t, asked <= 8, "%d candidates asked in 6 s", asked)
	assert.Assert(t, p.ReadsConfig(now, false))
}

// Guards against a start of all instances at which each of them reads the configuration
// from the store because requests to the others fail for a moment: 46 instances of the
// second region read 850 kB each over a link of 60 Mbit/s.
func TestFailedRequestsAtStartDoNotReadConfig(t *testing.T) {
	all := candidates(91)
	readers := 0
	for name, p := range pickers(all) {
		var reads bool
		for now := time.Duration(0); now < time.Second; now += 50 * time.Millisecond {
			choice := p.Next(now)
			reads = reads || p.ReadsConfig(now, false)
			switch {
			case choice.ReadStore:
			case now < 200*time.Millisecond: // the others do not listen yet
				p.RecordFailure(choice.Source.Name, source.Unresponsive, now)
			case now < 700*time.Millisecond: // they have no snapshot yet
				p.RecordFailure(choice.Source.Name, source.Starting, now)
			default:
				p.RecordSuccess(choice.Source.Name, now)
			}
		}
		if reads {
			readers++
			assert.Equal(t, name, "i90")
		}
	}
	assert.Equal(t, readers, 1)
}

// Guards against failed requests to two sources that make an instance read the
// configuration itself: an instance in another region that read the store for 2 s read
// 850 kB as well. It does so once no source has served it for a longer time.
func TestDirectReadsDoNotReadConfig(t *testing.T) {
	p := source.New("i0", "d0", "")
	p.SetCandidates(candidates(91))
	now := 10 * time.Second
	p.RecordSuccess(p.Next(now).Source.Name, now)
	for range 2 {
		now += 100 * time.Millisecond
		p.RecordFailure(p.Next(now).Source.Name, source.Unresponsive, now)
		p.RecordStoreRead(true, now)
	}
	assert.Assert(t, p.Next(now).ReadStore)
	assert.Assert(t, !p.ReadsConfig(now, true) && !p.ReadsConfig(now, false))
	assert.Assert(t, p.ReadsConfig(now+time.Second, true))
	assert.Assert(t, p.ReadsConfig(now+5*time.Second, false))
}

// Guards against a longer wait for the configuration in a small deployment, where a
// failed request to another instance leads to a read of the store as before.
func TestSmallDeploymentStarts(t *testing.T) {
	p := source.New("i0", "d0", "")
	p.SetCandidates(candidates(6))
	p.RecordFailure(p.Next(0).Source.Name, source.Unresponsive, 10*time.Millisecond)
	assert.Assert(t, p.Next(10*time.Millisecond).ReadStore)
	assert.Assert(t, p.ReadsConfig(time.Second, false))
}

// Guards against a snapshot that crosses the link between two regions once for each failure
// domain: only the first instance of a region has its source in another one.
func TestSnapshotsCrossBetweenRegionsOnce(t *testing.T) {
	all := candidates(91)
	region := make(map[string]string)
	for i := range all {
		all[i].Region = "r" + fmt.Sprint(i%5/3)
		region[all[i].Name] = all[i].Region
	}
	ps := make(map[string]*source.Picker)
	for _, c := range all {
		ps[c.Name] = source.New(c.Name, c.FailureDomain, c.Region)
		ps[c.Name].SetCandidates(all)
	}
	tr := buildTree(t, all, ps, 0, nil)
	assert.Equal(t, tr.readers, 1)
	assert.Equal(t, tr.remote, 4, "once to each other failure domain")
	crossings := 0
	for name, from := range tr.source {
		if region[name] != region[from] {
			crossings++
		}
	}
	assert.Equal(t, crossings, 1)
	assert.Assert(t, tr.depth <= 4)
}

// Guards against the cost of calls to the store during its outage: an instance whose
// candidates report the store as unavailable calls it at most about once per second, and
// less often in large deployments.
func TestStoreUnavailable(t *testing.T) {
	// After a failed read, an instance waits for 1 s among 85 candidates, and for 5 ms per
	// candidate (9 s) among 1,796.
	for _, test := range []struct{ n, maxReads int }{{85, 11}, {1796, 3}} {
		for _, self := range []string{"i0", fmt.Sprint("i", test.n-1)} { // the last one is the root
			p := source.New(self, "d0", "")
			p.SetCandidates(candidates(test.n))
			reads, asked := 0, 0
			now := time.Duration(0)
			for now < 10*time.Second {
				choice := p.Next(now)
				now += max(choice.Delay, 10*time.Millisecond)
				if choice.ReadStore {
					reads++
					p.RecordStoreRead(false, now)
				} else {
					asked++
					p.RecordFailure(choice.Source.Name, source.StoreUnavailable, now)
				}
			}
			assert.Assert(t, reads <= test.maxReads, "%s: %d reads of the store in 10 s", self, reads)
			// At most four candidates are asked before each read.
			assert.Assert(t, asked <= 4*test.maxReads, "%s: %d candidates asked in 10 s", self, asked)
		}
	}
}

// Guards against an instance without snapshots because it is the root and the store
// refuses only it: it obtains them from an instance that comes after it.
func TestRootIsRefused(t *testing.T) {
	all := candidates(30)
	p := source.New("i29", "d4", "")
	p.SetCandidates(all)
	assert.Assert(t, p.Next(0).ReadStore, "it comes first")
	assert.Assert(t, p.IsRoot(0))
	p.RecordStoreRead(false, 0)
	choice := p.Next(0)
	assert.Assert(t, !choice.ReadStore)
	p.RecordSuccess(choice.Source.Name, 0)
	assert.Assert(t, !p.Next(500*time.Millisecond).ReadStore)
	assert.Assert(t, p.Next(2*time.Second).ReadStore, "it tries the store again")
}

// Guards against read leases that expire repeatedly while the store refuses some of the
// instances, whichever these are: an instance that had asked two other refused instances
// used to wait for its own next read, and got no snapshot meanwhile.
func TestStoreRefusesSome(t *testing.T) {
	all := candidates(6)
	for i := range all {
		for j := range i {
			served := map[string]bool{all[i].Name: true, all[j].Name: true}
			for _, self := range all {
				if gap := longestGap(self, all, served); !served[self.Name] {
					assert.Assert(t, gap <= time.Second, "%s was %s without a snapshot, served are %v", self.Name, gap, served)
				}
			}
		}
	}
}

// longestGap simulates 30 s of an instance that the store refuses, and returns its longest
// time without a new snapshot after the first 8 s. served holds the instances that the
// store serves.
func longestGap(self source.Candidate, all []source.Candidate, served map[string]bool) (longest time.Duration) {
	p := source.New(self.Name, self.FailureDomain, "")
	p.SetCandidates(all)
	const readTime, warmUp, snapshotInterval = 550 * time.Millisecond, 8 * time.Second, 100 * time.Millisecond
	now, lastSnapshot := time.Duration(0), time.Duration(0)
	for now < 30*time.Second {
		choice := p.Next(now)
		now += choice.Delay
		switch {
		case choice.ReadStore:
			now += readTime
			p.RecordStoreRead(false, now)
		case served[choice.Source.Name]:
			now += snapshotInterval
			if now > warmUp {
				longest = max(longest, now-max(lastSnapshot, warmUp))
			}
			lastSnapshot = now
			p.RecordSuccess(choice.Source.Name, now)
		default:
			now += 5 * time.Millisecond
			p.RecordFailure(choice.Source.Name, source.StoreUnavailable, now)
		}
	}
	return longest
}

// Guards against an instance that takes its configuration for the newest one for good, and
// against all instances that ask the store at the same time.
func TestConfigCheckDue(t *testing.T) {
	candidates := []source.Candidate{{Name: "a", Weight: 3}, {Name: "b", Weight: 2}, {Name: "c", Weight: 1}}
	var last time.Duration
	for _, self := range []string{"a", "b", "c", "unannounced"} {
		p := source.New(self, "", "")
		p.SetCandidates(candidates)
		after := last
		for !p.ConfigCheckDue(after) {
			after += 10 * time.Millisecond
		}
		assert.Check(t, after >= last+400*time.Millisecond, "%s asks after %s, the one before it after %s", self, after, last)
		last = after
	}
	p := source.New("b", "", "")
	p.SetCandidates(candidates)
	assert.Check(t, !p.ConfigCheckDue(2400*time.Millisecond), "a long poll of 2 s confirms the configuration in time")
	assert.Check(t, p.ConfigCheckDue(3100*time.Millisecond), "the answer must reach all instances within 4 s of a change")
}
