package node

import (
	"context"
	"sync"
	"time"

	"github.com/papayarail/papayarail/instance/peer"
	"github.com/papayarail/papayarail/instance/view"
)

const (
	gossipInterval = 300 * time.Millisecond
	gossipTimeout  = time.Second
	// peerLifetime is the time without an answer after which a peer counts as dead.
	peerLifetime = 1500 * time.Millisecond
	// listInterval is the time between two reads of the platform's instance list.
	listInterval = 5 * time.Second
)

// liveness exchanges gossip with every known peer address.
type liveness struct {
	node *Node

	mu    sync.Mutex
	peers map[string]*contact
}

type contact struct {
	busy  bool
	hello peer.Hello
	heard time.Duration // zero: never
}

func newLiveness(n *Node) *liveness {
	l := &liveness{node: n, peers: make(map[string]*contact)}
	for _, a := range n.settings.SeedPeers {
		l.add(a)
	}
	return l
}

func (l *liveness) add(address string) {
	if address == "" || address == l.node.settings.PeerAddress {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers[address] == nil {
		l.peers[address] = &contact{}
	}
}

func (l *liveness) run(ctx context.Context) {
	for {
		l.round(ctx)
		l.publish()
		if !pause(ctx, gossipInterval) {
			return
		}
	}
}

// round sends gossip to each peer that is not still being asked.
func (l *liveness) round(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, c := range l.peers {
		if c.busy {
			continue
		}
		c.busy = true
		go l.ask(ctx, address, c)
	}
}

func (l *liveness) ask(ctx context.Context, address string, c *contact) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	var answer peer.Gossip
	err := l.node.links.Control(address).Call(ctx, peer.MethodGossip, l.node.gossip(), &answer)
	l.mu.Lock()
	c.busy = false
	l.mu.Unlock()
	if err == nil {
		l.node.receive(&answer)
	}
}

// heard notes a sign of life.
func (l *liveness) heard(h peer.Hello) {
	l.add(h.Address)
	l.mu.Lock()
	c := l.peers[h.Address]
	if c != nil && h.Incarnation >= c.hello.Incarnation {
		c.hello = h
		c.heard = l.node.now()
	}
	l.mu.Unlock()
}

// publish updates the view if the set of live peers has changed.
func (l *liveness) publish() {
	now := l.node.now()
	var live []view.Peer
	l.mu.Lock()
	for _, c := range l.peers {
		if c.heard > 0 && now-c.heard < peerLifetime {
			live = append(live, view.Peer{
				Name:          c.hello.Name,
				FailureDomain: c.hello.FailureDomain,
				Address:       c.hello.Address,
				Operator:      c.hello.Operator,
				Leaving:       c.hello.Leaving,
			})
		}
	}
	l.mu.Unlock()
	if l.node.view.UpdatePeers(live) {
		l.node.log.WithField("peers", len(live)).Info("live peers changed")
		l.node.kick()
	}
}

// announce sends the news to all peers at once.
func (l *liveness) announce(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address := range l.peers {
		go l.tell(ctx, address)
	}
}

func (l *liveness) tell(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	var answer peer.Gossip
	if l.node.links.Control(address).Call(ctx, peer.MethodGossip, l.node.gossip(), &answer) == nil {
		l.node.receive(&answer)
	}
}

// readList takes addresses from the platform's lagging list. Being absent from
// it or dead there means nothing; only direct evidence ends a peer.
func (l *liveness) readList(ctx context.Context) {
	for {
		list, err := l.node.register.Instances(ctx)
		if err != nil {
			l.node.log.WithError(err).Debug("could not read the instance list from the platform")
		}
		for _, i := range list {
			l.add(i.PeerAddress)
		}
		if !pause(ctx, listInterval) {
			return
		}
	}
}
