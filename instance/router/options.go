package router

import (
	"strconv"
	"time"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/fleet"
)

// Names of the session parameters that a caller may set. The value of ParamPosition is
// a position token, that of ParamRequestKey the idempotency key of the next write or
// commit, and that of ParamCaller the caller's name for fair queuing.
const (
	ParamRank         = "papayarail.rank"
	ParamDeadline     = "papayarail.deadline_ms"
	ParamConsistency  = "papayarail.consistency"
	ParamPosition     = "papayarail.position"
	ParamMaxStaleness = "papayarail.max_staleness"
	ParamRequestKey   = "papayarail.request_key"
	ParamCaller       = "papayarail.caller"
)

const (
	consistencyStrict  = "strict"
	consistencySession = "session"
	// timeoutPerTarget is the timeout of a request that states no deadline, as a
	// multiple of the latency target of its rank.
	timeoutPerTarget = 10
	defaultTarget    = time.Second // of a rank that has none in the configuration
)

// options are the parsed parameters of one exchange.
type options struct {
	rank               schedule.Rank
	target             time.Duration     // latency target of the rank
	timeout            time.Duration     // time until the deadline
	sessionConsistency bool              // session consistency instead of strict
	minPosition        position.Position // from the caller's token; the later of it and the session's position applies
	maxStaleness       time.Duration     // staleness bound of reads; if 0, sessionConsistency applies
	requestKey         string
	caller             string
}

// parseOptions parses the session parameters. Those that are not set have the
// defaults of the service. The error is InvalidParameter for a bad value.
func parseOptions(params map[string]string, doc *fleet.Document, service *fleet.Service) (options, error) {
	opts := options{requestKey: params[ParamRequestKey], caller: params[ParamCaller]}
	p := &paramParser{params: params}
	opts.rank = p.rank(string(service.DefaultRank))
	opts.sessionConsistency = p.consistency()
	opts.minPosition = p.token(service.Name)
	limit := time.Duration(service.MaxStalenessMS) * time.Millisecond
	opts.maxStaleness = min(p.duration(ParamMaxStaleness), limit)
	opts.timeout = p.milliseconds(ParamDeadline)
	opts.target = targetOf(doc, opts.rank)
	if opts.timeout == 0 {
		opts.timeout = timeoutPerTarget * opts.target
	}
	return opts, p.err
}

func targetOf(doc *fleet.Document, r schedule.Rank) time.Duration {
	t := time.Duration(doc.Ranks[fleet.Rank(r.String())].TargetMS) * time.Millisecond
	if t == 0 {
		return defaultTarget
	}
	return t
}

type paramParser struct {
	params map[string]string
	err    error
}

func (p *paramParser) fail(name, want string) {
	if p.err == nil {
		p.err = verdict.New(verdict.InvalidParameter, "%s = %q: want %s", name, p.params[name], want)
	}
}

func (p *paramParser) rank(fallback string) schedule.Rank {
	text := p.params[ParamRank]
	if text == "" {
		text = fallback
	}
	r, err := schedule.ParseRank(text)
	if err != nil {
		p.fail(ParamRank, "urgent, middle or least")
	}
	return r
}

func (p *paramParser) consistency() bool {
	switch p.params[ParamConsistency] {
	case "", consistencyStrict:
		return false
	case consistencySession:
		return true
	default:
		p.fail(ParamConsistency, "strict or session")
		return false
	}
}

// token returns the position in the position token, or the zero position if none is set.
func (p *paramParser) token(service string) position.Position {
	text := p.params[ParamPosition]
	if text == "" {
		return position.Position{}
	}
	t, err := position.ParseToken(text)
	if err != nil || t.Service != service {
		p.fail(ParamPosition, "a token of service "+service)
	}
	return t.Position
}

func (p *paramParser) duration(name string) time.Duration {
	text := p.params[name]
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		p.fail(name, "a duration such as 5s")
	}
	return d
}

func (p *paramParser) milliseconds(name string) time.Duration {
	text := p.params[name]
	if text == "" {
		return 0
	}
	n, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		p.fail(name, "a number of milliseconds")
	}
	return time.Duration(n) * time.Millisecond
}
