// Package classify determines from its syntax tree whether SQL reads, writes,
// controls a transaction or leaves state in the session. Routing, retries and
// the sharing of upstream connections depend on this class. In doubt it is Write
// or SessionState: a statement is Read only if all its parts are known to have
// no side effect.
package classify

import (
	"strings"

	lru "github.com/hashicorp/golang-lru/v2"
	pgquery "github.com/pganalyze/pg_query_go/v6"
	"github.com/zeebo/errs"
)

// ErrorClass groups the errors of this package.
var ErrorClass = errs.Class("classify")

// Class is the effect of a statement or SQL string.
type Class uint8

// The classes of statements.
const (
	// Unknown is SQL that does not parse; the primary decides whether it is valid.
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
	// Commit ends a transaction and makes its changes permanent.
	Commit
	// Rollback ends a transaction and discards its changes.
	Rollback
	// Savepoint is SAVEPOINT, RELEASE or ROLLBACK TO.
	Savepoint
	// SetLocal changes a parameter or constraint mode until the transaction ends.
	SetLocal
	// Set is SET or RESET of a papayarail parameter.
	Set
	// Show is SHOW of any parameter.
	Show
	// SessionState depends on or leaves state in the session that outlives the
	// statement, and so cannot run on shared connections.
	SessionState
)

var classNames = [...]string{"unknown", "empty", "read", "write", "begin", "begin_read_only", "commit", "rollback",
	"savepoint", "set_local", "set", "show", "session_state"}

// String returns the name of the class as used in logs.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "invalid"
}

// ParameterPrefix is the prefix of the session parameters of the proxy.
const ParameterPrefix = "papayarail."

// Info describes a SQL string. It is cached and shared, so it must not be modified.
type Info struct {
	Class Class
	// Name (in lower case) and Value are the parameter and value of a SET, RESET
	// or SHOW.
	Name  string
	Value string
	// Reset is set for RESET x, SET x TO DEFAULT and RESET ALL (Name "all").
	Reset bool
	// StatementCount is the number of statements in the string.
	StatementCount int
	// Command names the command or function that makes the class SessionState.
	Command string
	// TransactionScoped is set if the state of a SessionState statement ends
	// with the transaction, so that the statement may run inside one.
	TransactionScoped bool
	// Parts holds the statements of a multi-statement string, in order.
	Parts []Info
}

// MultiStatement reports whether the string holds more than one statement.
func (i Info) MultiStatement() bool { return i.StatementCount > 1 }

const (
	// cacheEntries and maxCachedBytes (of one SQL string) limit the cache to
	// about 8 MB of SQL.
	cacheEntries   = 2048
	maxCachedBytes = 4 << 10
)

type cachedResult struct {
	info Info
	err  error
}

var cache = newCache()

func newCache() *lru.Cache[string, cachedResult] {
	c, err := lru.New[string, cachedResult](cacheEntries)
	if err != nil {
		panic(err) // only if the size is less than 1
	}
	return c
}

// Classify describes a SQL string. The class of a multi-statement string is
// SessionState if one statement is, Read if all are Read or SHOW, else Write. An
// error means that the string does not parse; the class is then Unknown.
func Classify(sql string) (Info, error) {
	if len(sql) > maxCachedBytes {
		return parse(sql)
	}
	if r, ok := cache.Get(sql); ok {
		return r.info, r.err
	}
	info, err := parse(sql)
	cache.Add(strings.Clone(sql), cachedResult{info, err})
	return info, err
}

func parse(sql string) (Info, error) {
	// The parser is written in C and ignores everything after a NUL byte.
	if strings.IndexByte(sql, 0) >= 0 {
		return Info{}, ErrorClass.New("SQL contains a NUL byte")
	}
	tree, err := pgquery.Parse(sql)
	if err != nil {
		return Info{}, ErrorClass.Wrap(err)
	}
	parts := make([]Info, 0, len(tree.Stmts))
	for _, raw := range tree.Stmts {
		parts = append(parts, classifyStatement(raw.Stmt))
	}
	return combine(parts), nil
}

// combine describes a SQL string by its statements. Of several with SessionState,
// one whose state outlives the transaction takes precedence.
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
