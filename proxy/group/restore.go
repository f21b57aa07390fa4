package group

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/proxy/boottime"
)

const (
	// restoreSettleTime is the time after the first answer of a restored store during
	// which nobody claims a group or confirms its record. A claim that the restore took
	// back was stored before that answer, and its holder may still send a promotion.
	restoreSettleTime = promotionSendWindow + promoteTimeout + promotionTime
	// confirmationTimeout bounds the quorum round that confirms a record.
	confirmationTimeout = time.Second
	// confirmationPatience is the time after restoreSettleTime for which the members may
	// fail to confirm the primary before the group is claimed. The holder of the claim
	// replaces the primary, or finds that it serves, without the member that does not
	// answer.
	confirmationPatience = 2 * time.Second
)

// ObserveEra handles the store's time of an answer in an era, seen by any instance: the
// store was restored before it. It is called before UpdateRecord with a record of the era.
func (g *Group) ObserveEra(era uint64, seenAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case era > g.era:
		g.era, g.eraSeenAt = era, seenAt
	case era == g.era:
		g.eraSeenAt = min(g.eraSeenAt, seenAt)
	}
}

// eraSettled reports whether no claim of an earlier era can have an effect any more. g.mu
// is held.
func (g *Group) eraSettled() bool {
	return g.tracker.Record().Version.Era() == g.era && g.storeTime() >= g.eraSeenAt+restoreSettleTime
}

// claimOfEarlierEra reports whether the claim of a record was stored before the store was
// restored. Its holder has lost it, and after restoreSettleTime it has no effect. g.mu is
// held.
func (g *Group) claimOfEarlierEra(r primacy.Record) bool {
	return r.Claim != nil && !r.Confirmed() && r.Claim.RenewedAt < g.eraSeenAt
}

// recordOutdated reports whether the record of the group is no evidence of the primary.
func (g *Group) recordOutdated() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.RecordOutdated()
}

// confirmOnce returns the result of a quorum round that begins after the call, at the
// primary's gateway if it has one.
func (g *Group) confirmOnce(ctx context.Context, primary primacy.Primary) (Confirmation, error) {
	// If no gateway is available, the round runs here: instances confirm the record in turn,
	// so that their commands do not exceed the connections of the members.
	if gw, err := g.primaryGateway(primary); err == nil && gw != nil {
		return gw.Confirm(g.cfg.Service)
	}
	ctx, cancel := context.WithTimeout(ctx, confirmationTimeout)
	defer cancel()
	return g.Confirm(ctx)
}

// confirmRecord writes a record of the primary in the present era of the store, if a
// quorum of the members confirms the primary. If it does not for too long, ok is true and
// the group is to be claimed for the returned reason.
func (g *Group) confirmRecord(ctx context.Context, primary primacy.Primary) (reason failoverReason, ok bool) {
	reason = failoverReason{text: "record_unconfirmed", visibleToAll: true}
	g.mu.Lock()
	record, blocked := g.tracker.Record(), g.failoverBlockedLocked() != ""
	overdue := g.storeTime()-g.eraSeenAt > restoreSettleTime+confirmationPatience
	g.mu.Unlock()
	if blocked {
		return reason, false
	}
	boottime.Sleep(ctx, g.claimDelay(reason))
	if !g.recordOutdated() {
		return reason, false
	}
	round, err := g.confirmOnce(ctx, primary)
	if err != nil || !round.Confirmed || round.Primary != primary {
		return reason, overdue
	}
	record = record.WithPrimary(primary)
	record.Service, record.Members = g.cfg.Service, g.namesOfConfirmed(record)
	sentAt := g.cfg.Clock()
	version, storeNow, err := g.putRecord(ctx, record)
	if err != nil {
		g.cfg.Log.WithFields(logrus.Fields{"event": "confirmation_failed", "error": err.Error()}).Info("record of the group was not confirmed")
		return reason, false
	}
	record.Version = version
	g.UpdateRecord(record, g.timestamp(storeNow, sentAt))
	g.cfg.Log.WithFields(logrus.Fields{"event": "record_confirmed", "member": primary.Member, "term": primary.Term, "era": version.Era()}).Info("members confirmed the primary; record written again")
	return reason, false
}
