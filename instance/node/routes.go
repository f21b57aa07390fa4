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
	routeTimeout = time.Second
	// announceAll is the number of peers up to which a new route goes to all at
	// once; beyond it, announceFanout random ones get it and pass it on.
	announceAll    = 16
	announceFanout = 4
	// routeSyncInterval bounds how often all routes are exchanged.
	routeSyncInterval = 2 * time.Second
)

// probe completes a membership digest to the message that carries it.
func (n *Node) probe(d membership.Digest) *peer.Probe {
	sum, changes := n.view.RouteGossip()
	return &peer.Probe{Membership: d, RouteChecksum: sum, Routes: changes, Revision: n.config.digest()}
}

// takeNews takes in what rides on a probe, and exchanges all routes with a peer
// whose sum still differs.
func (n *Node) takeNews(p *peer.Probe) {
	n.learnRoutes(p.Routes)
	if from := p.Membership.From; from.Name != "" && p.RouteChecksum != n.view.RouteChecksum() {
		n.syncRoutes(from.Address)
	}
}

func (n *Node) syncRoutes(address string) {
	now := n.now()
	if last := n.routeSync.Load(); last != 0 && now-time.Duration(last) < routeSyncInterval {
		return
	}
	n.routeSync.Store(int64(now))
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

// learnRoutes takes in routes from a peer and passes news on.
func (n *Node) learnRoutes(routes []failover.Route) {
	for _, r := range routes {
		if n.learnRoute(r) && len(n.view.Peers()) > announceAll {
			n.passOn(r)
		}
	}
}

// learnRoute reports whether the route is news.
func (n *Node) learnRoute(r failover.Route) bool {
	if !n.view.LearnRoute(r) {
		return false
	}
	n.coordinators.learn(r)
	n.upstreams.learnRoute(r)
	n.kick()
	return true
}

// announceRoute spreads a route that this instance's coordinator established.
func (n *Node) announceRoute(r failover.Route) {
	if n.learnRoute(r) {
		n.passOn(r)
	}
}

// passOn sends a route to all peers, or to a few random ones of many.
func (n *Node) passOn(r failover.Route) {
	peers := n.view.Peers()
	if len(peers) > announceAll {
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		peers = peers[:announceFanout]
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
