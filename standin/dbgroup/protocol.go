package dbgroup

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayarail/papayarail/standin/dbgroup/engine"
)

// portal is a statement with its parameters.
type portal struct {
	statement *engine.Statement // nil: empty query
	params    []engine.Value
	formats   []int16
	executed  bool
	result    engine.Result // with the rows that have not been sent yet
}

// simple runs the statements of a Query message. Those outside of a BEGIN
// block form one transaction.
func (s *session) simple(sql string) {
	s.skip = false
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
	s.endImplicit()
}

func (s *session) simpleStatement(p engine.Parsed, last bool) error {
	st, err := s.prepare(p, nil)
	if err != nil {
		return err
	}
	if len(st.ParamTypes) > 0 {
		return engine.Errorf(engine.UndefinedParameter, "there is no parameter $1")
	}
	result, err := s.execute(st, nil, last)
	if err != nil {
		return err
	}
	if st.Columns != nil {
		s.backend.Send(rowDescription(st.Columns, nil))
	}
	s.sendRows(st.Columns, result.Rows, nil)
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(result.Tag)})
	return nil
}

// sync ends a pipeline.
func (s *session) sync() {
	if !s.skip {
		s.endImplicit()
	}
	s.skip = false
}

// extended handles a message of the extended protocol. rest are the messages
// after it in the batch.
func (s *session) extended(msg pgproto3.FrontendMessage, rest []pgproto3.FrontendMessage) {
	if s.skip {
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
		s.skip = true
	}
}

// isLastExecute reports whether the pipeline ends without another Execute, so
// that the statement can be committed together with its execution.
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
	if msg.Name != "" && s.has(msg.Name) {
		return engine.Errorf(engine.DuplicateStatement, "prepared statement %q already exists", msg.Name)
	}
	parsed, err := engine.Parse(msg.Query)
	if err != nil {
		return err
	}
	var st *engine.Statement
	switch len(parsed) {
	case 0:
	case 1:
		if st, err = s.prepare(parsed[0], msg.ParameterOIDs); err != nil {
			return err
		}
	default:
		return engine.Errorf(engine.SyntaxError, "cannot insert multiple commands into a prepared statement")
	}
	s.statements[msg.Name] = st
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) has(statement string) bool {
	_, ok := s.statements[statement]
	return ok
}

func (s *session) prepare(p engine.Parsed, oids []uint32) (*engine.Statement, error) {
	if s.failed && !p.EndsTransaction() {
		return nil, failedTransaction()
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

func failedTransaction() error {
	return engine.Errorf(engine.InFailedSQLTransaction, "current transaction is aborted, commands ignored until end of transaction block")
}

func (s *session) bind(msg *pgproto3.Bind) error {
	if !s.has(msg.PreparedStatement) {
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

// format returns the format of field i: no code means text, and a single code
// holds for all fields.
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
	if !s.has(msg.Name) {
		return engine.Errorf(engine.InvalidSQLStatementName, "prepared statement %q does not exist", msg.Name)
	}
	st := s.statements[msg.Name]
	parameters := &pgproto3.ParameterDescription{}
	if st != nil {
		parameters.ParameterOIDs = st.ParamTypes
	}
	s.backend.Send(parameters)
	s.describeRows(st, nil)
	return nil
}

func (s *session) describeRows(st *engine.Statement, formats []int16) {
	if st == nil || st.Columns == nil {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	s.backend.Send(rowDescription(st.Columns, formats))
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
