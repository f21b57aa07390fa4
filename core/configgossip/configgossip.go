// Package configgossip distributes the newest configuration revision to all instances by
// gossip. A Node is the state machine of one instance: it takes events, returns actions,
// and does no I/O.
//
// Invariants:
//   - The current revision of a node never decreases.
//   - A node installs a document only if its hash matches.
//   - A node starts a platform read only after the result of the previous one, or after
//     ReadTimeout without a result.
//
// A few instances per failure domain poll the platform. A node that installs a revision
// announces it to peers immediately and in a few later rounds. In addition, each node
// periodically sends its digest to one random peer (anti-entropy), so that a node that
// missed the announcements catches up.
//
// All times are passed in as durations since a common start.
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

// Digest identifies a revision of the configuration document.
type Digest struct {
	Revision uint64 `json:"revision"` // 0 if there is none
	SHA256   string `json:"sha256"`   // hexadecimal
}

// Document is a revision of the configuration with its content. Raw must not be
// modified.
type Document struct {
	Digest
	Raw []byte
}

// Hash returns the SHA-256 hash of raw in hexadecimal, as in Digest.SHA256.
func Hash(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Peer is another live instance.
type Peer struct{ Name, FailureDomain string }

// Action is a ReadPlatform, SendDigest, Fetch or Install, which the code that drives the
// Node executes.
type Action interface{ action() }

// ReadPlatform requests a read of the platform. Its result is reported by
// PlatformReadDone or PlatformReadFailed.
type ReadPlatform struct {
	// Known is the current revision. The content of the document needs to be read
	// only if the platform's revision is greater.
	Known uint64
	// Consistent requests a strongly consistent read. It is set while the node has no
	// revision, so that a restarted node does not install an older revision than
	// before.
	Consistent bool
}

// SendDigest requests that the current digest is sent to a peer.
type SendDigest struct {
	Peer   string
	Digest Digest
}

// Fetch requests a document from a peer. Its result is reported by FetchDone or
// FetchFailed.
type Fetch struct {
	Peer string
	Want Digest
	Have Digest // base from which the peer may send a delta; zero if a whole document is needed
}

// Install requests that a revision takes effect.
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
	PollInterval     time.Duration // mean time between two reads of one poller
	MaxPollInterval  time.Duration // limit of the backoff while the platform is unavailable
	ReadTimeout      time.Duration // time after which a read without a result counts as failed

	GossipInterval       time.Duration // mean time between two digests to a random peer
	MaxBroadcastPeers    int           // up to this number of peers, one announcement round goes to all of them
	Fanout               int           // peers of the same failure domain per round beyond that
	AnnouncementRounds   int           // announcement rounds per revision
	AnnouncementInterval time.Duration // mean time between two rounds
	FetchTimeout         time.Duration // time after which another peer is asked
	StartupWait          time.Duration // time for which a new node collects digests before its first fetch

	HistoryLength int // documents kept as bases of deltas, including the current one
}

// DefaultConfig returns the parameters for an instance. With Fanout 4 and 3 rounds, the
// probability that a peer misses every announcement is about e^-12.
func DefaultConfig(self, failureDomain string) Config {
	return Config{
		Self: self, FailureDomain: failureDomain,
		PollersPerDomain:     3,
		PollInterval:         time.Second,
		MaxPollInterval:      15 * time.Second,
		ReadTimeout:          5 * time.Second,
		GossipInterval:       time.Second,
		MaxBroadcastPeers:    16,
		Fanout:               4,
		AnnouncementRounds:   3,
		AnnouncementInterval: 200 * time.Millisecond,
		FetchTimeout:         500 * time.Millisecond,
		StartupWait:          200 * time.Millisecond,
		HistoryLength:        4,
	}
}

const (
	jitterShare   = 0.2 // fraction by which an interval varies in each direction
	maxCandidates = 4   // limit of the peers known to have the newest revision
	never         = time.Duration(1<<63 - 1)
)

// Node is the state machine of one instance. It is not safe for concurrent use.
type Node struct {
	cfg Config
	rng *rand.Rand

	history []Document // newest last; the last one is current

	localPeers, remotePeers []string // peers in the same and in other failure domains
	isPoller                bool

	readPending bool
	nextPoll    time.Duration // time of the next read; deadline of the pending one while readPending
	pollBackoff time.Duration

	nextGossip        time.Duration
	announcementsLeft int
	nextAnnouncement  time.Duration

	target         Digest   // newest known revision, if it is not installed yet
	candidates     []string // peers that have target
	fetchPeer      string   // peer with a pending fetch of target; empty if none
	noDelta        bool     // request the whole document, as a delta did not match its hash
	fetchDeadline  time.Duration
	startupWaitEnd time.Duration

	conflicts int // see Conflicts
}

// New returns a Node without a revision and without peers.
func New(cfg Config, rng *rand.Rand, now time.Duration) *Node {
	n := &Node{cfg: cfg, rng: rng, pollBackoff: cfg.PollInterval, nextAnnouncement: never, startupWaitEnd: now + cfg.StartupWait}
	n.nextGossip = now + n.jittered(cfg.GossipInterval)
	n.choosePollers(now)
	return n
}

// Current returns the installed revision; its Revision is 0 if there is none.
func (n *Node) Current() Document {
	if len(n.history) == 0 {
		return Document{}
	}
	return n.history[len(n.history)-1]
}

// IsPoller reports whether this node polls the platform.
func (n *Node) IsPoller() bool { return n.isPoller }

// Conflicts returns the number of digests and documents with another hash for a known
// revision. They are ignored. The platform gives each revision number to one document
// only, so they show that it was reset to an earlier state.
func (n *Node) Conflicts() int { return n.conflicts }

// NextTick returns the time at which Tick is next due.
func (n *Node) NextTick() time.Duration {
	next := min(n.nextGossip, n.nextAnnouncement)
	if n.isPoller || n.readPending {
		next = min(next, n.nextPoll)
	}
	if n.fetchPeer != "" {
		next = min(next, n.fetchDeadline)
	} else if len(n.candidates) > 0 {
		next = min(next, n.startupWaitEnd)
	}
	return next
}

// PeersChanged replaces the set of live peers, which must not contain the node itself.
func (n *Node) PeersChanged(now time.Duration, peers []Peer) []Action {
	hadNoPeers := len(n.localPeers)+len(n.remotePeers) == 0
	n.localPeers, n.remotePeers = nil, nil
	for _, p := range peers {
		if p.FailureDomain == n.cfg.FailureDomain {
			n.localPeers = append(n.localPeers, p.Name)
		} else {
			n.remotePeers = append(n.remotePeers, p.Name)
		}
	}
	n.choosePollers(now)
	if hadNoPeers && len(peers) > 0 {
		return n.announce(nil) // peers with a newer revision respond with their digest
	}
	return nil
}

// choosePollers determines by rendezvous hashing whether this node polls the platform.
// Nodes with different views of the live peers may choose more or other pollers, at the
// cost of a few reads.
func (n *Node) choosePollers(now time.Duration) {
	wasPoller := n.isPoller
	n.isPoller = false
	names := append([]string{n.cfg.Self}, n.localPeers...)
	for i := 0; i < n.cfg.PollersPerDomain && len(names) > 0 && !n.isPoller; i++ {
		winner := rendezvous.New(names, xxhash.Sum64String).Lookup("poller/" + strconv.Itoa(i))
		n.isPoller = winner == n.cfg.Self
		names = without(names, winner)
	}
	if n.isPoller && !wasPoller && !n.readPending {
		n.nextPoll = now + time.Duration(n.rng.Float64()*float64(n.cfg.PollInterval)/4)
	}
}

// Tick returns the actions that are due at now: reads, time-outs, announcements, gossip.
func (n *Node) Tick(now time.Duration) []Action {
	var actions []Action
	if n.readPending && now >= n.nextPoll {
		actions = n.PlatformReadFailed(now)
	}
	if n.isPoller && !n.readPending && now >= n.nextPoll {
		actions = append(actions, n.startRead(now))
	}
	if n.fetchPeer != "" && now >= n.fetchDeadline {
		actions = append(actions, n.FetchFailed(now, n.fetchPeer)...)
	}
	actions = append(actions, n.fetch(now)...)
	if now >= n.nextAnnouncement {
		actions = n.announceRound(now, actions)
	}
	if now >= n.nextGossip {
		n.nextGossip = now + n.jittered(n.cfg.GossipInterval)
		actions = n.gossip(actions)
	}
	return actions
}

func (n *Node) startRead(now time.Duration) Action {
	n.readPending = true
	n.nextPoll = now + n.cfg.ReadTimeout
	known := n.Current().Revision
	return ReadPlatform{Known: known, Consistent: known == 0}
}

// PlatformReadDone reports the platform's current revision, or the zero Document if
// it has none. Raw may be nil if the revision is not greater than ReadPlatform.Known. An
// older revision comes from a stale read and is ignored.
func (n *Node) PlatformReadDone(now time.Duration, doc Document) []Action {
	if doc.Revision > n.Current().Revision && Hash(doc.Raw) != doc.SHA256 {
		return n.PlatformReadFailed(now)
	}
	n.readPending = false
	n.pollBackoff = n.cfg.PollInterval
	n.nextPoll = now + n.jittered(n.cfg.PollInterval)
	return n.install(now, doc)
}

// PlatformReadFailed reports that a platform read failed or timed out.
func (n *Node) PlatformReadFailed(now time.Duration) []Action {
	n.readPending = false
	n.pollBackoff = min(2*n.pollBackoff, n.cfg.MaxPollInterval)
	n.nextPoll = now + n.pollBackoff/2 + time.Duration(n.rng.Float64()*float64(n.pollBackoff)/2)
	return nil
}

// DigestReceived reports a digest sent by a peer.
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
		n.target, n.candidates, n.fetchPeer, n.noDelta = d, nil, "", false
		n.resumePolling(now)
	case d.SHA256 != n.target.SHA256:
		n.conflicts++
		return nil
	}
	if peer != n.fetchPeer && len(n.candidates) < maxCandidates {
		n.candidates = append(without(n.candidates, peer), peer)
	}
	return n.fetch(now)
}

// resumePolling ends the backoff, as a new revision shows that the platform is available
// to some instance.
func (n *Node) resumePolling(now time.Duration) {
	if n.pollBackoff == n.cfg.PollInterval || n.readPending {
		return
	}
	n.pollBackoff = n.cfg.PollInterval
	n.nextPoll = min(n.nextPoll, now+n.jittered(n.cfg.PollInterval))
}

// fetch requests target from the next candidate unless a fetch is pending. A new node
// first collects digests for StartupWait, so that a restarted node does not install an
// older revision than before from a peer that is behind.
func (n *Node) fetch(now time.Duration) []Action {
	if n.fetchPeer != "" || len(n.candidates) == 0 {
		return nil
	}
	if n.Current().Revision == 0 && now < n.startupWaitEnd {
		return nil
	}
	n.fetchPeer, n.candidates = n.candidates[0], n.candidates[1:]
	n.fetchDeadline = now + n.cfg.FetchTimeout
	f := Fetch{Peer: n.fetchPeer, Want: n.target}
	if !n.noDelta {
		f.Have = n.Current().Digest
	}
	return []Action{f}
}

// FetchFailed reports that a peer did not respond or does not have the document.
func (n *Node) FetchFailed(now time.Duration, peer string) []Action {
	if peer != n.fetchPeer {
		return nil
	}
	n.fetchPeer = ""
	actions := n.fetch(now)
	if len(actions) == 0 {
		n.target = Digest{} // the next newer digest of any peer sets it again
	}
	return actions
}

// FetchDone reports the response of a peer to Fetch. A response that is late, or newer
// than requested, is accepted too.
func (n *Node) FetchDone(now time.Duration, peer string, response FetchResponse) []Action {
	if response.Digest.Revision <= n.Current().Revision {
		return n.FetchFailed(now, peer)
	}
	raw, ok := response.expand(n.history)
	if !ok || Hash(raw) != response.Digest.SHA256 {
		return n.refetchWhole(now, peer, response)
	}
	return n.install(now, Document{response.Digest, raw})
}

// refetchWhole handles a response whose hash does not match: it requests the whole
// document from the same peer if the response was a delta, and else fails the fetch.
func (n *Node) refetchWhole(now time.Duration, peer string, response FetchResponse) []Action {
	if response.Base != "" && peer == n.fetchPeer && !n.noDelta {
		n.noDelta = true
		n.candidates = append([]string{peer}, n.candidates...)
	}
	return n.FetchFailed(now, peer)
}

// install installs a verified document if it is newer, and announces it.
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
		n.target, n.candidates, n.fetchPeer, n.noDelta = Digest{}, nil, "", false
	}
	n.announcementsLeft = n.cfg.AnnouncementRounds
	return n.announceRound(now, []Action{Install{doc}})
}

// announceRound performs one announcement round. With at most MaxBroadcastPeers peers, it
// reaches all of them and no further round follows.
func (n *Node) announceRound(now time.Duration, actions []Action) []Action {
	n.announcementsLeft--
	n.nextAnnouncement = never
	if n.announcementsLeft > 0 && len(n.localPeers)+len(n.remotePeers) > n.cfg.MaxBroadcastPeers {
		n.nextAnnouncement = now + n.jittered(n.cfg.AnnouncementInterval)
	}
	return n.announce(actions)
}

// announce sends the digest to all peers if there are at most MaxBroadcastPeers, and else
// to Fanout peers of the same failure domain and at least one of the others.
func (n *Node) announce(actions []Action) []Action {
	localCount, remoteCount := n.cfg.Fanout, max(1, n.cfg.Fanout-len(n.localPeers))
	if len(n.localPeers)+len(n.remotePeers) <= n.cfg.MaxBroadcastPeers {
		localCount, remoteCount = len(n.localPeers), len(n.remotePeers)
	}
	actions = n.sendDigests(actions, n.localPeers, localCount)
	return n.sendDigests(actions, n.remotePeers, remoteCount)
}

// gossip sends the digest to one random peer, with a probability of 1/4 to one of another
// failure domain.
func (n *Node) gossip(actions []Action) []Action {
	peers := n.localPeers
	if len(n.localPeers) == 0 || len(n.remotePeers) > 0 && n.rng.IntN(4) == 0 {
		peers = n.remotePeers
	}
	return n.sendDigests(actions, peers, 1)
}

// sendDigests appends actions that send the digest to count random peers.
func (n *Node) sendDigests(actions []Action, peers []string, count int) []Action {
	current := n.Current().Digest
	if count >= len(peers) {
		for _, p := range peers {
			actions = append(actions, SendDigest{p, current})
		}
		return actions
	}
	chosen := map[int]bool{}
	for len(chosen) < count {
		i := n.rng.IntN(len(peers))
		if !chosen[i] {
			chosen[i] = true
			actions = append(actions, SendDigest{peers[i], current})
		}
	}
	return actions
}

func (n *Node) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare + 2*jitterShare*n.rng.Float64()))
}

// without returns a copy of names without name.
func without(names []string, name string) []string {
	remaining := make([]string, 0, len(names))
	for _, other := range names {
		if other != name {
			remaining = append(remaining, other)
		}
	}
	return remaining
}
