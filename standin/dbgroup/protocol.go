package dbgroup

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayarail/papayarail/standin/dbgroup/engine"
)

// portal is a statement bound to parameter values, as in the extended query
// protocol.
type portal struct {
	statement *engine.Statement // nil: empty query
	params    []engine.Value
	formats   []int16 // result format codes: 0 text, 1 binary
	executed  bool
	result    engine.Result // Rows holds only the rows that have not been sent yet
}

// simpleQuery runs the statements of a Query message. Statements outside of a
// BEGIN block form one implicit transaction.
func (s *session) simpleQuery(sql string) {
	s.skipToSync = false
	parsed, err := engine.Parse(sql)
	if err != nil {
		s.fail(err)
		return
	}
	if len(parsed) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, p := range parsed {
		if err := s.simpleStatement(p, i == len(parsed)-1); err != nil {
			s.fail(err)
			return
		}
	}
	s.commitImplicit()
}

func (s *session) simpleStatement(p engine.Parsed, last bool) error {
	statement, err := s.prepare(p, nil)
	if err != nil {
		return err
	}
	if len(statement.ParamTypes) > 0 {
		return engine.Errorf(engine.UndefinedParameter, "there is no parameter $1")
	}
	result, err := s.execute(statement, nil, last)
	if err != nil {
		return err
	}
	if statement.Columns != nil {
		s.backend.Send(rowDescription(statement.Columns, nil))
	}
	s.sendRows(statement.Columns, result.Rows, nil)
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(result.Tag)})
	return nil
}

// endPipeline handles Sync: it commits the implicit transaction and resumes
// message processing after an error.
func (s *session) endPipeline() {
	if !s.skipToSync {
		s.commitImplicit()
	}
	s.skipToSync = false
}

// extendedMessage handles a message of the extended query protocol. rest holds
// the messages that follow it in the batch.
func (s *session) extendedMessage(msg pgproto3.FrontendMessage, rest []pgproto3.FrontendMessage) {
	if s.skipToSync {
		return
	}
	var err error
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		err = s.parse(msg)
	case *pgproto3.Bind:
		err = s.bind(msg)
	case *pgproto3.Describe:
		err = s.describe(msg)
	case *pgproto3.Execute:
		err = s.executePortal(msg, isLastExecute(rest))
	case *pgproto3.Close:
		s.close(msg)
	default:
		err = engine.Errorf(engine.FeatureNotSupported, "message %T is not supported", msg)
	}
	if err != nil {
		s.fail(err)
		s.skipToSync = true
	}
}

// isLastExecute reports whether rest reaches Sync without another Execute, so
// that the statement can be executed and committed under one lock.
func isLastExecute(rest []pgproto3.FrontendMessage) bool {
	for _, msg := range rest {
		switch msg.(type) {
		case *pgproto3.Execute:
			return false
		case *pgproto3.Sync:
			return true
		}
	}
	return false
}

func (s *session) parse(msg *pgproto3.Parse) error {
	if msg.Name != "" && s.hasStatement(msg.Name) {
		return engine.Errorf(engine.DuplicateStatement, "prepared statement %q already exists", msg.Name)
	}
	parsed, err := engine.Parse(msg.Query)
	if err != nil {
		return err
	}
	var statement *engine.Statement
	switch len(parsed) {
	case 0:
	case 1:
		if statement, err = s.prepare(parsed[0], msg.ParameterOIDs); err != nil {
			return err
		}
	default:
		return engine.Errorf(engine.SyntaxError, "cannot insert multiple commands into a prepared statement")
	}
	s.statements[msg.Name] = statement
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) hasStatement(statement string) bool {
	_, ok := s.statements[statement]
	return ok
}

func (s *session) prepare(p engine.Parsed, oids []uint32) (*engine.Statement, error) {
	if s.failed && !p.EndsTransaction() {
		return nil, failedTransactionError()
	}
	params := make([]uint32, len(oids))
	for i, oid := range oids {
		supported, err := engine.SupportedType(oid)
		if err != nil {
			return nil, err
		}
		params[i] = supported
	}
	tx := s.tx
	if tx == nil {
		tx = s.member.node.Begin()
	}
	return s.member.node.Prepare(tx, p, params, s.functions)
}

func failedTransactionError() error {
	return engine.Errorf(engine.InFailedSQLTransaction, "current transaction is aborted, commands ignored until end of transaction block")
}

func (s *session) bind(msg *pgproto3.Bind) error {
	if !s.hasStatement(msg.PreparedStatement) {
		return engine.Errorf(engine.InvalidSQLStatementName, "prepared statement %q does not exist", msg.PreparedStatement)
	}
	p := &portal{statement: s.statements[msg.PreparedStatement], formats: msg.ResultFormatCodes}
	if p.statement != nil {
		params, err := decodeParams(p.statement.ParamTypes, msg)
		if err != nil {
			return err
		}
		p.params = params
	}
	s.portals[msg.DestinationPortal] = p
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func decodeParams(oids []uint32, msg *pgproto3.Bind) ([]engine.Value, error) {
	if len(msg.Parameters) != len(oids) {
		return nil, engine.Errorf(engine.ProtocolViolation, "bind message supplies %d parameters, but the prepared statement requires %d", len(msg.Parameters), len(oids))
	}
	out := make([]engine.Value, len(oids))
	for i, b := range msg.Parameters {
		v, err := engine.Decode(b, oids[i], format(msg.ParameterFormatCodes, i))
		if err != nil {
			return nil, err
		}
		out[i] = v
	}
	return out, nil
}

// format returns the format code of field i. No code means text (0) for all
// fields, and a single code applies to all fields.
func format(codes []int16, i int) int16 {
	switch {
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	}
	return 0
}

func (s *session) portal(name string) (*portal, error) {
	p := s.portals[name]
	if p == nil {
		return nil, engine.Errorf(engine.InvalidCursorName, "portal %q does not exist", name)
	}
	return p, nil
}

func (s *session) describe(msg *pgproto3.Describe) error {
	if msg.ObjectType == 'P' {
		p, err := s.portal(msg.Name)
		if err != nil {
			return err
		}
		s.describeRows(p.statement, p.formats)
		return nil
	}
	if !s.hasStatement(msg.Name) {
		return engine.Errorf(engine.InvalidSQLStatementName, "prepared statement %q does not exist", msg.Name)
	}
	statement := s.statements[msg.Name]
	description := &pgproto3.ParameterDescription{}
	if statement != nil {
		description.ParameterOIDs = statement.ParamTypes
	}
	s.backend.Send(description)
	s.describeRows(statement, nil)
	return nil
}

// describeRows sends RowDescription, or NoData for a statement without a result
// set.
func (s *session) describeRows(statement *engine.Statement, formats []int16) {
	if statement == nil || statement.Columns == nil {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	s.backend.Send(rowDescription(statement.Columns, formats))
}

func rowDescription(columns []engine.Column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(c.Name), DataTypeOID: c.Type, DataTypeSize: typeSize(c.Type),
			TypeModifier: -1, Format: format(formats, i),
		})
	}
	return d
}

// typeSize returns the size of a type in bytes, or -1 for variable length.
func typeSize(oid uint32) int16 {
	switch oid {
	case engine.OIDBool:
		return 1
	case engine.OIDInt2:
		return 2
	case engine.OIDInt4, engine.OIDVoid:
		return 4
	case engine.OIDInt8, engine.OIDFloat8:
		return 8
	}
	return -1
}

// executePortal runs a portal on its first Execute and sends up to MaxRows rows.
func (s *session) executePortal(msg *pgproto3.Execute, last bool) error {
	p, err := s.portal(msg.Portal)
	if err != nil {
		return err
	}
	if p.statement == nil {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if !p.executed {
		if p.result, err = s.execute(p.statement, p.params, last); err != nil {
			return err
		}
		p.executed = true
	}
	rows := p.result.Rows
	if limit := int(msg.MaxRows); limit > 0 && len(rows) > limit {
		s.sendRows(p.statement.Columns, rows[:limit], p.formats)
		p.result.Rows = rows[limit:]
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	p.result.Rows = nil
	s.sendRows(p.statement.Columns, rows, p.formats)
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(p.result.Tag)})
	return nil
}

func (s *session) sendRows(columns []engine.Column, rows []engine.Row, formats []int16) {
	for _, row := range rows {
		values := make([][]byte, len(row))
		for i, v := range row {
			values[i] = engine.Encode(v, columns[i].Type, format(formats, i))
		}
		s.backend.Send(&pgproto3.DataRow{Values: values})
	}
}

func (s *session) close(msg *pgproto3.Close) {
	if msg.ObjectType == 'P' {
		delete(s.portals, msg.Name)
	} else {
		delete(s.statements, msg.Name)
	}
	s.backend.Send(&pgproto3.CloseComplete{})
}
