package platformd

import (
	"slices"
	"sync"
	"time"
)

const (
	instanceGroup = "instance"
	stateLive     = "live"
	stateLeaving  = "leaving"
)

// observation is the state of an instance at the time of a health check. An
// empty state means that the check failed.
type observation struct {
	at       time.Time
	instance InstanceConfig
	state    string
}

// instanceList shows each observation only after the lag has passed.
type instanceList struct {
	mu           sync.Mutex
	lag          time.Duration
	observations map[string][]observation // ordered by time
}

func newInstanceList(lag time.Duration) *instanceList {
	return &instanceList{lag: lag, observations: map[string][]observation{}}
}

// setLag changes the lag of all observations, past ones included.
func (l *instanceList) setLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// observe records the result of a health check. Only changes are kept.
func (l *instanceList) observe(now time.Time, in InstanceConfig, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.observations[in.Name]
	if len(seen) > 0 && seen[len(seen)-1].state == state && seen[len(seen)-1].instance == in {
		return
	}
	seen = append(seen, observation{now, in, state})
	l.observations[in.Name] = seen[max(0, len(seen)-maxVersions):]
}

// items returns the list as it is shown at a time, by instance name.
func (l *instanceList) items(at time.Time) map[string]attributes {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]attributes{}
	for name, seen := range l.observations {
		for _, o := range slices.Backward(seen) {
			if o.at.Add(l.lag).After(at) {
				continue
			}
			if o.state != "" {
				out[name] = o.attributes()
			}
			break
		}
	}
	return out
}

func (o observation) attributes() attributes {
	return attributes{
		partitionKey:     text(instanceGroup),
		sortKey:          text(o.instance.Name),
		"state":          text(o.state),
		"peer_address":   text(o.instance.PeerAddress),
		"failure_domain": text(o.instance.FailureDomain),
	}
}

// SetInstanceLag changes the age of the instance list.
func (s *Server) SetInstanceLag(lag time.Duration) { s.list.setLag(lag) }

// RecordInstanceState records the state of an instance as a health check does: "live",
// "leaving", or empty for a failed check.
func (s *Server) RecordInstanceState(in InstanceConfig, state string) {
	s.list.observe(time.Now(), in, state)
}
