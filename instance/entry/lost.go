package entry

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/wire/caller"
)

const messageHeader = 5 // type byte and length of a frontend message

// endLost answers within a transaction that was rolled back by papayarail: only
// its end is accepted, as in a failed PostgreSQL transaction.
func (s *session) endLost(x *caller.Exchange, w work) (*caller.Reply, error) {
	if !w.ends {
		return nil, verdict.New(verdict.TransactionRolledBack, "the transaction has been rolled back; end it with ROLLBACK")
	}
	out, err := rollbackAnswer(x.Messages)
	if err != nil {
		return nil, verdict.New(verdict.Internal, "%v", err)
	}
	s.lost = false
	return &caller.Reply{Messages: out, TxStatus: statusIdle}, nil
}

// rollbackAnswer builds the answer to the messages that end a transaction.
func rollbackAnswer(messages []byte) (out []byte, err error) {
	for len(messages) >= messageHeader {
		kind := messages[0]
		size := 1 + int(binary.BigEndian.Uint32(messages[1:messageHeader]))
		if size > len(messages) {
			break
		}
		messages = messages[size:]
		answer := completions[kind]
		if answer == nil {
			continue
		}
		if out, err = answer.Encode(out); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// completions maps the type of a frontend message to its answer.
var completions = map[byte]pgproto3.BackendMessage{
	'Q': &pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")},
	'P': &pgproto3.ParseComplete{},
	'B': &pgproto3.BindComplete{},
	'D': &pgproto3.NoData{},
	'E': &pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")},
	'C': &pgproto3.CloseComplete{},
}
