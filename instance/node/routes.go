package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/papayarail/papayarail/core/failover"
	"github.com/papayarail/papayarail/core/membership"
	"github.com/papayarail/papayarail/instance/peer"
	"github.com/papayarail/papayarail/instance/view"
)

const (
	// routeTimeout bounds a call that sends routes to a peer.
	routeTimeout = time.Second
	// maxBroadcastPeers is the number of peers up to which a new route is sent to all
	// of them. With more peers the route is sent to gossipFanout random ones, which
	// forward it.
	maxBroadcastPeers = 16
	gossipFanout      = 4
	// routeSyncInterval is the minimum time between two exchanges of all routes.
	routeSyncInterval = 2 * time.Second
)

// probe returns the probe message that carries the membership digest, with the
// route changes and the revision piggybacked on it.
func (n *Node) probe(d membership.Digest) *peer.Probe {
	checksum, changes := n.view.RouteGossip()
	return &peer.Probe{Membership: d, RouteChecksum: checksum, Routes: changes, Revision: n.config.currentDigest()}
}

// receiveRoutes handles the route changes piggybacked on a probe. If the checksums
// still differ, it exchanges all routes with the sender.
func (n *Node) receiveRoutes(p *peer.Probe) {
	n.learnRoutes(p.Routes)
	if from := p.Membership.From; from.Name != "" && p.RouteChecksum != n.view.RouteChecksum() {
		n.syncRoutes(from.Address)
	}
}

// syncRoutes starts an exchange of all routes with the peer at address, at most one
// per routeSyncInterval.
func (n *Node) syncRoutes(address string) {
	now := n.now()
	if last := n.lastRouteSync.Load(); last != 0 && now-time.Duration(last) < routeSyncInterval {
		return
	}
	n.lastRouteSync.Store(int64(now))
	go n.exchangeRoutes(address, n.view.Routes())
}

func (n *Node) exchangeRoutes(address string, routes []failover.Route) {
	ctx, cancel := context.WithTimeout(n.workCtx, routeTimeout)
	defer cancel()
	var answer peer.Routes
	if n.links.Control(address).Call(ctx, peer.MethodRoutes, &peer.Routes{Routes: routes, WantAll: true}, &answer) == nil {
		n.learnRoutes(answer.Routes)
	}
}

// learnRoutes records routes from a peer and forwards the new ones if there are too
// many peers for a broadcast.
func (n *Node) learnRoutes(routes []failover.Route) {
	for _, r := range routes {
		if n.learnRoute(r) && len(n.view.Peers()) > maxBroadcastPeers {
			n.forwardRoute(r)
		}
	}
}

// learnRoute records a route and reports whether it is new.
func (n *Node) learnRoute(r failover.Route) bool {
	if !n.view.LearnRoute(r) {
		return false
	}
	n.coordinators.learn(r)
	n.upstreams.learnRoute(r)
	n.triggerReconcile()
	return true
}

// announceRoute records and forwards a route that this instance's coordinator
// established.
func (n *Node) announceRoute(r failover.Route) {
	if n.learnRoute(r) {
		n.forwardRoute(r)
	}
}

// forwardRoute sends a route to all peers or, beyond maxBroadcastPeers, to
// gossipFanout random ones.
func (n *Node) forwardRoute(r failover.Route) {
	peers := n.view.Peers()
	if len(peers) > maxBroadcastPeers {
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		peers = peers[:gossipFanout]
	}
	for _, p := range peers {
		go n.sendRoute(p, r)
	}
}

func (n *Node) sendRoute(p view.Peer, r failover.Route) {
	ctx, cancel := context.WithTimeout(n.workCtx, routeTimeout)
	defer cancel()
	var none peer.Routes
	err := n.links.Control(p.Address).Call(ctx, peer.MethodRoutes, &peer.Routes{Routes: []failover.Route{r}}, &none)
	if err != nil {
		n.log.WithError(err).WithField("peer", p.Name).Debug("could not announce a route")
	}
}
