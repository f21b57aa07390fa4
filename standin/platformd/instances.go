package platformd

import (
	"slices"
	"sync"
	"time"
)

const (
	instancePartition = "instance"
	stateLive         = "live"
	stateLeaving      = "leaving"
)

// observation is the result of a health check. An empty state means that the check
// failed.
type observation struct {
	observedAt time.Time
	instance   InstanceConfig
	state      string
}

// instanceList is the list of instances as of lag ago: it shows an observation only
// after the lag has passed.
type instanceList struct {
	mu           sync.Mutex
	lag          time.Duration
	observations map[string][]observation // by instance name, ordered by time
}

func newInstanceList(lag time.Duration) *instanceList {
	return &instanceList{lag: lag, observations: map[string][]observation{}}
}

// setLag changes the lag, also of the observations already recorded.
func (l *instanceList) setLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// observe records the result of a health check if it differs from the previous one.
// It keeps the last maxVersions results of an instance.
func (l *instanceList) observe(now time.Time, instance InstanceConfig, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	recorded := l.observations[instance.Name]
	if len(recorded) > 0 && recorded[len(recorded)-1].state == state && recorded[len(recorded)-1].instance == instance {
		return
	}
	recorded = append(recorded, observation{now, instance, state})
	l.observations[instance.Name] = recorded[max(0, len(recorded)-maxVersions):]
}

// items returns the list as shown at a time: the items by instance name.
func (l *instanceList) items(at time.Time) map[string]attributes {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]attributes{}
	for name, recorded := range l.observations {
		for _, o := range slices.Backward(recorded) {
			if o.observedAt.Add(l.lag).After(at) {
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

// attributes returns the item of the instance list.
func (o observation) attributes() attributes {
	return attributes{
		partitionKey:     stringAttribute(instancePartition),
		sortKey:          stringAttribute(o.instance.Name),
		"state":          stringAttribute(o.state),
		"peer_address":   stringAttribute(o.instance.PeerAddress),
		"failure_domain": stringAttribute(o.instance.FailureDomain),
	}
}

// SetInstanceLag changes the delay of the instance list.
func (s *Server) SetInstanceLag(lag time.Duration) { s.instances.setLag(lag) }

// RecordInstanceState records the state of an instance as a health check does:
// "live", "leaving", or empty for a failed check.
func (s *Server) RecordInstanceState(instance InstanceConfig, state string) {
	s.instances.observe(time.Now(), instance, state)
}
