// Package configgossip disseminates the current configuration revision. A Node is a
// pure state machine: it takes events and returns actions, and does no I/O.
//
// Invariants:
//   - The current revision of a node never decreases.
//   - A node installs a document only if its hash matches.
//   - A node starts a platform read only after the result of the last one, or
//     after ReadTimeout without a result.
//
// A few instances per failure domain poll the platform. A node that installs a
// revision announces it to its peers at once and in a few later rounds. In
// addition each node sends its digest to one random peer at a time, so that a
// node which missed the announcement catches up.
package configgossip

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Digest identifies a revision of the document.
type Digest struct {
	Revision uint64 `json:"revision"` // 0 means none
	SHA256   string `json:"sha256"`   // hex
}

// Document is a revision with its content. Raw must not be modified.
type Document struct {
	Digest
	Raw []byte
}

// Hash returns the hash of a raw document as it appears in a Digest.
func Hash(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Peer is another live instance.
type Peer struct{ Name, FailureDomain string }

// Action is one of ReadPlatform, SendDigest, Fetch and Install.
type Action interface{ action() }

// ReadPlatform asks for PlatformReadDone or PlatformReadFailed.
type ReadPlatform struct {
	// Known is the current revision. The document needs to be read only if the
	// platform's revision is greater.
	Known uint64
	// Consistent asks for a consistent read. It is set while the node has no
	// revision, so that a restarted node does not begin with an older one.
	Consistent bool
}

// SendDigest asks to send the current digest to a peer.
type SendDigest struct {
	Peer   string
	Digest Digest
}

// Fetch asks a peer for a document; the result is FetchDone or FetchFailed.
type Fetch struct {
	Peer string
	Want Digest
	Have Digest // the peer may answer with a delta to this revision; may be zero
}

// Install puts a revision in force.
type Install struct{ Document Document }

func (ReadPlatform) action() {}
func (SendDigest) action()   {}
func (Fetch) action()        {}
func (Install) action()      {}

// Config holds the parameters of a Node. DefaultConfig returns usable values.
type Config struct {
	Self          string
	FailureDomain string

	PollersPerDomain int           // instances per failure domain that poll the platform
	PollInterval     time.Duration // between two reads of one poller
	MaxPollInterval  time.Duration // while the platform is down
	ReadTimeout      time.Duration // after which a read without result counts as failed

	GossipInterval    time.Duration // between two digests to a random peer
	MaxBroadcastPeers int           // up to this number of peers, a new revision is announced to all at once
	Fanout            int           // peers per announcement round beyond that
	PushRounds        int           // announcement rounds per revision
	PushInterval      time.Duration // between two rounds
	FetchTimeout      time.Duration // after which another peer is asked
	StartupWait       time.Duration // for which a new node collects digests before it fetches

	HistoryLength int // documents kept as bases of deltas, the current one included
}

// DefaultConfig returns the parameters for an instance. With Fanout 4 and 3
// rounds a peer misses every announcement with a probability of about e^-12.
func DefaultConfig(self, failureDomain string) Config {
	return Config{
		Self: self, FailureDomain: failureDomain,
		PollersPerDomain:  3,
		PollInterval:      time.Second,
		MaxPollInterval:   15 * time.Second,
		ReadTimeout:       5 * time.Second,
		GossipInterval:    time.Second,
		MaxBroadcastPeers: 16,
		Fanout:            4,
		PushRounds:        3,
		PushInterval:      200 * time.Millisecond,
		FetchTimeout:      500 * time.Millisecond,
		StartupWait:       200 * time.Millisecond,
		HistoryLength:     4,
	}
}

const (
	jitter        = 0.2 // share by which an interval varies in each direction
	maxCandidates = 4   // peers remembered as sources of the newest known revision
	never         = time.Duration(1<<63 - 1)
)

// Node is the state machine of one instance. It is not safe for concurrent use.
type Node struct {
	cfg Config
	rng *rand.Rand

	history []Document // newest last; the last one is current

	near, far []string // peers in the same and in other failure domains
	poller    bool

	reading  bool
	nextPoll time.Duration // next read, or the time limit of the outstanding one
	backoff  time.Duration

	nextGossip time.Duration
	roundsLeft int
	nextRound  time.Duration

	target     Digest   // newest revision known and not yet installed
	candidates []string // peers that have target
	fetching   string   // peer asked for target; empty if none
	fullOnly   bool     // a delta did not match
	fetchLimit time.Duration
	settled    time.Duration // end of StartupWait

	conflicts int
}

// New returns a node without a revision. It is alone until PeersChanged.
func New(cfg Config, rng *rand.Rand, now time.Duration) *Node {
	n := &Node{cfg: cfg, rng: rng, backoff: cfg.PollInterval, nextRound: never, settled: now + cfg.StartupWait}
	n.nextGossip = now + n.jittered(cfg.GossipInterval)
	n.choosePollers(now)
	return n
}

// Current returns the revision in force; its Revision is 0 if there is none.
func (n *Node) Current() Document {
	if len(n.history) == 0 {
		return Document{}
	}
	return n.history[len(n.history)-1]
}

// IsPoller reports whether this node reads the platform.
func (n *Node) IsPoller() bool { return n.poller }

// Conflicts counts digests that name another document for the current
// revision. Such a digest is ignored: the platform's counter rules it out, so
// it shows a platform that was reset to an earlier state.
func (n *Node) Conflicts() int { return n.conflicts }

// NextTick returns the time at which Tick next has something to do.
func (n *Node) NextTick() time.Duration {
	next := min(n.nextGossip, n.nextRound)
	if n.poller || n.reading {
		next = min(next, n.nextPoll)
	}
	if n.fetching != "" {
		next = min(next, n.fetchLimit)
	} else if len(n.candidates) > 0 {
		next = min(next, n.settled)
	}
	return next
}

// PeersChanged replaces the set of live peers. It must not contain the node.
func (n *Node) PeersChanged(now time.Duration, peers []Peer) []Action {
	first := len(n.near)+len(n.far) == 0
	n.near, n.far = nil, nil
	for _, p := range peers {
		if p.FailureDomain == n.cfg.FailureDomain {
			n.near = append(n.near, p.Name)
		} else {
			n.far = append(n.far, p.Name)
		}
	}
	n.choosePollers(now)
	if first && len(peers) > 0 {
		return n.announce(nil) // learns what the peers have
	}
	return nil
}

// choosePollers decides by rendezvous hashing whether this node reads the
// platform. Nodes with different views may choose more or other pollers, which
// costs a few reads only.
func (n *Node) choosePollers(now time.Duration) {
	was := n.poller
	n.poller = false
	names := append([]string{n.cfg.Self}, n.near...)
	for i := 0; i < n.cfg.PollersPerDomain && len(names) > 0 && !n.poller; i++ {
		winner := rendezvous.New(names, xxhash.Sum64String).Lookup("poller/" + strconv.Itoa(i))
		n.poller = winner == n.cfg.Self
		names = without(names, winner)
	}
	if n.poller && !was && !n.reading {
		n.nextPoll = now + time.Duration(n.rng.Float64()*float64(n.cfg.PollInterval)/4)
	}
}

// Tick performs what is due.
func (n *Node) Tick(now time.Duration) []Action {
	var out []Action
	if n.reading && now >= n.nextPoll {
		out = n.PlatformReadFailed(now)
	}
	if n.poller && !n.reading && now >= n.nextPoll {
		out = append(out, n.read(now))
	}
	if n.fetching != "" && now >= n.fetchLimit {
		out = append(out, n.FetchFailed(now, n.fetching)...)
	}
	out = append(out, n.fetch(now)...)
	if now >= n.nextRound {
		out = n.round(now, out)
	}
	if now >= n.nextGossip {
		n.nextGossip = now + n.jittered(n.cfg.GossipInterval)
		out = n.gossip(out)
	}
	return out
}

func (n *Node) read(now time.Duration) Action {
	n.reading = true
	n.nextPoll = now + n.cfg.ReadTimeout
	known := n.Current().Revision
	return ReadPlatform{Known: known, Consistent: known == 0}
}

// PlatformReadDone reports the platform's current revision, or the zero Document if
// it has none. Raw may be nil if the revision is not greater than the one that
// ReadPlatform named. An older revision is a stale read and is ignored.
func (n *Node) PlatformReadDone(now time.Duration, doc Document) []Action {
	if doc.Revision > n.Current().Revision && Hash(doc.Raw) != doc.SHA256 {
		return n.PlatformReadFailed(now)
	}
	n.reading = false
	n.backoff = n.cfg.PollInterval
	n.nextPoll = now + n.jittered(n.cfg.PollInterval)
	return n.install(now, doc)
}

// PlatformReadFailed reports a read without a result.
func (n *Node) PlatformReadFailed(now time.Duration) []Action {
	n.reading = false
	n.backoff = min(2*n.backoff, n.cfg.MaxPollInterval)
	n.nextPoll = now + n.backoff/2 + time.Duration(n.rng.Float64()*float64(n.backoff)/2)
	return nil
}

// DigestReceived reports the digest of a peer.
func (n *Node) DigestReceived(now time.Duration, peer string, d Digest) []Action {
	current := n.Current().Digest
	switch {
	case d.Revision < current.Revision:
		return []Action{SendDigest{peer, current}}
	case d.Revision == current.Revision:
		if d.SHA256 != current.SHA256 {
			n.conflicts++
		}
		return nil
	case d.Revision < n.target.Revision:
		return nil
	case d.Revision > n.target.Revision:
		n.target, n.candidates, n.fetching, n.fullOnly = d, nil, "", false
		n.resumePolling(now)
	case d.SHA256 != n.target.SHA256:
		n.conflicts++
		return nil
	}
	if peer != n.fetching && len(n.candidates) < maxCandidates {
		n.candidates = append(without(n.candidates, peer), peer)
	}
	return n.fetch(now)
}

// resumePolling ends the back-off: a new revision shows that the platform is
// up for some instance.
func (n *Node) resumePolling(now time.Duration) {
	if n.backoff == n.cfg.PollInterval || n.reading {
		return
	}
	n.backoff = n.cfg.PollInterval
	n.nextPoll = min(n.nextPoll, now+n.jittered(n.cfg.PollInterval))
}

// fetch asks the next candidate unless a peer has been asked already. A new
// node waits until it has heard several peers, so that a restart among peers of
// which some are behind does not begin with an older revision than before.
func (n *Node) fetch(now time.Duration) []Action {
	if n.fetching != "" || len(n.candidates) == 0 {
		return nil
	}
	if n.Current().Revision == 0 && now < n.settled {
		return nil
	}
	n.fetching, n.candidates = n.candidates[0], n.candidates[1:]
	n.fetchLimit = now + n.cfg.FetchTimeout
	f := Fetch{Peer: n.fetching, Want: n.target}
	if !n.fullOnly {
		f.Have = n.Current().Digest
	}
	return []Action{f}
}

// FetchFailed reports that a peer did not answer or no longer has the document.
func (n *Node) FetchFailed(now time.Duration, peer string) []Action {
	if peer != n.fetching {
		return nil
	}
	n.fetching = ""
	out := n.fetch(now)
	if len(out) == 0 {
		n.target = Digest{} // the next digest of any peer starts again
	}
	return out
}

// FetchDone reports the answer of a peer to Fetch. An answer that is late, or
// newer than what was asked for, counts too.
func (n *Node) FetchDone(now time.Duration, peer string, b FetchResponse) []Action {
	if b.Digest.Revision <= n.Current().Revision {
		return n.FetchFailed(now, peer)
	}
	raw, ok := b.expand(n.history)
	if !ok || Hash(raw) != b.Digest.SHA256 {
		return n.mismatch(now, peer, b)
	}
	return n.install(now, Document{b.Digest, raw})
}

// mismatch asks the peer for the whole document if it has sent a delta.
func (n *Node) mismatch(now time.Duration, peer string, b FetchResponse) []Action {
	if b.Base != "" && peer == n.fetching && !n.fullOnly {
		n.fullOnly = true
		n.candidates = append([]string{peer}, n.candidates...)
	}
	return n.FetchFailed(now, peer)
}

// install puts a verified document in force if it is newer, and announces it.
func (n *Node) install(now time.Duration, doc Document) []Action {
	if doc.Revision <= n.Current().Revision {
		if doc.Revision == n.Current().Revision && doc.SHA256 != n.Current().SHA256 {
			n.conflicts++
		}
		return nil
	}
	n.history = append(n.history, doc)
	if len(n.history) > n.cfg.HistoryLength {
		n.history = append([]Document(nil), n.history[1:]...)
	}
	if n.target.Revision <= doc.Revision {
		n.target, n.candidates, n.fetching, n.fullOnly = Digest{}, nil, "", false
	}
	n.roundsLeft = n.cfg.PushRounds
	return n.round(now, []Action{Install{doc}})
}

// round performs one announcement round. Up to MaxBroadcastPeers peers, one round
// reaches all of them and no other follows.
func (n *Node) round(now time.Duration, out []Action) []Action {
	n.roundsLeft--
	n.nextRound = never
	if n.roundsLeft > 0 && len(n.near)+len(n.far) > n.cfg.MaxBroadcastPeers {
		n.nextRound = now + n.jittered(n.cfg.PushInterval)
	}
	return n.announce(out)
}

// announce sends the digest to all peers, or to Fanout peers of the same
// failure domain and at least one of the others.
func (n *Node) announce(out []Action) []Action {
	near, far := n.cfg.Fanout, max(1, n.cfg.Fanout-len(n.near))
	if len(n.near)+len(n.far) <= n.cfg.MaxBroadcastPeers {
		near, far = len(n.near), len(n.far)
	}
	out = n.send(out, n.near, near)
	return n.send(out, n.far, far)
}

// gossip sends the digest to one random peer, in a quarter of the cases to one
// of another failure domain.
func (n *Node) gossip(out []Action) []Action {
	peers := n.near
	if len(n.near) == 0 || len(n.far) > 0 && n.rng.IntN(4) == 0 {
		peers = n.far
	}
	return n.send(out, peers, 1)
}

// send appends digests to count random peers.
func (n *Node) send(out []Action, peers []string, count int) []Action {
	current := n.Current().Digest
	if count >= len(peers) {
		for _, p := range peers {
			out = append(out, SendDigest{p, current})
		}
		return out
	}
	chosen := map[int]bool{}
	for len(chosen) < count {
		i := n.rng.IntN(len(peers))
		if !chosen[i] {
			chosen[i] = true
			out = append(out, SendDigest{peers[i], current})
		}
	}
	return out
}

func (n *Node) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitter + 2*jitter*n.rng.Float64()))
}

// without returns a copy of the names without one of them.
func without(names []string, name string) []string {
	out := make([]string, 0, len(names))
	for _, other := range names {
		if other != name {
			out = append(out, other)
		}
	}
	return out
}
