package upstream

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/papayarail/papayarail/wire/statement"
)

// Frontend message types of the protocol that an exchange may contain.
const (
	typeBind     = 'B'
	typeClose    = 'C'
	typeDescribe = 'D'
	typeExecute  = 'E'
	typeFlush    = 'H'
	typeParse    = 'P'
	typeQuery    = 'Q'
	typeSync     = 'S'

	objectStatement = 'S'
	headerBytes     = 5 // type byte and length
)

// expectedCompletion is the completion message that the upstream has to send for
// one message of the request.
type expectedCompletion struct {
	request byte // type of the frontend message
	// hidden marks messages added by this package, whose completions are not
	// passed on to the caller.
	hidden bool
	// name is the prepared statement that a Parse creates or a Close removes.
	name string
}

// plan is a validated request: the bytes to send and the expected completions.
type plan struct {
	request    []byte
	expected   []expectedCompletion
	simple     bool     // a simple query, without expected completions
	referenced []string // statements that the messages refer to; "" for messages without one
}

// rawMessage is one encoded frontend message including its header.
type rawMessage []byte

func (m rawMessage) kind() byte   { return m[0] }
func (m rawMessage) body() []byte { return m[headerBytes:] }

// split returns the single messages of a sequence without copying them.
func split(messages []byte) ([]rawMessage, error) {
	var all []rawMessage
	for len(messages) > 0 {
		if len(messages) < headerBytes {
			return nil, fmt.Errorf("truncated message header of %d bytes", len(messages))
		}
		size := 1 + int64(binary.BigEndian.Uint32(messages[1:]))
		if size < headerBytes || size > int64(len(messages)) {
			return nil, fmt.Errorf("message %q states a length of %d bytes, %d are left", messages[0], size, len(messages))
		}
		all = append(all, rawMessage(messages[:size:size]))
		messages = messages[size:]
	}
	return all, nil
}

// newPlan builds the request. It does not modify prepared, the statements on the
// connection: the reader does when completions arrive.
func newPlan(prepared *simplelru.LRU[string, struct{}], limit int, required []statement.Prepared, messages []byte) (*plan, error) {
	all, err := split(messages)
	if err != nil {
		return nil, err
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("exchange without messages")
	}
	if all[0].kind() == typeQuery {
		if len(all) > 1 {
			return nil, fmt.Errorf("simple query followed by %d messages", len(all)-1)
		}
		return &plan{request: messages, simple: true}, nil
	}
	if all[len(all)-1].kind() != typeSync {
		return nil, fmt.Errorf("exchange does not end with Sync")
	}
	b := &planBuilder{prepared: prepared, limit: limit, count: prepared.Len()}
	return b.build(required, all)
}

// planBuilder builds a plan and tracks how it changes the set of statements on
// the connection. It records changes instead of copying the set, because most
// exchanges change none.
type planBuilder struct {
	plan            plan
	prepared        *simplelru.LRU[string, struct{}]
	limit           int             // of statements on the connection
	count           int             // statements on the connection at this point of the plan
	presenceChanges map[string]bool // statements added (true) or closed (false) by the plan
}

func (b *planBuilder) present(name string) bool {
	if added, ok := b.presenceChanges[name]; ok {
		return added
	}
	return b.prepared.Contains(name)
}

// setPresent records that the plan adds or closes a statement.
func (b *planBuilder) setPresent(name string, present bool) {
	if name == "" || b.present(name) == present {
		return
	}
	if b.presenceChanges == nil {
		b.presenceChanges = make(map[string]bool)
	}
	b.presenceChanges[name] = present
	if present {
		b.count++
	} else {
		b.count--
	}
}

func (b *planBuilder) build(required []statement.Prepared, all []rawMessage) (*plan, error) {
	names := make([]string, len(all), len(all)+len(required))
	for i, m := range all {
		name, err := statementName(m)
		if err != nil {
			return nil, err
		}
		names[i] = name
	}
	b.plan.referenced = names
	for _, p := range required {
		b.plan.referenced = append(b.plan.referenced, p.Name)
	}
	for _, p := range required {
		if err := b.addMissingParse(p); err != nil {
			return nil, err
		}
	}
	for i, m := range all {
		if m.kind() == typeSync && i < len(all)-1 {
			return nil, fmt.Errorf("exchange contains more than one Sync")
		}
		if err := b.add(m, names[i]); err != nil {
			return nil, err
		}
	}
	return &b.plan, nil
}

// addMissingParse adds a Parse for a statement that is not on the connection.
func (b *planBuilder) addMissingParse(p statement.Prepared) error {
	if b.present(p.Name) {
		return nil
	}
	if err := b.evictLeastRecentlyUsed(); err != nil {
		return err
	}
	parse := &pgproto3.Parse{Name: p.Name, Query: p.SQL, ParameterOIDs: p.ParameterOIDs}
	if err := b.append(parse); err != nil {
		return err
	}
	b.expect(expectedCompletion{request: typeParse, hidden: true, name: p.Name})
	b.setPresent(p.Name, true)
	return nil
}

// add appends a message of the caller.
func (b *planBuilder) add(m rawMessage, name string) error {
	switch m.kind() {
	case typeParse:
		if err := b.prepareForParse(name); err != nil {
			return err
		}
		b.expect(expectedCompletion{request: typeParse, name: name})
	case typeClose:
		b.setPresent(name, false)
		b.expect(expectedCompletion{request: typeClose, name: name})
	case typeBind, typeDescribe, typeExecute, typeSync:
		b.expect(expectedCompletion{request: m.kind()})
	case typeFlush:
	default:
		return fmt.Errorf("message %q is not allowed in an exchange", m.kind())
	}
	b.plan.request = append(b.plan.request, m...)
	return nil
}

// prepareForParse makes room for the statement of a Parse. If the statement
// exists, it is closed and parsed again instead of answered locally, because a
// caller parses again after a schema change has invalidated the old plan.
func (b *planBuilder) prepareForParse(name string) error {
	if name == "" {
		return nil
	}
	if b.present(name) {
		return b.close(name)
	}
	if err := b.evictLeastRecentlyUsed(); err != nil {
		return err
	}
	b.setPresent(name, true)
	return nil
}

// evictLeastRecentlyUsed closes statements that this exchange does not refer to,
// the least recently used first, until the count is below the limit. An exchange
// that itself refers to more statements exceeds the limit.
func (b *planBuilder) evictLeastRecentlyUsed() error {
	if b.count < b.limit {
		return nil
	}
	for _, name := range b.prepared.Keys() { // least recently used first
		if !b.present(name) || slices.Contains(b.plan.referenced, name) {
			continue
		}
		b.setPresent(name, false)
		if err := b.close(name); err != nil {
			return err
		}
		if b.count < b.limit {
			return nil
		}
	}
	return nil
}

// close adds a Close of a statement, with a hidden completion.
func (b *planBuilder) close(name string) error {
	if err := b.append(&pgproto3.Close{ObjectType: objectStatement, Name: name}); err != nil {
		return err
	}
	b.expect(expectedCompletion{request: typeClose, hidden: true, name: name})
	return nil
}

func (b *planBuilder) append(m pgproto3.FrontendMessage) error {
	out, err := m.Encode(b.plan.request)
	if err != nil {
		return fmt.Errorf("encode %T: %w", m, err)
	}
	b.plan.request = out
	return nil
}

func (b *planBuilder) expect(e expectedCompletion) { b.plan.expected = append(b.plan.expected, e) }

// statementName returns the prepared statement that a message refers to, or "".
func statementName(m rawMessage) (string, error) {
	switch m.kind() {
	case typeParse:
		var p pgproto3.Parse
		err := p.Decode(m.body())
		return p.Name, err
	case typeBind:
		var b pgproto3.Bind
		err := b.Decode(m.body())
		return b.PreparedStatement, err
	case typeDescribe:
		var d pgproto3.Describe
		err := d.Decode(m.body())
		if d.ObjectType != objectStatement {
			return "", err
		}
		return d.Name, err
	case typeClose:
		var c pgproto3.Close
		err := c.Decode(m.body())
		if c.ObjectType != objectStatement {
			return "", err
		}
		return c.Name, err
	default:
		return "", nil
	}
}
