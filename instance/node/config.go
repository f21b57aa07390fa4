package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/papayarail/papayarail/core/configgossip"
	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/instance/peer"
	"github.com/papayarail/papayarail/instance/view"
	"github.com/papayarail/papayarail/store"
)

const (
	configTickInterval = 20 * time.Millisecond // between ticks of the state machine
	configTimeout      = 2 * time.Second       // of a read from the platform or a call to a peer
)

// configGossip spreads the configuration between the instances: it performs the
// actions of the state machine in core/configgossip.
type configGossip struct {
	node *Node

	mu             sync.Mutex
	machine        *configgossip.Node
	addresses      map[string]string // peer address by instance name
	lastReadFailed bool              // the last read from the platform failed
}

func newConfigGossip(n *Node) *configGossip {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &configGossip{
		node:    n,
		machine: configgossip.New(configgossip.DefaultConfig(n.settings.Name, n.settings.FailureDomain), random, n.now()),
	}
}

func (c *configGossip) run(ctx context.Context) {
	for sleep(ctx, configTickInterval) {
		c.applyEvent(func(now time.Duration) []configgossip.Action { return c.machine.Tick(now) })
	}
}

// applyEvent applies f to the state machine and performs the resulting actions.
func (c *configGossip) applyEvent(f func(now time.Duration) []configgossip.Action) {
	c.mu.Lock()
	actions := f(c.node.now())
	addresses := c.addresses
	c.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case configgossip.ReadPlatform:
			go c.readPlatform(a)
		case configgossip.SendDigest:
			go c.sendDigest(addresses[a.Peer], a)
		case configgossip.Fetch:
			go c.fetch(addresses[a.Peer], a)
		case configgossip.Install:
			c.install(a.Document)
		}
	}
}

func (c *configGossip) peersChanged(peers []view.Peer) {
	addresses := make(map[string]string, len(peers))
	var list []configgossip.Peer
	for _, p := range peers {
		addresses[p.Name] = p.Address
		list = append(list, configgossip.Peer{Name: p.Name, FailureDomain: p.FailureDomain})
	}
	c.mu.Lock()
	c.addresses = addresses
	c.mu.Unlock()
	c.applyEvent(func(now time.Duration) []configgossip.Action { return c.machine.PeersChanged(now, list) })
}

// readPlatform reads the head of the configuration from the platform, and the document
// if the head names a newer revision than the one that this instance has.
func (c *configGossip) readPlatform(a configgossip.ReadPlatform) {
	ctx, cancel := context.WithTimeout(c.node.workCtx, configTimeout)
	defer cancel()
	doc, err := c.readDocument(ctx, a)
	c.recordPlatformRead(err)
	if err != nil {
		c.applyEvent(func(now time.Duration) []configgossip.Action { return c.machine.PlatformReadFailed(now) })
		return
	}
	c.applyEvent(func(now time.Duration) []configgossip.Action { return c.machine.PlatformReadDone(now, doc) })
}

func (c *configGossip) readDocument(ctx context.Context, a configgossip.ReadPlatform) (configgossip.Document, error) {
	head, err := c.node.store.Head(ctx, store.Consistency(a.Consistent))
	if err != nil {
		return configgossip.Document{}, err
	}
	doc := configgossip.Document{Digest: configgossip.Digest{Revision: uint64(head.Revision), SHA256: head.SHA256}}
	if doc.Revision <= a.Known {
		return doc, nil
	}
	_, doc.Raw, err = c.node.store.Document(ctx, head)
	return doc, err
}

// recordPlatformRead logs when reads from the platform begin to fail or succeed again.
func (c *configGossip) recordPlatformRead(err error) {
	c.mu.Lock()
	changed := c.lastReadFailed != (err != nil)
	c.lastReadFailed = err != nil
	c.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		c.node.log.WithError(err).Warn("could not read the configuration from the platform")
	default:
		c.node.log.Info("the platform answers again")
	}
}

func (c *configGossip) platformFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReadFailed
}

// isPoller reports whether this instance is one of the few in its failure domain
// that read the platform; the others get the configuration from them.
func (c *configGossip) isPoller() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.IsPoller()
}

func (c *configGossip) sendDigest(address string, a configgossip.SendDigest) {
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(c.node.workCtx, configTimeout)
	defer cancel()
	var none peer.Empty
	_ = c.node.links.Control(address).Call(ctx, peer.MethodRevision, &peer.Revision{From: c.node.settings.Name, Digest: a.Digest}, &none)
}

func (c *configGossip) fetch(address string, a configgossip.Fetch) {
	ctx, cancel := context.WithTimeout(c.node.workCtx, configTimeout)
	defer cancel()
	var body configgossip.FetchResponse
	err := c.node.links.Control(address).Call(ctx, peer.MethodFetchConfig, &peer.FetchConfig{Want: a.Want, Have: a.Have}, &body)
	if err != nil {
		c.applyEvent(func(now time.Duration) []configgossip.Action { return c.machine.FetchFailed(now, a.Peer) })
		return
	}
	c.applyEvent(func(now time.Duration) []configgossip.Action { return c.machine.FetchDone(now, a.Peer, body) })
}

// install puts a configuration in force. One that does not parse is logged and
// ignored.
func (c *configGossip) install(doc configgossip.Document) {
	parsed, err := fleet.Parse(doc.Raw)
	if err != nil {
		c.node.log.WithError(err).WithField("revision", doc.Revision).Error("the configuration does not parse and is not put in force")
		return
	}
	if c.node.view.Install(doc.Revision, parsed) {
		c.node.log.WithField("revision", doc.Revision).Info("configuration in force")
		c.node.triggerReconcile()
	}
}

// digestReceived handles the digest of the configuration in force at a peer.
func (c *configGossip) digestReceived(from string, d configgossip.Digest) {
	c.applyEvent(func(now time.Duration) []configgossip.Action { return c.machine.DigestReceived(now, from, d) })
}

// answerFetch returns the answer to a peer that asks for a configuration; false if this
// instance does not have it.
func (c *configGossip) answerFetch(r *peer.FetchConfig) (configgossip.FetchResponse, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.AnswerFetch(r.Want, r.Have)
}

// currentDigest identifies the installed configuration; its revision is 0 if there is
// none.
func (c *configGossip) currentDigest() configgossip.Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Current().Digest
}

// sleep waits for d and reports whether ctx has not ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
