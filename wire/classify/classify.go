// Package classify says what a SQL string does, as far as routing, retries and
// the sharing of upstream connections depend on it. It errs towards Write and
// SessionState: a statement counts as Read only if all its parts are known to
// have no side effect.
package classify

import (
	"strings"

	lru "github.com/hashicorp/golang-lru/v2"
	pgquery "github.com/pganalyze/pg_query_go/v6"
	"github.com/zeebo/errs"
)

// ErrorClass groups the errors of this package.
var ErrorClass = errs.Class("classify")

// Class is the kind of a statement.
type Class uint8

// The classes of statements.
const (
	// Unknown is SQL that does not parse; the primary has to judge it.
	Unknown Class = iota
	// Empty is SQL without a statement.
	Empty
	// Read has no side effect.
	Read
	// Write may change data.
	Write
	// Begin starts a transaction that may write.
	Begin
	// BeginReadOnly starts a transaction with READ ONLY.
	BeginReadOnly
	// Commit ends a transaction and keeps its changes.
	Commit
	// Rollback ends a transaction and drops its changes.
	Rollback
	// Savepoint is SAVEPOINT, RELEASE or ROLLBACK TO.
	Savepoint
	// SetLocal changes a parameter until the transaction ends.
	SetLocal
	// Set is SET or RESET of a papayarail parameter.
	Set
	// Show is SHOW.
	Show
	// SessionState leaves state in the session that outlives the statement and
	// so cannot run on shared connections.
	SessionState
)

var classNames = [...]string{"unknown", "empty", "read", "write", "begin", "begin_read_only", "commit", "rollback",
	"savepoint", "set_local", "set", "show", "session_state"}

// String returns the name of the class as it appears in logs.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "invalid"
}

// ParameterPrefix starts the names of papayarail's own session parameters.
const ParameterPrefix = "papayarail."

// Info describes a SQL string. It is shared between callers: do not change it.
type Info struct {
	Class Class
	// Name and Value are those of a SET, RESET or SHOW. The name is in lower case.
	Name  string
	Value string
	// Reset is set for RESET x, SET x TO DEFAULT and RESET ALL (Name "all").
	Reset bool
	// StatementCount is the number of statements in the string.
	StatementCount int
	// Command names the statement that makes the class SessionState.
	Command string
	// TransactionScoped says that the state of a SessionState statement ends
	// with the transaction, so that it may run inside one.
	TransactionScoped bool
	// Parts holds the statements of a multi-statement string, in order.
	Parts []Info
}

// MultiStatement reports whether the string holds more than one statement.
func (i Info) MultiStatement() bool { return i.StatementCount > 1 }

const (
	// cacheEntries and maxCachedBytes bound the cache to about 8 MB of SQL.
	cacheEntries   = 2048
	maxCachedBytes = 4 << 10
)

type result struct {
	info Info
	err  error
}

var cache = newCache()

func newCache() *lru.Cache[string, result] {
	c, err := lru.New[string, result](cacheEntries)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return c
}

// Classify describes a SQL string. The class of a multi-statement string is
// Read if all its statements are, SessionState or Unknown if one is, else
// Write. An error means that the string does not parse; the class is Unknown.
func Classify(sql string) (Info, error) {
	if len(sql) > maxCachedBytes {
		return parse(sql)
	}
	if r, ok := cache.Get(sql); ok {
		return r.info, r.err
	}
	info, err := parse(sql)
	cache.Add(strings.Clone(sql), result{info, err})
	return info, err
}

func parse(sql string) (Info, error) {
	// The parser is written in C and would ignore everything after a NUL byte.
	if strings.IndexByte(sql, 0) >= 0 {
		return Info{}, ErrorClass.New("SQL contains a NUL byte")
	}
	tree, err := pgquery.Parse(sql)
	if err != nil {
		return Info{}, ErrorClass.Wrap(err)
	}
	parts := make([]Info, 0, len(tree.Stmts))
	for _, raw := range tree.Stmts {
		parts = append(parts, statement(raw.Stmt))
	}
	return combine(parts), nil
}

func combine(parts []Info) Info {
	switch len(parts) {
	case 0:
		return Info{Class: Empty}
	case 1:
		return parts[0]
	}
	all := Info{Class: Read, StatementCount: len(parts), Parts: parts}
	for _, p := range parts {
		switch {
		case p.Class == Unknown, p.Class == SessionState && all.Class != Unknown:
			all.Class, all.Command, all.TransactionScoped = p.Class, p.Command, p.TransactionScoped
			if p.Class == SessionState && !p.TransactionScoped {
				return all
			}
		case p.Class != Read && p.Class != Show && all.Class == Read:
			all.Class = Write
		}
	}
	return all
}
