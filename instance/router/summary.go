package router

import (
	"github.com/papayarail/papayarail/core/route"
	"github.com/papayarail/papayarail/wire/classify"
)

// statementSummary sums up the statements of one exchange.
type statementSummary struct {
	class   route.Class
	begins  bool
	commits bool
	ends    bool // commit or rollback
	reads   bool
}

func summarize(statements []classify.Info) statementSummary {
	s := statementSummary{class: route.Read}
	for _, statement := range statements {
		s.add(statement)
	}
	return s
}

func (s *statementSummary) add(statement classify.Info) {
	if statement.MultiStatement() {
		for _, part := range statement.Parts {
			s.add(part)
		}
		return
	}
	switch statement.Class {
	case classify.Read, classify.Show, classify.Empty:
		s.reads = true
	case classify.Begin:
		s.begins = true
		s.class = route.Transaction
	case classify.BeginReadOnly:
		s.begins = true
	case classify.Commit:
		s.commits, s.ends = true, true
	case classify.Rollback:
		s.ends = true
	case classify.Savepoint, classify.SetLocal:
	default:
		if s.class == route.Read {
			s.class = route.Write
		}
	}
}

// repeatable reports whether the exchange may be executed twice.
func (s statementSummary) repeatable() bool { return s.class == route.Read && !s.begins && !s.ends }

// keyed reports whether the request key applies to this exchange: it is a write
// outside a transaction, or the commit of a transaction.
func (s statementSummary) keyed() bool {
	return s.commits || (s.class == route.Write && !s.begins)
}
