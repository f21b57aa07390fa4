package node

import (
	"context"
	"sync"
	"time"

	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/instance/peer"
	"github.com/papayarail/papayarail/platform/configstore"
)

const (
	configPollInterval = time.Second
	configTimeout      = 2 * time.Second
)

// config keeps the newest configuration and passes it on to peers.
type config struct {
	node *Node

	mu      sync.Mutex
	current *peer.FetchConfigAnswer
}

func (c *config) answer() *peer.FetchConfigAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// poll reads the platform's revision.
func (c *config) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	revision, doc, raw, err := c.node.store.Read(ctx)
	if err != nil {
		c.node.log.WithError(err).Debug("could not read the configuration from the platform")
		return
	}
	c.install(uint64(revision), doc, raw)
}

// install puts a revision in force unless a newer one is.
func (c *config) install(revision uint64, doc *fleet.Document, raw []byte) {
	c.mu.Lock()
	if c.current == nil || revision > c.current.Revision {
		c.current = &peer.FetchConfigAnswer{Revision: revision, SHA256: configstore.Hash(raw), Document: raw}
	}
	c.mu.Unlock()
	if c.node.view.Install(revision, doc) {
		c.node.log.WithField("revision", revision).Info("configuration in force")
		c.node.kick()
	}
}

// fetch asks a peer that has a newer revision.
func (c *config) fetch(ctx context.Context, address string, revision uint64) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	var answer peer.FetchConfigAnswer
	err := c.node.links.Control(address).Call(ctx, peer.MethodFetchConfig, &peer.FetchConfigRequest{Revision: revision}, &answer)
	if err != nil {
		c.node.log.WithError(err).Debug("could not fetch the configuration from a peer")
		return
	}
	if configstore.Hash(answer.Document) != answer.SHA256 {
		c.node.log.WithField("peer", address).Warn("a peer sent a configuration whose hash does not match")
		return
	}
	doc, err := fleet.Parse(answer.Document)
	if err != nil {
		c.node.log.WithError(err).WithField("peer", address).Warn("a peer sent a configuration that does not parse")
		return
	}
	c.install(answer.Revision, doc, answer.Document)
}

func (c *config) run(ctx context.Context) {
	for {
		c.poll(ctx)
		if !pause(ctx, configPollInterval) {
			return
		}
	}
}

// pause reports false when ctx has ended.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
