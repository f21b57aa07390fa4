package dbgroup

import (
	"context"
	"errors"
	"fmt"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/standin/dbgroup/engine"
)

// execute runs a statement. last is set for the last statement of a simple query and
// the last Execute before Sync; outside of a BEGIN block, a statement on tables then
// commits the implicit transaction.
func (s *session) execute(statement *engine.Statement, params []engine.Value, last bool) (engine.Result, error) {
	endsTransaction := statement.Kind == engine.Commit || statement.Kind == engine.Rollback
	if s.failed && !endsTransaction {
		return engine.Result{}, failedTransactionError()
	}
	if err := s.member.faults.AwaitUnfrozen(s.ctx); err != nil {
		return engine.Result{}, context.Cause(s.ctx)
	}
	return s.dispatch(statement, params, last)
}

func (s *session) dispatch(statement *engine.Statement, params []engine.Value, last bool) (engine.Result, error) {
	result := engine.Result{Tag: statement.Tag()}
	switch statement.Kind {
	case engine.Query:
		return s.query(statement, params, last && !s.inBlock)
	case engine.Call:
		return s.call(statement, params)
	case engine.Begin:
		s.begin()
	case engine.Commit:
		return s.commit()
	case engine.Rollback:
		s.endBlock()
	case engine.Set:
		s.settings[statement.Name] = statement.SettingValue
	case engine.Show:
		result.Rows = []engine.Row{{engine.TextValue(s.settings[statement.Name])}}
	case engine.Deallocate:
		s.deallocate(statement.Name)
	case engine.Discard:
		clear(s.statements)
	}
	s.recordPosition(s.member.node.Position())
	return result, nil
}

// recordPosition sets the position that is reported at the end of the response.
func (s *session) recordPosition(p position.Position) {
	s.position = p
	s.positionPending = true
}

func (s *session) begin() {
	s.inBlock = true
	if s.tx == nil {
		s.tx = s.member.node.Begin()
	}
}

// endBlock leaves the BEGIN block and discards its transaction.
func (s *session) endBlock() {
	s.tx, s.inBlock, s.failed = nil, false, false
}

// commit ends the BEGIN block. A failed block is rolled back, as in PostgreSQL.
func (s *session) commit() (engine.Result, error) {
	tx := s.tx
	failed := s.failed
	s.endBlock()
	if failed {
		s.recordPosition(s.member.node.Position())
		return engine.Result{Tag: "ROLLBACK"}, nil
	}
	p := s.member.node.Position()
	if tx != nil {
		var err error
		if p, err = s.member.node.Commit(tx); err != nil {
			return engine.Result{}, err
		}
	}
	s.recordPosition(p)
	return engine.Result{Tag: "COMMIT"}, nil
}

// commitImplicit commits a transaction that was opened without BEGIN.
func (s *session) commitImplicit() {
	if s.inBlock || s.tx == nil {
		return
	}
	p, err := s.member.node.Commit(s.tx)
	if err != nil {
		s.fail(err)
		return
	}
	s.tx = nil
	s.recordPosition(p)
}

// deallocate removes a prepared statement, or all of them if name is empty.
func (s *session) deallocate(name string) {
	if name == "" {
		clear(s.statements)
		return
	}
	delete(s.statements, name)
}

// query runs a statement on tables in an execution slot. As in PostgreSQL, the
// statement continues when the client closes the connection.
func (s *session) query(statement *engine.Statement, params []engine.Value, commit bool) (engine.Result, error) {
	ctx, done := s.statementContext(s.ctx)
	defer done()
	if err := s.member.acquireSlot(ctx); err != nil {
		return engine.Result{}, err
	}
	defer s.member.releaseSlot()
	if err := sleep(ctx, s.member.faults.StatementDelay()); err != nil {
		return engine.Result{}, err
	}
	if s.member.faults.AwaitUnfrozen(ctx) != nil {
		return engine.Result{}, context.Cause(ctx)
	}
	if s.tx == nil {
		s.tx = s.member.node.Begin()
	}
	result, p, err := s.member.node.Run(s.tx, statement, params, commit)
	if err != nil {
		return result, err
	}
	if commit {
		s.tx = nil
	}
	s.recordPosition(p)
	return result, nil
}

// call runs a function. Control functions (see engine.Function) take no execution slot
// and are canceled when the client closes the connection.
func (s *session) call(statement *engine.Statement, params []engine.Value) (engine.Result, error) {
	args, err := statement.Arguments(params)
	if err != nil {
		return engine.Result{}, err
	}
	parent := s.ctx
	if statement.Function.Control {
		parent = s.clientCtx
	}
	ctx, done := s.statementContext(parent)
	defer done()
	if !statement.Function.Control {
		if err := s.member.acquireSlot(ctx); err != nil {
			return engine.Result{}, err
		}
		defer s.member.releaseSlot()
	}
	rows, err := statement.Function.Call(ctx, args)
	if cause := context.Cause(ctx); errors.Is(cause, errCanceled) {
		err = cause
	}
	if err != nil {
		return engine.Result{}, err
	}
	s.recordPosition(s.member.node.Position())
	return engine.Result{Tag: fmt.Sprintf("SELECT %d", len(rows)), Rows: rows}, nil
}
