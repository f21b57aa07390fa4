package caller

import (
	"fmt"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/papayarail/papayarail/wire/classify"
	"github.com/papayarail/papayarail/wire/statement"
)

const (
	objectStatement = 'S'
	// unusedStatementName is a prepared statement name that exists on no
	// upstream. A Close of a caller is sent with this name, because other
	// callers may share the real statement.
	unusedStatementName = "papayarail_closed"
	// maxStatements limits the prepared statements of one session.
	maxStatements = 4096
	// localMessageBytes is what a locally answered message counts towards the
	// size limit of the exchange.
	localMessageBytes = 64
)

// sessionStatement is a prepared statement of a session.
type sessionStatement struct {
	prepared statement.Prepared
	info     classify.Info
}

// portal is a bound statement. A local portal is executed without a database.
type portal struct {
	statement sessionStatement
	local     bool
}

// answeredLocally reports whether the proxy answers the statement itself.
func answeredLocally(info classify.Info) bool {
	return info.Class == classify.Empty || isProxyParameter(info)
}

// isProxyParameter reports whether the SQL is a single SET, RESET or SHOW of a
// papayarail parameter.
func isProxyParameter(info classify.Info) bool {
	if info.Class != classify.Set && info.Class != classify.Show {
		return false
	}
	return len(info.Name) > len(classify.ParameterPrefix) && info.Name[:len(classify.ParameterPrefix)] == classify.ParameterPrefix
}

// checkSupported returns an error if a statement is not supported, and whether a
// transaction is open after the statement.
func checkSupported(info classify.Info, inTransaction bool) (bool, error) {
	if info.MultiStatement() {
		return checkPartsSupported(info.Parts, inTransaction)
	}
	switch info.Class {
	case classify.Begin, classify.BeginReadOnly:
		return true, nil
	case classify.Commit, classify.Rollback:
		return false, nil
	case classify.SessionState:
		if info.TransactionScoped && inTransaction {
			return true, nil
		}
		return inTransaction, sessionStateRefusal(info)
	}
	return inTransaction, nil
}

func checkPartsSupported(parts []classify.Info, inTransaction bool) (bool, error) {
	for _, part := range parts {
		if isProxyParameter(part) {
			return inTransaction, newRefusal(sqlStateUnsupported, "parameter \""+part.Name+"\" in a string of several statements is not supported")
		}
		var err error
		if inTransaction, err = checkSupported(part, inTransaction); err != nil {
			return inTransaction, err
		}
	}
	return inTransaction, nil
}

func sessionStateRefusal(info classify.Info) error {
	if info.TransactionScoped {
		return newRefusal(sqlStateUnsupported, info.Command+" outside a transaction is not supported: connections are shared between sessions")
	}
	return newRefusal(sqlStateUnsupported, info.Command+" is not supported: connections are shared between sessions and controlled by papayarail")
}

type localMessageKind uint8

const (
	localParse localMessageKind = iota
	localBind
	localDescribeStatement
	localDescribePortal
	localExecute
	localClose
)

// localMessage is a frontend message that is answered locally.
type localMessage struct {
	kind       localMessageKind
	info       classify.Info
	nameChange *nameChange // nil if the message changes no statement name
}

// nameChange is a Parse or Close that changes the statement names of a session
// once its completion message arrives.
type nameChange struct {
	name            string
	statement       sessionStatement
	closesStatement bool
	// closesPortal marks a Close of a portal, which changes no statement name
	// but has a completion message as well.
	closesPortal bool
}

// pipeline assembles the messages of one exchange. It does not modify the
// statements and portals of the session but records changes, which the session
// applies as far as the exchange completed. Locally answered messages must
// precede those for the database, so that answers keep the order of requests.
type pipeline struct {
	statements    map[string]sessionStatement
	portals       map[string]portal
	inTransaction bool
	limit         int // of the exchange, in bytes

	localMessages    []localMessage
	localSQLBytes    int // SQL text of local Parse messages
	exchange         Exchange
	nameChanges      []nameChange                 // in the order of the messages for the database
	statementChanges map[string]*sessionStatement // by the caller's name; nil: closed
	portalChanges    map[string]*portal           // by the caller's name; nil: closed
	parsedNames      map[string]bool              // upstream names that the exchange parses
	requiredNames    map[string]bool              // upstream names in exchange.RequiredStatements
	unnamedParsed    bool                         // the exchange parses the unnamed statement
	executes         bool                         // the exchange contains a Bind, Execute or Describe of a portal
}

func newPipeline(statements map[string]sessionStatement, portals map[string]portal, inTransaction bool, limit int) *pipeline {
	return &pipeline{statements: statements, portals: portals, inTransaction: inTransaction, limit: limit}
}

// setLazily sets a map entry and allocates the map on first use: most exchanges
// use few of the maps of a pipeline.
func setLazily[V any](m *map[string]V, name string, value V) {
	if *m == nil {
		*m = make(map[string]V)
	}
	(*m)[name] = value
}

func (p *pipeline) empty() bool               { return len(p.localMessages) == 0 && !p.hasUpstreamMessages() }
func (p *pipeline) hasUpstreamMessages() bool { return len(p.exchange.Messages) > 0 }

// add appends one message. An error refuses the whole exchange.
func (p *pipeline) add(m pgproto3.FrontendMessage) error {
	var err error
	switch m := m.(type) {
	case *pgproto3.Parse:
		err = p.parse(m)
	case *pgproto3.Bind:
		err = p.bind(m)
	case *pgproto3.Describe:
		err = p.describe(m)
	case *pgproto3.Execute:
		err = p.execute(m)
	case *pgproto3.Close:
		err = p.close(m)
	default:
		err = newRefusal(sqlStateProtocolViolation, fmt.Sprintf("message %T is not allowed in an extended query", m))
	}
	if err != nil {
		return err
	}
	if len(p.exchange.Messages)+p.localSQLBytes+len(p.localMessages)*localMessageBytes > p.limit {
		return newRefusal(sqlStateTooLarge, fmt.Sprintf("messages before Sync exceed %d bytes", p.limit))
	}
	return nil
}

func (p *pipeline) lookup(name string) (sessionStatement, bool) {
	if changed, ok := p.statementChanges[name]; ok {
		if changed == nil {
			return sessionStatement{}, false
		}
		return *changed, true
	}
	stored, ok := p.statements[name]
	return stored, ok
}

func (p *pipeline) statement(name string) (sessionStatement, error) {
	stmt, ok := p.lookup(name)
	if !ok {
		return stmt, newRefusal(sqlStateUndefinedStatement, "prepared statement \""+name+"\" does not exist")
	}
	return stmt, nil
}

func (p *pipeline) portal(name string) (portal, bool) {
	if changed, ok := p.portalChanges[name]; ok {
		if changed == nil {
			return portal{}, false
		}
		return *changed, true
	}
	stored, ok := p.portals[name]
	return stored, ok
}

// answersLocally reports whether a message that refers to a statement is answered
// without a database. It returns an error if a local answer would come out of order.
func (p *pipeline) answersLocally(info classify.Info) (bool, error) {
	switch {
	case !answeredLocally(info):
		return false, nil
	case !p.hasUpstreamMessages():
		return true, nil
	case info.Class == classify.Empty:
		return false, nil // the database answers an empty statement as well
	default:
		return false, newRefusal(sqlStateUnsupported, "parameter \""+info.Name+"\" after other statements of a pipeline is not supported")
	}
}

func (p *pipeline) addLocal(kind localMessageKind, info classify.Info, change *nameChange) {
	p.localMessages = append(p.localMessages, localMessage{kind: kind, info: info, nameChange: change})
}

func (p *pipeline) send(m pgproto3.FrontendMessage) error {
	out, err := m.Encode(p.exchange.Messages)
	if err != nil {
		return newRefusal(sqlStateProtocolViolation, err.Error())
	}
	p.exchange.Messages = out
	return nil
}

func (p *pipeline) parse(m *pgproto3.Parse) error {
	if _, exists := p.lookup(m.Name); exists && m.Name != "" {
		return newRefusal(sqlStateDuplicateStatement, "prepared statement \""+m.Name+"\" already exists")
	}
	if err := p.checkStatements(); err != nil {
		return err
	}
	info, _ := classify.Classify(m.Query) // the database reports a syntax error
	if info.Class == classify.SessionState && !info.TransactionScoped {
		return sessionStateRefusal(info)
	}
	stmt := sessionStatement{prepared: statement.New(m.Query, slices.Clone(m.ParameterOIDs)), info: info}
	localAnswer, err := p.answersLocally(info)
	if err != nil {
		return err
	}
	setLazily(&p.statementChanges, m.Name, &stmt)
	if localAnswer {
		p.localSQLBytes += len(m.Query)
		p.addLocal(localParse, info, &nameChange{name: m.Name, statement: stmt})
		return nil
	}
	name := ""
	if m.Name != "" {
		name = stmt.prepared.Name
		setLazily(&p.parsedNames, name, true)
	} else {
		p.unnamedParsed = true
	}
	p.nameChanges = append(p.nameChanges, nameChange{name: m.Name, statement: stmt})
	return p.send(&pgproto3.Parse{Name: name, Query: m.Query, ParameterOIDs: m.ParameterOIDs})
}

// checkStatements enforces the limits on the number and the SQL size of the
// prepared statements of a session. The size of statements of the pipeline
// itself is limited by the size limit of the exchange.
func (p *pipeline) checkStatements() error {
	if len(p.statements)+len(p.statementChanges) >= maxStatements {
		return newRefusal(sqlStateTooLarge, fmt.Sprintf("session has more than %d prepared statements", maxStatements))
	}
	sqlBytes := 0
	for _, stmt := range p.statements {
		sqlBytes += len(stmt.prepared.SQL)
	}
	if sqlBytes > p.limit {
		return newRefusal(sqlStateTooLarge, fmt.Sprintf("prepared statements of the session exceed %d bytes", p.limit))
	}
	return nil
}

// requireStatement returns the upstream name of a statement and adds it to the
// required statements unless the exchange parses it.
func (p *pipeline) requireStatement(name string, stmt sessionStatement) string {
	if name == "" && p.unnamedParsed {
		return ""
	}
	upstream := stmt.prepared.Name
	if !p.parsedNames[upstream] && !p.requiredNames[upstream] {
		setLazily(&p.requiredNames, upstream, true)
		p.exchange.RequiredStatements = append(p.exchange.RequiredStatements, stmt.prepared)
	}
	return upstream
}

func (p *pipeline) bind(m *pgproto3.Bind) error {
	stmt, err := p.statement(m.PreparedStatement)
	if err != nil {
		return err
	}
	localAnswer, err := p.answersLocally(stmt.info)
	if err != nil {
		return err
	}
	setLazily(&p.portalChanges, m.DestinationPortal, &portal{statement: stmt, local: localAnswer})
	if localAnswer {
		p.addLocal(localBind, stmt.info, nil)
		return nil
	}
	p.executes = true
	bound := *m
	bound.PreparedStatement = p.requireStatement(m.PreparedStatement, stmt)
	return p.send(&bound)
}

func (p *pipeline) describe(m *pgproto3.Describe) error {
	if m.ObjectType != objectStatement {
		return p.describePortal(m)
	}
	stmt, err := p.statement(m.Name)
	if err != nil {
		return err
	}
	localAnswer, err := p.answersLocally(stmt.info)
	if err != nil {
		return err
	}
	if localAnswer {
		p.addLocal(localDescribeStatement, stmt.info, nil)
		return nil
	}
	return p.send(&pgproto3.Describe{ObjectType: objectStatement, Name: p.requireStatement(m.Name, stmt)})
}

func (p *pipeline) describePortal(m *pgproto3.Describe) error {
	target, _ := p.portal(m.Name)
	if !target.local {
		p.executes = true
		return p.send(m)
	}
	return p.addLocalPortal(localDescribePortal, target)
}

// addLocalPortal adds a local message for a portal that was bound locally.
func (p *pipeline) addLocalPortal(kind localMessageKind, target portal) error {
	if p.hasUpstreamMessages() {
		return newRefusal(sqlStateUnsupported, "portal without a database after other statements of a pipeline is not supported")
	}
	p.addLocal(kind, target.statement.info, nil)
	return nil
}

func (p *pipeline) execute(m *pgproto3.Execute) error {
	target, known := p.portal(m.Portal)
	if target.local {
		return p.addLocalPortal(localExecute, target)
	}
	info := classify.Info{Class: classify.Unknown, StatementCount: 1}
	if known {
		info = target.statement.info
	}
	var err error
	if p.inTransaction, err = checkSupported(info, p.inTransaction); err != nil {
		return err
	}
	p.executes = true
	p.exchange.Statements = append(p.exchange.Statements, info)
	if p.exchange.SQL == "" {
		p.exchange.SQL = target.statement.prepared.SQL
	}
	return p.send(m)
}

func (p *pipeline) close(m *pgproto3.Close) error {
	if m.ObjectType != objectStatement {
		return p.closePortal(m)
	}
	setLazily(&p.statementChanges, m.Name, nil)
	if !p.hasUpstreamMessages() {
		p.addLocal(localClose, classify.Info{}, &nameChange{name: m.Name, closesStatement: true})
		return nil
	}
	name := unusedStatementName
	if m.Name == "" && p.unnamedParsed {
		p.unnamedParsed = false
		name = ""
	}
	p.nameChanges = append(p.nameChanges, nameChange{name: m.Name, closesStatement: true})
	return p.send(&pgproto3.Close{ObjectType: objectStatement, Name: name})
}

func (p *pipeline) closePortal(m *pgproto3.Close) error {
	target, _ := p.portal(m.Name)
	setLazily(&p.portalChanges, m.Name, nil)
	if target.local && !p.hasUpstreamMessages() {
		p.addLocal(localClose, target.statement.info, nil)
		return nil
	}
	p.nameChanges = append(p.nameChanges, nameChange{closesPortal: true})
	return p.send(m)
}

// query assembles the exchange of a simple query.
func (p *pipeline) query(m *pgproto3.Query, info classify.Info) error {
	var err error
	if p.inTransaction, err = checkSupported(info, p.inTransaction); err != nil {
		return err
	}
	p.exchange.Statements = []classify.Info{info}
	p.exchange.SQL = m.String
	return p.send(m)
}
