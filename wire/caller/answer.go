package caller

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/wire/classify"
)

const (
	severityError = "ERROR"
	severityFatal = "FATAL"
	textOID       = 25 // of the PostgreSQL type text
	headerBytes   = 5  // type byte and length
)

// errorResponse converts an error to the message for the caller. The detail
// states the verdict in machine-readable form, the hint in plain language.
func errorResponse(severity string, err error) *pgproto3.ErrorResponse {
	m := &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity}
	var r *refusal
	if errors.As(err, &r) {
		m.Code, m.Message = r.sqlState, r.message
		m.Detail = "verdict=not_run code=" + refusalCode(r.sqlState) + " retry_after_ms=0"
		m.Hint = "The request was not run."
		return m
	}
	v := verdict.FromError(err)
	m.Code, m.Message, m.Detail, m.Hint = v.SQLState(), v.Message, v.Detail(), v.Hint()
	return m
}

func refusalCode(state string) string {
	switch state {
	case sqlStateUnsupported:
		return verdict.Unsupported.String()
	case sqlStateProtocolViolation:
		return verdict.ProtocolViolation.String()
	default:
		return "refused"
	}
}

// answerSummary describes how far the exchange got, as the messages of its
// answer show.
type answerSummary struct {
	completions int  // number of ParseComplete and CloseComplete messages
	failed      bool // the answer contains an ErrorResponse
}

// summarizeAnswer reads the types of encoded backend messages. It returns an
// error if a message is truncated or is ReadyForQuery.
func summarizeAnswer(messages []byte) (answerSummary, error) {
	var summary answerSummary
	for len(messages) > 0 {
		if len(messages) < headerBytes {
			return summary, fmt.Errorf("answer ends inside a message header")
		}
		size := 1 + int64(binary.BigEndian.Uint32(messages[1:]))
		if size < headerBytes || size > int64(len(messages)) {
			return summary, fmt.Errorf("answer ends inside message %q", messages[0])
		}
		switch messages[0] {
		case '1', '3':
			summary.completions++
		case 'E':
			summary.failed = true
		case 'Z':
			return summary, fmt.Errorf("answer contains ReadyForQuery")
		}
		messages = messages[size:]
	}
	return summary, nil
}

// showRow returns the RowDescription of the one-column result of SHOW.
func showRow(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1},
	}}
}

// describeLocal returns the answer to a Describe of a locally answered statement.
func describeLocal(info classify.Info) pgproto3.BackendMessage {
	if info.Class == classify.Show {
		return showRow(info.Name)
	}
	return &pgproto3.NoData{}
}

// executeLocal runs a locally answered statement and returns its messages.
func (p *parameters) executeLocal(info classify.Info) ([]pgproto3.BackendMessage, error) {
	switch info.Class {
	case classify.Empty:
		return []pgproto3.BackendMessage{&pgproto3.EmptyQueryResponse{}}, nil
	case classify.Show:
		value, err := p.show(info.Name)
		if err != nil {
			return nil, err
		}
		return []pgproto3.BackendMessage{
			&pgproto3.DataRow{Values: [][]byte{[]byte(value)}},
			&pgproto3.CommandComplete{CommandTag: []byte("SHOW")},
		}, nil
	default:
		if err := p.apply(info); err != nil {
			return nil, err
		}
		tag := "SET"
		if info.Reset {
			tag = "RESET"
		}
		return []pgproto3.BackendMessage{&pgproto3.CommandComplete{CommandTag: []byte(tag)}}, nil
	}
}
