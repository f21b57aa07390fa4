package caller

import (
	"maps"
	"net"
	"strconv"
	"time"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/wire/classify"
)

// The session parameters that callers may set.
const (
	ParameterRank         = classify.ParameterPrefix + "rank"          // urgent, middle or least
	ParameterDeadline     = classify.ParameterPrefix + "deadline_ms"   // milliseconds from the arrival of a request
	ParameterConsistency  = classify.ParameterPrefix + "consistency"   // strict or session
	ParameterPosition     = classify.ParameterPrefix + "position"      // token service@term.offset
	ParameterMaxStaleness = classify.ParameterPrefix + "max_staleness" // duration such as 5s
	ParameterRequestKey   = classify.ParameterPrefix + "request_key"   // applies to the next request or transaction
	ParameterCaller       = classify.ParameterPrefix + "caller"        // name for fair queuing
)

// SQLSTATEs of answers that papayarail gives itself.
const (
	stateUnsupported        = "0A000"
	stateProtocolViolation  = "08P01"
	stateInvalidValue       = "22023"
	stateIdleInTransaction  = "25P03"
	stateFailedTransaction  = "25P02"
	stateUndefinedStatement = "26000"
	stateNotAllowed         = "28000"
	stateDuplicateStatement = "42P05"
	stateUndefinedParameter = "42704"
	stateTooLarge           = "54000"
	stateIdleSession        = "57P05"
)

const (
	// maxRequestKeyBytes keeps keys far below the 2704 bytes of a B-tree entry.
	maxRequestKeyBytes = 200
	maxCallerBytes     = 128
	maxDeadline        = 24 * time.Hour
)

// refusal is an error that papayarail answers itself.
type refusal struct {
	state   string
	message string
}

func (r *refusal) Error() string { return r.message }

func refuse(state, message string) *refusal { return &refusal{state: state, message: message} }

var parameterChecks = map[string]func(string) bool{
	ParameterRank:         func(v string) bool { return v == "urgent" || v == "middle" || v == "least" },
	ParameterConsistency:  func(v string) bool { return v == "strict" || v == "session" },
	ParameterDeadline:     validDeadline,
	ParameterPosition:     validPosition,
	ParameterMaxStaleness: validStaleness,
	ParameterRequestKey:   func(v string) bool { return v != "" && len(v) <= maxRequestKeyBytes },
	ParameterCaller:       func(v string) bool { return v != "" && len(v) <= maxCallerBytes },
}

func validDeadline(v string) bool {
	n, err := strconv.ParseUint(v, 10, 32)
	return err == nil && n > 0 && time.Duration(n)*time.Millisecond <= maxDeadline
}

func validPosition(v string) bool {
	_, err := position.ParseToken(v)
	return err == nil
}

func validStaleness(v string) bool {
	d, err := time.ParseDuration(v)
	return err == nil && d >= 0
}

// check reports why a parameter cannot have a value.
func check(name, value string) error {
	valid, ok := parameterChecks[name]
	if !ok {
		return refuse(stateUndefinedParameter, "unrecognized configuration parameter \""+name+"\"")
	}
	if !valid(value) {
		return refuse(stateInvalidValue, "invalid value for parameter \""+name+"\": "+strconv.Quote(value))
	}
	return nil
}

// parameters holds the papayarail parameters of a session. The current map is
// replaced and never changed, because running exchanges refer to it.
type parameters struct {
	initial map[string]string // values that RESET restores
	current map[string]string
}

func newParameters(s Startup) parameters {
	p := parameters{initial: map[string]string{ParameterCaller: defaultCaller(s)}}
	for name, value := range s.Parameters {
		if _, ok := parameterChecks[name]; ok {
			p.initial[name] = value
		}
	}
	p.current = maps.Clone(p.initial)
	delete(p.initial, ParameterRequestKey) // a key belongs to one request
	return p
}

func defaultCaller(s Startup) string {
	return s.User + "@" + s.RemoteHost
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

func (p *parameters) replace(name, value string, present bool) {
	if old, ok := p.current[name]; ok == present && old == value {
		return
	}
	next := maps.Clone(p.current)
	delete(next, name)
	if present {
		next[name] = value
	}
	p.current = next
}

// apply executes SET and RESET.
func (p *parameters) apply(info classify.Info) error {
	if _, ok := parameterChecks[info.Name]; !ok {
		return refuse(stateUndefinedParameter, "unrecognized configuration parameter \""+info.Name+"\"")
	}
	if info.Reset {
		value, ok := p.initial[info.Name]
		p.replace(info.Name, value, ok)
		return nil
	}
	if err := check(info.Name, info.Value); err != nil {
		return err
	}
	p.replace(info.Name, info.Value, true)
	return nil
}

// show returns the value of a parameter; one without a value is "".
func (p *parameters) show(name string) (string, error) {
	if _, ok := parameterChecks[name]; !ok {
		return "", refuse(stateUndefinedParameter, "unrecognized configuration parameter \""+name+"\"")
	}
	return p.current[name], nil
}
