package caller

import (
	"maps"
	"net"
	"strconv"
	"time"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/wire/classify"
)

// Session parameters that callers may set.
const (
	ParameterRank         = classify.ParameterPrefix + "rank"          // urgent, middle or least
	ParameterDeadline     = classify.ParameterPrefix + "deadline_ms"   // milliseconds from the arrival of a request
	ParameterConsistency  = classify.ParameterPrefix + "consistency"   // strict or session
	ParameterPosition     = classify.ParameterPrefix + "position"      // token service@term.offset
	ParameterMaxStaleness = classify.ParameterPrefix + "max_staleness" // Go duration such as 5s
	ParameterRequestKey   = classify.ParameterPrefix + "request_key"   // idempotency key of the next request or transaction
	ParameterCaller       = classify.ParameterPrefix + "caller"        // client name for fair queuing
)

// SQLSTATEs of the errors that originate in the proxy.
const (
	sqlStateUnsupported        = "0A000"
	sqlStateProtocolViolation  = "08P01"
	sqlStateInvalidValue       = "22023"
	sqlStateIdleInTransaction  = "25P03"
	sqlStateFailedTransaction  = "25P02"
	sqlStateUndefinedStatement = "26000"
	sqlStateNotAllowed         = "28000"
	sqlStateDuplicateStatement = "42P05"
	sqlStateUndefinedParameter = "42704"
	sqlStateTooLarge           = "54000"
	sqlStateIdleSession        = "57P05"
)

const (
	// maxRequestKeyBytes keeps request keys far below 2704 bytes, the limit of
	// a B-tree index entry in PostgreSQL.
	maxRequestKeyBytes = 200
	maxCallerBytes     = 128
	maxDeadline        = 24 * time.Hour
)

// refusal is an error that the proxy returns for a request that it does not
// pass to the database.
type refusal struct {
	sqlState string
	message  string
}

func (r *refusal) Error() string { return r.message }

func newRefusal(state, message string) *refusal { return &refusal{sqlState: state, message: message} }

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

// checkParameter returns an error if the parameter does not exist or the value
// is not valid for it.
func checkParameter(name, value string) error {
	valid, ok := parameterChecks[name]
	if !ok {
		return newRefusal(sqlStateUndefinedParameter, "unrecognized configuration parameter \""+name+"\"")
	}
	if !valid(value) {
		return newRefusal(sqlStateInvalidValue, "invalid value for parameter \""+name+"\": "+strconv.Quote(value))
	}
	return nil
}

// parameters holds the papayarail parameters of a session. The current map is
// replaced instead of modified, because running exchanges share it.
type parameters struct {
	initial map[string]string // start-up values, restored by RESET
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
	delete(p.initial, ParameterRequestKey) // RESET must not restore the key: it is for one request only
	return p
}

func defaultCaller(s Startup) string {
	return s.User + "@" + s.RemoteHost
}

func hostWithoutPort(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// replace sets a parameter in a copy of the current map, or removes it if
// present is false.
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
		return newRefusal(sqlStateUndefinedParameter, "unrecognized configuration parameter \""+info.Name+"\"")
	}
	if info.Reset {
		value, ok := p.initial[info.Name]
		p.replace(info.Name, value, ok)
		return nil
	}
	if err := checkParameter(info.Name, info.Value); err != nil {
		return err
	}
	p.replace(info.Name, info.Value, true)
	return nil
}

// show returns the value of a parameter, or "" if it is not set.
func (p *parameters) show(name string) (string, error) {
	if _, ok := parameterChecks[name]; !ok {
		return "", newRefusal(sqlStateUndefinedParameter, "unrecognized configuration parameter \""+name+"\"")
	}
	return p.current[name], nil
}
