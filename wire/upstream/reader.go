package upstream

import (
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/papayarail/papayarail/core/position"
)

// reader consumes the answer to one plan.
type reader struct {
	conn    *Conn
	plan    *plan
	answer  Answer
	next    int  // index of the first completion still owed
	skip    bool // an error was reported: nothing is owed up to Sync
	written bool // a write has completed outside a finished transaction

	size int // bytes of the answer kept so far

	collect bool // keep rows and the first error instead of encoded messages
	rows    [][]string
	pgError *pgconn.PgError
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

// finish checks that nothing is owed any more and settles what was committed.
func (r *reader) finish(ready *pgproto3.ReadyForQuery) error {
	if !r.plan.simple && !r.skip {
		if _, err := r.complete(typeSync); err != nil {
			return err
		}
	}
	switch ready.TxStatus {
	case 'I', 'T', 'E':
	default:
		return fmt.Errorf("unknown transaction status %q", ready.TxStatus)
	}
	r.answer.TxStatus = ready.TxStatus
	if r.written && ready.TxStatus == 'I' && r.answer.SQLState == "" {
		r.answer.Committed = true
	}
	return nil
}

func (r *reader) handle(m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.ParseComplete:
		return r.settle(typeParse, m)
	case *pgproto3.BindComplete:
		return r.settle(typeBind, m)
	case *pgproto3.CloseComplete:
		return r.settle(typeClose, m)
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return r.settle(typeDescribe, m)
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return r.settle(typeExecute, m)
	case *pgproto3.CommandComplete:
		r.command(string(m.CommandTag))
		return r.settle(typeExecute, m)
	case *pgproto3.ParameterDescription:
		return r.within(typeDescribe, m)
	case *pgproto3.DataRow:
		return r.row(m)
	case *pgproto3.ErrorResponse:
		return r.failed(m)
	case *pgproto3.ParameterStatus:
		return r.parameter(m)
	case *pgproto3.NoticeResponse:
		return r.pass(m)
	case *pgproto3.NotificationResponse:
		return nil // LISTEN is refused, so no caller waits for it
	default:
		return fmt.Errorf("unexpected message %T from upstream", m)
	}
}

// settle takes the next owed completion, which must belong to request.
func (r *reader) settle(request byte, m pgproto3.BackendMessage) error {
	if r.plan.simple {
		if request == typeParse || request == typeBind || request == typeClose {
			return fmt.Errorf("unexpected message %T in the answer to a simple query", m)
		}
		return r.pass(m)
	}
	done, err := r.complete(request)
	if err != nil {
		return fmt.Errorf("message %T: %w", m, err)
	}
	r.track(done)
	if done.swallow {
		return nil
	}
	return r.pass(m)
}

// within passes on a message that precedes the completion of request.
func (r *reader) within(request byte, m pgproto3.BackendMessage) error {
	if r.plan.simple || r.owed(request) {
		return r.pass(m)
	}
	return fmt.Errorf("message %T is out of order", m)
}

func (r *reader) owed(request byte) bool {
	return !r.skip && r.next < len(r.plan.queue) && r.plan.queue[r.next].request == request
}

func (r *reader) complete(request byte) (expected, error) {
	if !r.owed(request) {
		return expected{}, fmt.Errorf("completion of %q is out of order", request)
	}
	done := r.plan.queue[r.next]
	r.next++
	return done, nil
}

// track keeps the list of prepared statements in step with the server.
func (r *reader) track(done expected) {
	switch {
	case done.name == "":
	case done.request == typeParse:
		r.conn.known.Add(done.name, struct{}{})
	case done.request == typeClose:
		r.conn.known.Remove(done.name)
	}
}

func (r *reader) row(m *pgproto3.DataRow) error {
	if !r.collect {
		return r.within(typeExecute, m)
	}
	row := make([]string, len(m.Values))
	for i, v := range m.Values {
		row[i] = string(v)
	}
	r.rows = append(r.rows, row)
	return r.account(sizeOf(m))
}

func sizeOf(m *pgproto3.DataRow) int {
	n := headerBytes
	for _, v := range m.Values {
		n += 4 + len(v)
	}
	return n
}

// failed notes the first error. A fatal one ends the session: the server
// closes the connection without ReadyForQuery.
func (r *reader) failed(m *pgproto3.ErrorResponse) error {
	if m.Severity == "FATAL" || m.Severity == "PANIC" || m.SeverityUnlocalized == "FATAL" || m.SeverityUnlocalized == "PANIC" {
		return pgconn.ErrorResponseToPgError(m)
	}
	if r.answer.SQLState == "" {
		r.answer.SQLState = m.Code
		r.pgError = pgconn.ErrorResponseToPgError(m)
	}
	r.skip = true
	return r.pass(m)
}

// parameter takes group.position out of the answer.
func (r *reader) parameter(m *pgproto3.ParameterStatus) error {
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

// pass appends a message for the caller.
func (r *reader) pass(m pgproto3.BackendMessage) error {
	if r.collect {
		return nil
	}
	out, err := m.Encode(r.answer.Messages)
	if err != nil {
		return fmt.Errorf("encode %T: %w", m, err)
	}
	added := len(out) - len(r.answer.Messages)
	r.answer.Messages = out
	return r.account(added)
}

func (r *reader) account(added int) error {
	r.size += added
	if r.size > r.conn.limit {
		return fmt.Errorf("%w: more than %d bytes", errAnswerTooLarge, r.conn.limit)
	}
	return nil
}

// command notes the effect of a command from its tag.
func (r *reader) command(tag string) {
	verb, _, _ := strings.Cut(tag, " ")
	switch verb {
	case "COMMIT":
		r.answer.Committed = true
		r.written = false
	case "ROLLBACK":
		r.written = false
	case "DISCARD", "DEALLOCATE":
		if strings.HasSuffix(tag, " ALL") {
			r.conn.known.Purge()
		}
	case "SELECT", "BEGIN", "START", "SET", "RESET", "SHOW", "SAVEPOINT", "RELEASE", "FETCH", "EXPLAIN", "VALUES":
	default:
		r.written = true
	}
}
