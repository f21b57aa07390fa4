package dbgroup

import (
	"context"
	"errors"
	"fmt"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/standin/dbgroup/engine"
)

// execute runs a statement. Outside of a BEGIN block, last commits.
func (s *session) execute(st *engine.Statement, params []engine.Value, last bool) (engine.Result, error) {
	ends := st.Kind == engine.Commit || st.Kind == engine.Rollback
	if s.failed && !ends {
		return engine.Result{}, failedTransaction()
	}
	if err := s.member.faults.AwaitUnfrozen(s.ctx); err != nil {
		return engine.Result{}, context.Cause(s.ctx)
	}
	return s.dispatch(st, params, last)
}

func (s *session) dispatch(st *engine.Statement, params []engine.Value, last bool) (engine.Result, error) {
	result := engine.Result{Tag: st.Tag()}
	switch st.Kind {
	case engine.Query:
		return s.query(st, params, last && !s.block)
	case engine.Call:
		return s.call(st, params)
	case engine.Begin:
		s.begin()
	case engine.Commit:
		return s.commit()
	case engine.Rollback:
		s.endBlock()
	case engine.Set:
		s.settings[st.Name] = st.SettingValue
	case engine.Show:
		result.Rows = []engine.Row{{engine.TextValue(s.settings[st.Name])}}
	case engine.Deallocate:
		s.deallocate(st.Name)
	case engine.Discard:
		clear(s.statements)
	}
	s.report(s.member.node.Position())
	return result, nil
}

// report records the position that ends the answer.
func (s *session) report(p position.Position) {
	s.position = p
	s.answered = true
}

func (s *session) begin() {
	s.block = true
	if s.tx == nil {
		s.tx = s.member.node.Begin()
	}
}

func (s *session) endBlock() {
	s.tx, s.block, s.failed = nil, false, false
}

func (s *session) commit() (engine.Result, error) {
	tx := s.tx
	failed := s.failed
	s.endBlock()
	if failed {
		s.report(s.member.node.Position())
		return engine.Result{Tag: "ROLLBACK"}, nil
	}
	p := s.member.node.Position()
	if tx != nil {
		var err error
		if p, err = s.member.node.Commit(tx); err != nil {
			return engine.Result{}, err
		}
	}
	s.report(p)
	return engine.Result{Tag: "COMMIT"}, nil
}

// endImplicit commits a transaction that was opened without BEGIN.
func (s *session) endImplicit() {
	if s.block || s.tx == nil {
		return
	}
	p, err := s.member.node.Commit(s.tx)
	if err != nil {
		s.fail(err)
		return
	}
	s.tx = nil
	s.report(p)
}

func (s *session) deallocate(name string) {
	if name == "" {
		clear(s.statements)
		return
	}
	delete(s.statements, name)
}

// query runs a statement on tables in a slot. It goes on when the client
// closes the connection, as PostgreSQL does.
func (s *session) query(st *engine.Statement, params []engine.Value, commit bool) (engine.Result, error) {
	ctx, done := s.running(s.ctx)
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
	result, p, err := s.member.node.Run(s.tx, st, params, commit)
	if err != nil {
		return result, err
	}
	if commit {
		s.tx = nil
	}
	s.report(p)
	return result, nil
}

// call runs a function. Control functions need no slot and end when the client
// closes the connection.
func (s *session) call(st *engine.Statement, params []engine.Value) (engine.Result, error) {
	args, err := st.Arguments(params)
	if err != nil {
		return engine.Result{}, err
	}
	parent := s.ctx
	if st.Function.Control {
		parent = s.gone
	}
	ctx, done := s.running(parent)
	defer done()
	if !st.Function.Control {
		if err := s.member.acquireSlot(ctx); err != nil {
			return engine.Result{}, err
		}
		defer s.member.releaseSlot()
	}
	rows, err := st.Function.Call(ctx, args)
	if cause := context.Cause(ctx); errors.Is(cause, errCanceled) {
		err = cause
	}
	if err != nil {
		return engine.Result{}, err
	}
	s.report(s.member.node.Position())
	return engine.Result{Tag: fmt.Sprintf("SELECT %d", len(rows)), Rows: rows}, nil
}
