package router

import (
	"github.com/papayarail/papayarail/core/route"
	"github.com/papayarail/papayarail/wire/classify"
)

// work summarises the statements of one exchange.
type work struct {
	class   route.Class
	begins  bool
	commits bool
	ends    bool // commit or rollback
	reads   bool
}

func workOf(infos []classify.Info) work {
	w := work{class: route.Read}
	for _, info := range infos {
		w.add(info)
	}
	return w
}

func (w *work) add(info classify.Info) {
	if info.MultiStatement() {
		for _, part := range info.Parts {
			w.add(part)
		}
		return
	}
	switch info.Class {
	case classify.Read, classify.Show, classify.Empty:
		w.reads = true
	case classify.Begin:
		w.begins = true
		w.class = route.Transaction
	case classify.BeginReadOnly:
		w.begins = true
	case classify.Commit:
		w.commits, w.ends = true, true
	case classify.Rollback:
		w.ends = true
	case classify.Savepoint, classify.SetLocal:
	default:
		if w.class == route.Read {
			w.class = route.Write
		}
	}
}

// repeatable reports whether running the exchange twice does no harm.
func (w work) repeatable() bool { return w.class == route.Read && !w.begins && !w.ends }

// keyed reports whether the request key belongs to this exchange: to a write on
// its own, or to the commit of a transaction.
func (w work) keyed() bool {
	return w.commits || (w.class == route.Write && !w.begins)
}
