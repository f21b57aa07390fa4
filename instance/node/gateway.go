package node

import (
	"context"
	"errors"
	"time"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/instance/peer"
	"github.com/papayarail/papayarail/instance/view"
)

const (
	// ownershipRetryDelay is the retry delay in errors for an upstream without a known
	// owner or primary. After that delay there usually is one.
	ownershipRetryDelay = 50 * time.Millisecond
	// cancelTimeout bounds the call that cancels an exchange or ends a transaction
	// at its owner.
	cancelTimeout = time.Second
	// cancelAnswerTimeout is the time that the owner has to answer a cancelled
	// exchange. It covers the owner's own wait for the cancelled statement.
	cancelAnswerTimeout = time.Second
	// localLink is the link name of exchanges whose session is on the owner itself.
	localLink = "local"
)

// gateway implements router.Gateway: it runs exchanges on this instance's upstreams
// or sends them to the instance that owns the upstream.
type gateway struct{ node *Node }

// Exchange runs r at the instance that owns its upstream.
func (g gateway) Exchange(ctx context.Context, owner view.Peer, r *peer.ExchangeRequest) (*peer.ExchangeAnswer, error) {
	if owner.Name == g.node.settings.Name {
		return g.node.upstreams.exchange(ctx, localLink, r)
	}
	// The call continues for a short time after ctx has ended: the owner cancels
	// the statement and answers with its outcome.
	callCtx, cancelCall := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelCall()
	stop := context.AfterFunc(ctx, func() {
		g.cancel(owner, r)
		if sleep(callCtx, cancelAnswerTimeout) {
			cancelCall()
		}
	})
	defer stop()
	answer := &peer.ExchangeAnswer{}
	err := g.node.links.Data(owner.Address).Call(callCtx, peer.MethodExchange, r, answer)
	if err == nil {
		return answer, nil
	}
	return nil, g.refineError(r, err)
}

// refineError replaces an unknown outcome by a more specific error where the
// request's kind allows it: a read that may be retried, a transaction that has been
// rolled back, or a commit of unknown outcome.
func (g gateway) refineError(r *peer.ExchangeRequest, err error) error {
	var v *verdict.Error
	if !errors.As(err, &v) || v.Code != verdict.OutcomeUnknown {
		return err
	}
	if r.Tx == "" && !r.Writes {
		lost := verdict.New(verdict.CutOff, "the answer to a read was lost: %s", v.Message).WithRetryAfter(ownershipRetryDelay)
		lost.Verdict = verdict.MayHaveRun
		return lost
	}
	if r.Tx != "" && !r.Begins && !r.Commits {
		return verdict.New(verdict.TransactionRolledBack, "the owner of the transaction was lost: %s", v.Message)
	}
	if r.Tx != "" && r.Commits && !r.Begins {
		return verdict.New(verdict.CommitUnknown, "the owner was lost during the commit: %s", v.Message)
	}
	return err
}

// cancel tells the owner to cancel r; a failure is ignored, as r has a deadline there.
func (g gateway) cancel(owner view.Peer, r *peer.ExchangeRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	var none peer.Empty
	_ = g.node.links.Control(owner.Address).Call(ctx, peer.MethodCancel, &peer.CancelRequest{Upstream: r.Upstream, ID: r.ID}, &none)
}

// EndTransaction rolls back a transaction of a session that has ended.
func (g gateway) EndTransaction(owner view.Peer, upstream, tx string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if owner.Name == g.node.settings.Name {
		for _, u := range g.node.upstreams.matching(upstream) {
			u.EndTransaction(ctx, tx)
		}
		return
	}
	var none peer.Empty
	err := g.node.links.Data(owner.Address).Call(ctx, peer.MethodEndTransaction, &peer.EndTransactionRequest{Upstream: upstream, Tx: tx}, &none)
	if err != nil {
		g.node.log.WithError(err).WithField("upstream", upstream).Debug("could not end a transaction at its owner")
	}
}

// barrier asks the owner of the service's primary for a position that is confirmed
// after the call.
func (n *Node) barrier(ctx context.Context, service string) (position.Position, error) {
	owner, err := n.primaryOwner(service)
	if err != nil {
		return position.Position{}, err
	}
	if owner.Name == n.settings.Name {
		return n.upstreams.barrier(ctx, service)
	}
	var answer peer.BarrierAnswer
	err = n.links.Control(owner.Address).Call(ctx, peer.MethodBarrier, &peer.BarrierRequest{Service: service}, &answer)
	return answer.Position, err
}

// quiesce asks the owner of a primary to refuse new writes for the time of limit,
// and returns when those in progress have ended.
func (n *Node) quiesce(ctx context.Context, service, primary string, limit time.Duration) error {
	db, found := n.database(service, primary)
	if !found {
		return verdict.New(verdict.NoPrimary, "upstream %q is not in the configuration", primary)
	}
	owner, found := n.view.Owner(db)
	if !found {
		return verdict.New(verdict.CutOff, "no live instance owns upstream %q", primary)
	}
	r := &peer.QuiesceRequest{Upstream: primary, Limit: limit}
	if owner.Name == n.settings.Name {
		return n.upstreams.quiesce(ctx, r)
	}
	var none peer.Empty
	return n.links.Control(owner.Address).Call(ctx, peer.MethodQuiesce, r, &none)
}

func (n *Node) primaryOwner(service string) (view.Peer, error) {
	route, found := n.view.Route(service)
	if !found {
		return view.Peer{}, verdict.New(verdict.NoPrimary, "service %q has no known primary", service).WithRetryAfter(ownershipRetryDelay)
	}
	db, found := n.database(service, string(route.Primary))
	if !found {
		return view.Peer{}, verdict.New(verdict.NoPrimary, "primary %q of service %q is not in the configuration", route.Primary, service).WithRetryAfter(ownershipRetryDelay)
	}
	owner, found := n.view.Owner(db)
	if !found {
		return view.Peer{}, verdict.New(verdict.CutOff, "no live instance owns upstream %q", db.Name).WithRetryAfter(ownershipRetryDelay)
	}
	return owner, nil
}

func (n *Node) database(service, name string) (*fleet.Database, bool) {
	s, found := n.view.Service(service)
	if !found {
		return nil, false
	}
	return s.Database(name)
}
