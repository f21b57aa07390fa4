package node

import (
	"context"
	"slices"

	"github.com/papayarail/papayarail/core/configgossip"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/instance/owner"
	"github.com/papayarail/papayarail/instance/peer"
)

// handler implements peer.Handler for one link from another instance.
type handler struct {
	node *Node
	link string
}

func (h handler) Exchange(ctx context.Context, r *peer.ExchangeRequest) (*peer.ExchangeAnswer, error) {
	return h.node.upstreams.exchange(ctx, h.link, r)
}

func (h handler) EndTransaction(ctx context.Context, r *peer.EndTransactionRequest) error {
	for _, u := range h.node.upstreams.matching(r.Upstream) {
		u.EndTransaction(ctx, r.Tx)
	}
	return nil
}

func (h handler) Cancel(_ context.Context, r *peer.CancelRequest) error {
	for _, u := range h.node.upstreams.matching(r.Upstream) {
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

func (h handler) Quiesce(ctx context.Context, r *peer.QuiesceRequest) error {
	return h.node.upstreams.quiesce(ctx, r)
}

func (h handler) Probe(_ context.Context, p *peer.Probe) (*peer.Probe, error) {
	return h.node.members.probeReceived(p), nil
}

func (h handler) ProbeThrough(ctx context.Context, p *peer.ProbeThrough) (*peer.Probe, error) {
	return h.node.members.sendProbe(ctx, p.Address, &p.Probe)
}

func (h handler) Members(context.Context, *peer.Empty) (*peer.Members, error) {
	return &peer.Members{Members: h.node.members.knownInstances()}, nil
}

func (h handler) Routes(_ context.Context, r *peer.Routes) (*peer.Routes, error) {
	h.node.learnRoutes(r.Routes)
	if !r.WantAll {
		return &peer.Routes{}, nil
	}
	return &peer.Routes{Routes: h.node.view.Routes()}, nil
}

func (h handler) Revision(_ context.Context, r *peer.Revision) error {
	h.node.config.digestReceived(r.From, r.Digest)
	return nil
}

func (h handler) FetchConfig(_ context.Context, r *peer.FetchConfig) (*configgossip.FetchResponse, error) {
	body, found := h.node.config.answerFetch(r)
	if !found {
		return nil, verdict.New(verdict.ReplicaBehind, "this instance has no configuration of revision %d", r.Want.Revision)
	}
	return &body, nil
}

func (h handler) AdviseLeaving(context.Context, *peer.Empty) error {
	h.node.members.leavingAdvised()
	return nil
}

// HasOpenTransactions reports whether any transaction that was started over the
// link is open.
func (h handler) HasOpenTransactions() bool {
	return slices.ContainsFunc(h.node.upstreams.matching(""), func(u *owner.Upstream) bool { return u.HasLinkTransactions(h.link) })
}

// Close rolls back the open transactions that were started over the link.
func (h handler) Close() {
	for _, u := range h.node.upstreams.matching("") {
		u.LinkClosed(h.link)
	}
}
