package node

import (
	"context"

	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/instance/peer"
)

// handler serves one link from another instance.
type handler struct {
	node *Node
	link string
}

func (h handler) Exchange(ctx context.Context, r *peer.ExchangeRequest) (*peer.ExchangeAnswer, error) {
	return h.node.upstreams.exchange(ctx, h.link, r)
}

func (h handler) EndTransaction(ctx context.Context, r *peer.EndTransactionRequest) error {
	for _, u := range h.node.upstreams.all(r.Upstream) {
		u.EndTransaction(ctx, r.Tx)
	}
	return nil
}

func (h handler) Cancel(_ context.Context, r *peer.CancelRequest) error {
	for _, u := range h.node.upstreams.all(r.Upstream) {
		u.Cancel(r.ID)
	}
	return nil
}

func (h handler) Barrier(ctx context.Context, r *peer.BarrierRequest) (*peer.BarrierAnswer, error) {
	p, err := h.node.upstreams.barrier(ctx, r.Service)
	if err != nil {
		return nil, err
	}
	return &peer.BarrierAnswer{Position: p}, nil
}

func (h handler) Gossip(_ context.Context, g *peer.Gossip) (*peer.Gossip, error) {
	h.node.receive(g)
	return h.node.gossip(), nil
}

func (h handler) FetchConfig(_ context.Context, r *peer.FetchConfigRequest) (*peer.FetchConfigAnswer, error) {
	answer := h.node.config.answer()
	if answer == nil || answer.Revision < r.Revision {
		return nil, verdict.New(verdict.ReplicaBehind, "this instance has no configuration of revision %d", r.Revision)
	}
	return answer, nil
}

// Close rolls back what the link left open.
func (h handler) Close() {
	for _, u := range h.node.upstreams.all("") {
		u.LinkClosed(h.link)
	}
}
