package configgossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// Guards against a delta that does not restore the document.
func TestDeltaRestoresDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[ab]{0,12}`)
		old, doc := document(1, text.Draw(t, "old")), document(2, text.Draw(t, "new"))
		raw, ok := delta(old, doc).expand([]Document{old})
		assert.Assert(t, ok)
		assert.Equal(t, string(raw), string(doc.Raw))
	})
}

// Guards against a damaged response of a peer that crashes a node or is installed.
func TestDamagedBodyIsRefusedAndFetchedAsAWhole(t *testing.T) {
	n := New(DefaultConfig("a", "z"), rand.New(rand.NewPCG(1, 1)), 0)
	n.PlatformReadDone(0, document(1, "old"))
	next := document(2, "new")
	assert.DeepEqual(t, n.DigestReceived(0, "b", next.Digest), []Action{Fetch{"b", next.Digest, n.Current().Digest}})
	for i, response := range []FetchResponse{
		{Base: n.Current().SHA256, Prefix: 2, Suffix: 2},
		{Base: n.Current().SHA256, Prefix: -1, Suffix: 1 << 62},
		{Data: []byte("other")},
	} {
		response.Digest = next.Digest
		actions := n.FetchDone(0, "b", response)
		assert.Equal(t, n.Current().Revision, uint64(1))
		if i == 0 {
			assert.DeepEqual(t, actions, []Action{Fetch{"b", next.Digest, Digest{}}})
		}
	}
}

// Guards against a restarted node that installs the revision of the first peer that sends
// a digest, although another peer has a later one.
func TestRestartTakesNewestOfSeveralPeers(t *testing.T) {
	n := New(DefaultConfig("a", "z"), rand.New(rand.NewPCG(1, 1)), 0)
	newest := document(7, "newest").Digest
	assert.Equal(t, len(n.DigestReceived(0, "b", document(5, "older").Digest)), 0)
	assert.Equal(t, len(n.DigestReceived(time.Millisecond, "c", newest)), 0)
	assert.Equal(t, len(n.DigestReceived(time.Millisecond, "d", document(6, "old").Digest)), 0)
	waitEnd := DefaultConfig("a", "z").StartupWait
	assert.Assert(t, n.NextTick() <= waitEnd)
	var fetches []Action
	for _, a := range n.Tick(waitEnd) {
		if _, ok := a.(Fetch); ok {
			fetches = append(fetches, a)
		}
	}
	assert.DeepEqual(t, fetches, []Action{Fetch{Peer: "c", Want: newest}})
	assert.Equal(t, len(n.FetchFailed(waitEnd, "c")), 0)
	older := document(6, "old").Digest
	assert.DeepEqual(t, n.DigestReceived(waitEnd, "d", older), []Action{Fetch{Peer: "d", Want: older}}) // c may have failed, and nobody else may have revision 7
}

// Guards against a restarted node that installs the result of a stale read, and against
// leaving a peer behind that sends an older digest.
func TestConsistentFirstReadAndAnswerToOlderPeer(t *testing.T) {
	n := New(DefaultConfig("a", "z"), rand.New(rand.NewPCG(1, 1)), 0)
	assert.DeepEqual(t, n.Tick(n.NextTick())[0], ReadPlatform{Known: 0, Consistent: true})
	n.PlatformReadDone(time.Second, document(3, "x"))
	assert.DeepEqual(t, n.DigestReceived(time.Second, "b", document(2, "y").Digest), []Action{SendDigest{"b", n.Current().Digest}})
	var reads []Action
	for _, a := range n.Tick(3 * time.Second) {
		if _, ok := a.(ReadPlatform); ok {
			reads = append(reads, a)
		}
	}
	assert.DeepEqual(t, reads, []Action{ReadPlatform{Known: 3}})
	assert.Equal(t, len(n.PlatformReadDone(4*time.Second, document(2, "y"))), 0)
	assert.Equal(t, n.Current().Revision, uint64(3))
}

// Guards against a peer that missed every announcement and stays behind, and against a
// failure domain that receives no digests from another one.
func TestGossipGoesOnWithoutChanges(t *testing.T) {
	n := New(DefaultConfig("a", "z"), rand.New(rand.NewPCG(1, 1)), 0)
	n.PeersChanged(0, []Peer{{"b", "z"}, {"c", "z"}, {"d", "y"}})
	count := map[string]int{}
	for now := time.Duration(0); now < 100*time.Second; now += 10 * time.Millisecond {
		for _, a := range n.Tick(now) {
			if d, ok := a.(SendDigest); ok {
				count[d.Peer]++
			}
		}
	}
	sum := count["b"] + count["c"] + count["d"]
	assert.Assert(t, sum >= 83 && sum <= 125 && min(count["b"], count["c"], count["d"]) >= 10, "%v", count)
}

// Guards against polling at the full rate while the platform is unavailable, and against a
// backoff that continues after it has recovered.
func TestBackOff(t *testing.T) {
	n := New(DefaultConfig("a", "z"), rand.New(rand.NewPCG(1, 1)), 0)
	reads := func(from, seconds time.Duration, up bool) (count int) {
		for now := from; now < from+seconds*time.Second; now += 10 * time.Millisecond {
			for _, a := range n.Tick(now) {
				if _, ok := a.(ReadPlatform); !ok {
					continue
				}
				count++
				if up {
					n.PlatformReadDone(now, Document{})
				} else {
					n.PlatformReadFailed(now)
				}
			}
		}
		return count
	}
	assert.Assert(t, n.IsPoller())
	down := reads(0, 120, false)
	assert.Assert(t, down >= 8 && down <= 20, "%d", down)
	up := reads(2*time.Minute, 120, true)
	assert.Assert(t, up >= 90, "%d", up)
}

// Guards against a failure domain with no pollers or with too many.
func TestPollersPerDomain(t *testing.T) {
	for _, size := range []int{1, 2, 3, 30} {
		s := newSimulation(2, size, 1)
		s.run(0, forever)
		count := map[string]int{}
		for _, instance := range s.instances {
			if instance.IsPoller() {
				count[instance.domain]++
			}
		}
		assert.DeepEqual(t, count, map[string]int{"zone0": min(size, 3), "zone1": min(size, 3)})
	}
}

func document(revision uint64, raw string) Document {
	return Document{Digest{revision, Hash([]byte(raw))}, []byte(raw)}
}

// message is an event in transit to a node.
type message struct {
	to      int
	from    string
	deliver func(n *Node, now time.Duration) []Action
}

// model simulates a few nodes with a network and a platform that fail. It checks each
// installed revision against the list of accepted ones and the previous revision of the
// node.
type model struct {
	t         *rapid.T
	now       time.Duration
	nodes     []*Node
	accepted  []Document // by revision
	isolated  [5]bool    // nodes without links
	installed [5]uint64  // revision of each node
	up        bool       // the platform is available
	stale     bool       // reads that are not consistent may return an older revision
	messages  []message
	seed      uint64
}

func nodeName(i int) string { return fmt.Sprint("node-", i) }

func nodeIndex(name string) int {
	var i int
	if _, err := fmt.Sscanf(name, "node-%d", &i); err != nil {
		panic(err)
	}
	return i
}

// start replaces node i by a new one, as after a restart.
func (m *model) start(i int) {
	m.seed++
	cfg := DefaultConfig(nodeName(i), fmt.Sprint("zone", i%2))
	cfg.MaxBroadcastPeers, cfg.Fanout, cfg.HistoryLength, cfg.PollersPerDomain = 2, 1, 2, 1
	m.nodes[i] = New(cfg, rand.New(rand.NewPCG(m.seed, 0)), m.now)
	m.installed[i] = 0
	m.updatePeers(i)
}

// updatePeers tells node i which peers it can reach.
func (m *model) updatePeers(i int) {
	var peers []Peer
	for j := range m.nodes {
		if j != i && (m.isolated[i] || m.isolated[j]) == false {
			peers = append(peers, Peer{nodeName(j), fmt.Sprint("zone", j%2)})
		}
	}
	m.perform(i, m.nodes[i].PeersChanged(m.now, peers))
}

// perform turns actions into messages and checks each installed revision.
func (m *model) perform(i int, actions []Action) {
	n, self := m.nodes[i], nodeName(i)
	for _, a := range actions {
		switch a := a.(type) {
		case Install:
			accepted := m.accepted[a.Document.Revision]
			assert.Equal(m.t, string(a.Document.Raw), string(accepted.Raw))
			assert.Assert(m.t, a.Document.Revision > m.installed[i], "node %d goes from %d to %d", i, m.installed[i], a.Document.Revision)
			m.installed[i] = a.Document.Revision
		case SendDigest:
			m.post(nodeIndex(a.Peer), self, func(n *Node, now time.Duration) []Action { return n.DigestReceived(now, self, a.Digest) })
		case Fetch:
			m.sendFetch(self, a)
		case ReadPlatform:
			m.readPlatform(i, a)
		}
	}
	assert.Equal(m.t, n.Current().Revision, m.installed[i])
}

func (m *model) post(to int, from string, deliver func(*Node, time.Duration) []Action) {
	m.messages = append(m.messages, message{to, from, deliver})
}

// sendFetch sends the request of a node to a peer, which then sends its response back.
func (m *model) sendFetch(from string, a Fetch) {
	m.post(nodeIndex(a.Peer), from, func(peer *Node, _ time.Duration) []Action {
		response, ok := peer.AnswerFetch(a.Want, a.Have)
		m.post(nodeIndex(from), a.Peer, func(n *Node, now time.Duration) []Action {
			if !ok {
				return n.FetchFailed(now, a.Peer)
			}
			return n.FetchDone(now, a.Peer, response)
		})
		return nil
	})
}

// readPlatform answers a platform read. An eventually consistent one may return an older
// revision.
func (m *model) readPlatform(i int, a ReadPlatform) {
	doc := m.accepted[len(m.accepted)-1]
	if m.stale && !a.Consistent {
		doc = m.accepted[rapid.IntRange(0, len(m.accepted)-1).Draw(m.t, "stale")]
	}
	up := m.up
	m.post(i, nodeName(i), func(n *Node, now time.Duration) []Action {
		if !up {
			return n.PlatformReadFailed(now)
		}
		return n.PlatformReadDone(now, doc)
	})
}

// deliver delivers message k unless a link on its path is cut.
func (m *model) deliver(k int) {
	msg := m.messages[k]
	from := nodeIndex(msg.from)
	if from != msg.to && (m.isolated[from] || m.isolated[msg.to]) {
		return
	}
	m.perform(msg.to, msg.deliver(m.nodes[msg.to], m.now))
}

// advance moves the time forward and performs the ticks that are due.
func (m *model) advance(d time.Duration) {
	m.now += d
	for i, n := range m.nodes {
		if n.NextTick() <= m.now {
			m.perform(i, n.Tick(m.now))
		}
	}
}

// Guards against a node that reverts to an older revision, installs one that was never
// accepted, or stays behind after links and platform have recovered.
func TestRevisionsOnlyGrowAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, nodes: make([]*Node, 5), accepted: []Document{{}}, up: true}
		for i := range m.nodes {
			m.nodes[i] = New(DefaultConfig(nodeName(i), "zone0"), rand.New(rand.NewPCG(0, 0)), 0)
		}
		for i := range m.nodes {
			m.start(i)
		}
		node := rapid.IntRange(0, 4)
		pick := func() int {
			if len(m.messages) == 0 {
				t.Skip("no message")
			}
			return rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
		}
		drop := func(k int) { m.messages = append(m.messages[:k:k], m.messages[k+1:]...) }
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) {
				r := uint64(len(m.accepted))
				m.accepted = append(m.accepted, document(r, fmt.Sprintf(`{"connections": %d}`, r*r*7)))
			},
			"advance":   func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond) },
			"deliver":   func(*rapid.T) { k := pick(); m.deliver(k); drop(k) },
			"duplicate": func(*rapid.T) { m.deliver(pick()) },
			"lose":      func(*rapid.T) { drop(pick()) },
			"lose all":  func(*rapid.T) { m.messages = nil },
			"platform":  func(t *rapid.T) { m.up = rapid.Bool().Draw(t, "up"); m.stale = rapid.Bool().Draw(t, "stale") },
			"restart":   func(t *rapid.T) { m.start(node.Draw(t, "node")) },
			"cut": func(t *rapid.T) {
				i := node.Draw(t, "node")
				m.isolated[i] = !m.isolated[i]
				for j := range m.nodes {
					m.updatePeers(j)
				}
			},
			"": func(t *rapid.T) { m.t = t },
		})
		m.t, m.up, m.stale, m.isolated = t, true, false, [5]bool{}
		for i := range m.nodes {
			m.updatePeers(i)
		}
		for range 400 { // 40 s: the maximum backoff and a few rounds of gossip
			m.advance(100 * time.Millisecond)
			for len(m.messages) > 0 {
				m.deliver(0)
				drop(0)
			}
		}
		for i, n := range m.nodes {
			assert.Equal(t, n.Current().Revision, uint64(len(m.accepted)-1), "node %d", i)
		}
	})
}
