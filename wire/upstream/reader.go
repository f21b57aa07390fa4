package upstream

import (
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/papayarail/papayarail/core/position"
)

// reader reads the answer to one plan and checks it against the expected completions.
type reader struct {
	conn             *Conn
	plan             *plan
	answer           Answer
	next             int  // index of the next expected completion
	skipToSync       bool // after an ErrorResponse: no completions up to Sync
	uncommittedWrite bool // a write completed and no COMMIT or ROLLBACK followed

	answerBytes int // size of the answer so far

	collectRows bool // store rows and the first error instead of encoded messages
	rows        [][]string
	pgError     *pgconn.PgError
}

// run reads up to and including ReadyForQuery.
func (r *reader) run() error {
	for {
		m, err := r.conn.frontend.Receive()
		if err != nil {
			return err
		}
		if ready, ok := m.(*pgproto3.ReadyForQuery); ok {
			return r.finish(ready)
		}
		if err := r.handle(m); err != nil {
			return err
		}
	}
}

// finish checks that no completion is missing and sets TxStatus and Committed.
func (r *reader) finish(ready *pgproto3.ReadyForQuery) error {
	if !r.plan.simple && !r.skipToSync {
		if _, err := r.nextCompletion(typeSync); err != nil {
			return err
		}
	}
	switch ready.TxStatus {
	case 'I', 'T', 'E':
	default:
		return fmt.Errorf("unknown transaction status %q", ready.TxStatus)
	}
	r.answer.TxStatus = ready.TxStatus
	if r.uncommittedWrite && ready.TxStatus == 'I' && r.answer.SQLState == "" {
		r.answer.Committed = true
	}
	return nil
}

func (r *reader) handle(m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.ParseComplete:
		return r.handleCompletion(typeParse, m)
	case *pgproto3.BindComplete:
		return r.handleCompletion(typeBind, m)
	case *pgproto3.CloseComplete:
		return r.handleCompletion(typeClose, m)
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return r.handleCompletion(typeDescribe, m)
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return r.handleCompletion(typeExecute, m)
	case *pgproto3.CommandComplete:
		r.handleCommandTag(string(m.CommandTag))
		return r.handleCompletion(typeExecute, m)
	case *pgproto3.ParameterDescription:
		return r.passBeforeCompletion(typeDescribe, m)
	case *pgproto3.DataRow:
		return r.handleRow(m)
	case *pgproto3.ErrorResponse:
		return r.handleError(m)
	case *pgproto3.ParameterStatus:
		return r.handleParameter(m)
	case *pgproto3.NoticeResponse:
		return r.pass(m)
	case *pgproto3.NotificationResponse:
		return nil // LISTEN is refused, so no caller expects notifications
	default:
		return fmt.Errorf("unexpected message %T from upstream", m)
	}
}

// handleCompletion processes m, which must be the next expected completion and
// belong to a message of type request.
func (r *reader) handleCompletion(request byte, m pgproto3.BackendMessage) error {
	if r.plan.simple {
		if request == typeParse || request == typeBind || request == typeClose {
			return fmt.Errorf("unexpected message %T in the answer to a simple query", m)
		}
		return r.pass(m)
	}
	done, err := r.nextCompletion(request)
	if err != nil {
		return fmt.Errorf("message %T: %w", m, err)
	}
	r.trackPreparedStatement(done)
	if done.hidden {
		return nil
	}
	return r.pass(m)
}

// passBeforeCompletion passes on a message that precedes the completion of a
// message of type request.
func (r *reader) passBeforeCompletion(request byte, m pgproto3.BackendMessage) error {
	if r.plan.simple || r.expects(request) {
		return r.pass(m)
	}
	return fmt.Errorf("message %T is out of order", m)
}

// expects reports whether the next completion belongs to a message of type request.
func (r *reader) expects(request byte) bool {
	return !r.skipToSync && r.next < len(r.plan.expected) && r.plan.expected[r.next].request == request
}

func (r *reader) nextCompletion(request byte) (expectedCompletion, error) {
	if !r.expects(request) {
		return expectedCompletion{}, fmt.Errorf("completion of %q is out of order", request)
	}
	done := r.plan.expected[r.next]
	r.next++
	return done, nil
}

// trackPreparedStatement updates the prepared statements of the connection.
func (r *reader) trackPreparedStatement(done expectedCompletion) {
	switch {
	case done.name == "":
	case done.request == typeParse:
		r.conn.preparedStatements.Add(done.name, struct{}{})
	case done.request == typeClose:
		r.conn.preparedStatements.Remove(done.name)
	}
}

func (r *reader) handleRow(m *pgproto3.DataRow) error {
	if !r.collectRows {
		return r.passBeforeCompletion(typeExecute, m)
	}
	row := make([]string, len(m.Values))
	for i, v := range m.Values {
		row[i] = string(v)
	}
	r.rows = append(r.rows, row)
	return r.addAnswerBytes(sizeOf(m))
}

func sizeOf(m *pgproto3.DataRow) int {
	n := headerBytes
	for _, v := range m.Values {
		n += 4 + len(v)
	}
	return n
}

// handleError records the first error. It returns a fatal one, after which the
// server closes the connection without ReadyForQuery.
func (r *reader) handleError(m *pgproto3.ErrorResponse) error {
	if m.Severity == "FATAL" || m.Severity == "PANIC" || m.SeverityUnlocalized == "FATAL" || m.SeverityUnlocalized == "PANIC" {
		return pgconn.ErrorResponseToPgError(m)
	}
	if r.answer.SQLState == "" {
		r.answer.SQLState = m.Code
		r.pgError = pgconn.ErrorResponseToPgError(m)
	}
	r.skipToSync = true
	return r.pass(m)
}

// handleParameter removes group.position from the answer and records its value.
func (r *reader) handleParameter(m *pgproto3.ParameterStatus) error {
	if m.Name != positionParameter {
		return r.pass(m)
	}
	p, err := position.Parse(m.Value)
	if err != nil {
		return fmt.Errorf("parameter %s: %w", positionParameter, err)
	}
	r.answer.Position = p
	return nil
}

var errAnswerTooLarge = errors.New("answer is too large")

// pass appends a message to the answer for the caller.
func (r *reader) pass(m pgproto3.BackendMessage) error {
	if r.collectRows {
		return nil
	}
	out, err := m.Encode(r.answer.Messages)
	if err != nil {
		return fmt.Errorf("encode %T: %w", m, err)
	}
	added := len(out) - len(r.answer.Messages)
	r.answer.Messages = out
	return r.addAnswerBytes(added)
}

// addAnswerBytes returns an error if the answer exceeds maxAnswerBytes.
func (r *reader) addAnswerBytes(added int) error {
	r.answerBytes += added
	if r.answerBytes > r.conn.maxAnswerBytes {
		return fmt.Errorf("%w: more than %d bytes", errAnswerTooLarge, r.conn.maxAnswerBytes)
	}
	return nil
}

// handleCommandTag records the effect of a command on the transaction and on the
// prepared statements.
func (r *reader) handleCommandTag(tag string) {
	verb, _, _ := strings.Cut(tag, " ")
	switch verb {
	case "COMMIT":
		r.answer.Committed = true
		r.uncommittedWrite = false
	case "ROLLBACK":
		r.uncommittedWrite = false
	case "DISCARD", "DEALLOCATE":
		if strings.HasSuffix(tag, " ALL") {
			r.conn.preparedStatements.Purge()
		}
	case "SELECT", "BEGIN", "START", "SET", "RESET", "SHOW", "SAVEPOINT", "RELEASE", "FETCH", "EXPLAIN", "VALUES":
	default:
		r.uncommittedWrite = true
	}
}
