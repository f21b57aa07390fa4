package router

import (
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/wire/caller"
	"github.com/papayarail/papayarail/wire/completion"
)

// endLost answers within a transaction that was rolled back by papayarail: only
// its end is accepted, as in a failed PostgreSQL transaction.
func (s *session) endLost(x *caller.Exchange, w work) (*caller.Reply, error) {
	if !w.ends {
		return nil, verdict.New(verdict.TransactionRolledBack, "the transaction has been rolled back; end it with ROLLBACK")
	}
	rolledBack, err := completion.CommandComplete("ROLLBACK")
	if err != nil {
		return nil, verdict.New(verdict.Internal, "%v", err)
	}
	out, err := rolledBack.Replay(x.Messages)
	if err != nil {
		return nil, verdict.New(verdict.ProtocolViolation, "%v", err)
	}
	s.lost = false
	return &caller.Reply{Messages: out, TxStatus: statusIdle}, nil
}
