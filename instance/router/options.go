package router

import (
	"strconv"
	"time"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/fleet"
)

// Names of the parameters that a caller may set.
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
	// defaultDeadlineTargets gives requests without a deadline this many times
	// the target of their rank.
	defaultDeadlineTargets = 10
	fallbackTarget         = time.Second
)

// options are the parsed parameters of one exchange.
type options struct {
	rank         schedule.Rank
	target       time.Duration // of the rank
	deadline     time.Duration // from now
	session      bool          // session consistency instead of strict
	token        position.Position
	maxStaleness time.Duration
	key          string
	caller       string
}

// parseOptions reads the parameters; names that are not set take the service's
// defaults. A bad value is refused before anything runs.
func parseOptions(params map[string]string, doc *fleet.Document, service *fleet.Service) (options, error) {
	o := options{key: params[ParamRequestKey], caller: params[ParamCaller]}
	p := &paramParser{params: params}
	o.rank = p.rank(string(service.DefaultRank))
	o.session = p.consistency()
	o.token = p.token(service.Name)
	limit := time.Duration(service.MaxStalenessMS) * time.Millisecond
	o.maxStaleness = min(p.duration(ParamMaxStaleness), limit)
	o.deadline = p.milliseconds(ParamDeadline)
	o.target = target(doc, o.rank)
	if o.deadline == 0 {
		o.deadline = defaultDeadlineTargets * o.target
	}
	return o, p.err
}

func target(doc *fleet.Document, r schedule.Rank) time.Duration {
	t := time.Duration(doc.Ranks[fleet.Rank(r.String())].TargetMS) * time.Millisecond
	if t == 0 {
		return fallbackTarget
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
