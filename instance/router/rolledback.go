package router

import (
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/wire/caller"
	"github.com/papayarail/papayarail/wire/completion"
)

// answerRolledBack answers an exchange of a transaction that the proxy has rolled
// back. As in a failed PostgreSQL transaction, only its end is accepted.
func (s *session) answerRolledBack(exchange *caller.Exchange, summary statementSummary) (*caller.Reply, error) {
	if !summary.ends {
		return nil, verdict.New(verdict.TransactionRolledBack, "the transaction has been rolled back; end it with ROLLBACK")
	}
	rolledBack, err := completion.CommandComplete("ROLLBACK")
	if err != nil {
		return nil, verdict.New(verdict.Internal, "%v", err)
	}
	out, err := rolledBack.Replay(exchange.Messages)
	if err != nil {
		return nil, verdict.New(verdict.ProtocolViolation, "%v", err)
	}
	s.rolledBack = false
	return &caller.Reply{Messages: out, TxStatus: statusIdle}, nil
}
