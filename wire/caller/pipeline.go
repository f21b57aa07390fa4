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
	// closedName is a prepared statement that exists on no upstream. A Close
	// of a caller is sent for this name, because other callers may share the
	// real statement.
	closedName = "papayarail_closed"
	// maxStatements limits the prepared statements of one session.
	maxStatements = 4096
	// stepBytes is the cost of a locally answered message against the limit
	// of the exchange.
	stepBytes = 64
)

// entry is a prepared statement of a session.
type entry struct {
	prepared statement.Prepared
	info     classify.Info
}

// portal is a bound statement. A local one is answered without a database.
type portal struct {
	entry entry
	local bool
}

// local reports whether papayarail answers the statement itself.
func local(i classify.Info) bool {
	return i.Class == classify.Empty || ownParameter(i)
}

// ownParameter reports a single SET, RESET or SHOW of a papayarail parameter.
func ownParameter(i classify.Info) bool {
	if i.Class != classify.Set && i.Class != classify.Show {
		return false
	}
	return len(i.Name) > len(classify.ParameterPrefix) && i.Name[:len(classify.ParameterPrefix)] == classify.ParameterPrefix
}

// admit checks that a statement may run and returns whether a transaction is
// open after it.
func admit(i classify.Info, inTransaction bool) (bool, error) {
	if i.MultiStatement() {
		return admitParts(i.Parts, inTransaction)
	}
	switch i.Class {
	case classify.Begin, classify.BeginReadOnly:
		return true, nil
	case classify.Commit, classify.Rollback:
		return false, nil
	case classify.SessionState:
		if i.TransactionScoped && inTransaction {
			return true, nil
		}
		return inTransaction, refuseState(i)
	}
	return inTransaction, nil
}

func admitParts(parts []classify.Info, inTransaction bool) (bool, error) {
	for _, part := range parts {
		if ownParameter(part) {
			return inTransaction, refuse(stateUnsupported, "parameter \""+part.Name+"\" in a string of several statements is not supported")
		}
		var err error
		if inTransaction, err = admit(part, inTransaction); err != nil {
			return inTransaction, err
		}
	}
	return inTransaction, nil
}

func refuseState(i classify.Info) error {
	if i.TransactionScoped {
		return refuse(stateUnsupported, i.Command+" outside a transaction is not supported: connections are shared between sessions")
	}
	return refuse(stateUnsupported, i.Command+" is not supported: connections are shared between sessions and controlled by papayarail")
}

type stepKind uint8

const (
	stepParse stepKind = iota
	stepBind
	stepDescribeStatement
	stepDescribePortal
	stepExecute
	stepClose
)

// step is a message that is answered locally.
type step struct {
	kind stepKind
	info classify.Info
	op   *op // change of a statement name, or nil
}

// op is a change of a statement name that takes effect with its completion.
type op struct {
	name  string
	entry entry
	close bool
	// portal marks the completion of closing a portal, which changes no statement.
	portal bool
}

// pipeline assembles the messages of one exchange. It reads the names of the
// session and keeps its own changes, which the session applies as far as the
// exchange got. Local answers can only come before messages for the database,
// so that the whole answer keeps the order of the requests.
type pipeline struct {
	statements map[string]entry
	portals    map[string]portal
	inTx       bool
	limit      int

	steps      []step
	localBytes int // of SQL in local Parse messages
	exchange   Exchange
	ops        []op              // in the order of the messages for the database
	overlay    map[string]*entry // nil: closed
	newPortals map[string]*portal
	parsed     map[string]bool // upstream names that the messages parse
	needed     map[string]bool
	unnamed    bool // the unnamed statement is parsed by the messages
	executes   bool // contains Bind or Execute
}

func newPipeline(statements map[string]entry, portals map[string]portal, inTx bool, limit int) *pipeline {
	return &pipeline{statements: statements, portals: portals, inTx: inTx, limit: limit}
}

// put writes to a map that is made when it is first needed: most exchanges
// use few of the maps of a pipeline.
func put[V any](m *map[string]V, name string, value V) {
	if *m == nil {
		*m = make(map[string]V)
	}
	(*m)[name] = value
}

func (p *pipeline) empty() bool { return len(p.steps) == 0 && !p.sent() }
func (p *pipeline) sent() bool  { return len(p.exchange.Messages) > 0 }

// add takes one message. An error refuses the whole exchange.
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
		err = refuse(stateProtocolViolation, fmt.Sprintf("message %T is not allowed in an extended query", m))
	}
	if err != nil {
		return err
	}
	if len(p.exchange.Messages)+p.localBytes+len(p.steps)*stepBytes > p.limit {
		return refuse(stateTooLarge, fmt.Sprintf("messages before Sync exceed %d bytes", p.limit))
	}
	return nil
}

func (p *pipeline) lookup(name string) (entry, bool) {
	if e, ok := p.overlay[name]; ok {
		if e == nil {
			return entry{}, false
		}
		return *e, true
	}
	e, ok := p.statements[name]
	return e, ok
}

func (p *pipeline) statement(name string) (entry, error) {
	e, ok := p.lookup(name)
	if !ok {
		return e, refuse(stateUndefinedStatement, "prepared statement \""+name+"\" does not exist")
	}
	return e, nil
}

func (p *pipeline) portal(name string) (portal, bool) {
	if o, ok := p.newPortals[name]; ok {
		if o == nil {
			return portal{}, false
		}
		return *o, true
	}
	o, ok := p.portals[name]
	return o, ok
}

// answersLocally decides where a message about a statement is answered.
func (p *pipeline) answersLocally(i classify.Info) (bool, error) {
	switch {
	case !local(i):
		return false, nil
	case !p.sent():
		return true, nil
	case i.Class == classify.Empty:
		return false, nil // the database answers an empty statement as well
	default:
		return false, refuse(stateUnsupported, "parameter \""+i.Name+"\" after other statements of a pipeline is not supported")
	}
}

func (p *pipeline) step(kind stepKind, info classify.Info, o *op) {
	p.steps = append(p.steps, step{kind: kind, info: info, op: o})
}

func (p *pipeline) send(m pgproto3.FrontendMessage) error {
	out, err := m.Encode(p.exchange.Messages)
	if err != nil {
		return refuse(stateProtocolViolation, err.Error())
	}
	p.exchange.Messages = out
	return nil
}

func (p *pipeline) parse(m *pgproto3.Parse) error {
	if _, exists := p.lookup(m.Name); exists && m.Name != "" {
		return refuse(stateDuplicateStatement, "prepared statement \""+m.Name+"\" already exists")
	}
	if err := p.checkStatements(); err != nil {
		return err
	}
	info, _ := classify.Classify(m.Query) // the database reports a syntax error
	if info.Class == classify.SessionState && !info.TransactionScoped {
		return refuseState(info)
	}
	e := entry{prepared: statement.New(m.Query, slices.Clone(m.ParameterOIDs)), info: info}
	here, err := p.answersLocally(info)
	if err != nil {
		return err
	}
	put(&p.overlay, m.Name, &e)
	if here {
		p.localBytes += len(m.Query)
		p.step(stepParse, info, &op{name: m.Name, entry: e})
		return nil
	}
	name := ""
	if m.Name != "" {
		name = e.prepared.Name
		put(&p.parsed, name, true)
	} else {
		p.unnamed = true
	}
	p.ops = append(p.ops, op{name: m.Name, entry: e})
	return p.send(&pgproto3.Parse{Name: name, Query: m.Query, ParameterOIDs: m.ParameterOIDs})
}

// checkStatements limits what the prepared statements of a session may hold.
// Statements of the pipeline itself are covered by the limit of the exchange.
func (p *pipeline) checkStatements() error {
	if len(p.statements)+len(p.overlay) >= maxStatements {
		return refuse(stateTooLarge, fmt.Sprintf("session has more than %d prepared statements", maxStatements))
	}
	held := 0
	for _, e := range p.statements {
		held += len(e.prepared.SQL)
	}
	if held > p.limit {
		return refuse(stateTooLarge, fmt.Sprintf("prepared statements of the session exceed %d bytes", p.limit))
	}
	return nil
}

// reference returns the upstream name of a statement and makes sure that the
// statement will be there.
func (p *pipeline) reference(name string, e entry) string {
	if name == "" && p.unnamed {
		return ""
	}
	upstream := e.prepared.Name
	if !p.parsed[upstream] && !p.needed[upstream] {
		put(&p.needed, upstream, true)
		p.exchange.RequiredStatements = append(p.exchange.RequiredStatements, e.prepared)
	}
	return upstream
}

func (p *pipeline) bind(m *pgproto3.Bind) error {
	e, err := p.statement(m.PreparedStatement)
	if err != nil {
		return err
	}
	here, err := p.answersLocally(e.info)
	if err != nil {
		return err
	}
	put(&p.newPortals, m.DestinationPortal, &portal{entry: e, local: here})
	if here {
		p.step(stepBind, e.info, nil)
		return nil
	}
	p.executes = true
	bound := *m
	bound.PreparedStatement = p.reference(m.PreparedStatement, e)
	return p.send(&bound)
}

func (p *pipeline) describe(m *pgproto3.Describe) error {
	if m.ObjectType != objectStatement {
		return p.describePortal(m)
	}
	e, err := p.statement(m.Name)
	if err != nil {
		return err
	}
	here, err := p.answersLocally(e.info)
	if err != nil {
		return err
	}
	if here {
		p.step(stepDescribeStatement, e.info, nil)
		return nil
	}
	return p.send(&pgproto3.Describe{ObjectType: objectStatement, Name: p.reference(m.Name, e)})
}

func (p *pipeline) describePortal(m *pgproto3.Describe) error {
	o, _ := p.portal(m.Name)
	if !o.local {
		p.executes = true
		return p.send(m)
	}
	return p.localPortal(stepDescribePortal, o)
}

// localPortal adds a step for a portal that was bound locally.
func (p *pipeline) localPortal(kind stepKind, o portal) error {
	if p.sent() {
		return refuse(stateUnsupported, "portal without a database after other statements of a pipeline is not supported")
	}
	p.step(kind, o.entry.info, nil)
	return nil
}

func (p *pipeline) execute(m *pgproto3.Execute) error {
	o, known := p.portal(m.Portal)
	if o.local {
		return p.localPortal(stepExecute, o)
	}
	info := classify.Info{Class: classify.Unknown, StatementCount: 1}
	if known {
		info = o.entry.info
	}
	var err error
	if p.inTx, err = admit(info, p.inTx); err != nil {
		return err
	}
	p.executes = true
	p.exchange.Statements = append(p.exchange.Statements, info)
	if p.exchange.SQL == "" {
		p.exchange.SQL = o.entry.prepared.SQL
	}
	return p.send(m)
}

func (p *pipeline) close(m *pgproto3.Close) error {
	if m.ObjectType != objectStatement {
		return p.closePortal(m)
	}
	put(&p.overlay, m.Name, nil)
	if !p.sent() {
		p.step(stepClose, classify.Info{}, &op{name: m.Name, close: true})
		return nil
	}
	name := closedName
	if m.Name == "" && p.unnamed {
		p.unnamed = false
		name = ""
	}
	p.ops = append(p.ops, op{name: m.Name, close: true})
	return p.send(&pgproto3.Close{ObjectType: objectStatement, Name: name})
}

func (p *pipeline) closePortal(m *pgproto3.Close) error {
	o, _ := p.portal(m.Name)
	put(&p.newPortals, m.Name, nil)
	if o.local && !p.sent() {
		p.step(stepClose, o.entry.info, nil)
		return nil
	}
	p.ops = append(p.ops, op{portal: true})
	return p.send(m)
}

// query assembles a simple query.
func (p *pipeline) query(m *pgproto3.Query, info classify.Info) error {
	var err error
	if p.inTx, err = admit(info, p.inTx); err != nil {
		return err
	}
	p.exchange.Statements = []classify.Info{info}
	p.exchange.SQL = m.String
	return p.send(m)
}
