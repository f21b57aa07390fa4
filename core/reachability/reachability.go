// Package reachability is a failure detector for network partitions: it decides whether
// an instance is isolated from everything outside of its failure domain. After a
// partition that isolates a failure domain or a single instance, the read leases on a primary
// take a second to expire, and the load balancer needs two more probes until it takes the
// instance out, while the instance can serve hardly any request of its callers. An instance under load detects
// the partition much earlier, because members that answered some hundred requests a
// second all stop answering together. It is a pure state machine.
package reachability

import "time"

const (
	// silenceTimeout is the time without any answer from outside after which an instance
	// is isolated. It is longer than the 0.3 s between two reads of the store, so that one
	// lost read does not count. Members under load answer within that time, and an
	// instance that gets answers again passes the readiness probe at once.
	silenceTimeout = 400 * time.Millisecond
	// doubtAfter is the time without any answer after which other evidence is worth asking
	// for. A round trip to another failure domain fits between it and silenceTimeout.
	doubtAfter = 200 * time.Millisecond
	// minSilentMembers is the least number of members that have not answered: a single
	// one may have crashed.
	minSilentMembers = 2
)

// Detector records the requests of an instance to members outside of its failure domain,
// and the answers from there. The zero value is ready to use.
type Detector struct {
	unanswered  map[string]bool // members with a request since the last answer
	silentSince time.Duration   // time of the first of these requests
}

// RecordRequest records that a request was sent to a member outside of the failure domain.
func (d *Detector) RecordRequest(member string, now time.Duration) {
	if len(d.unanswered) == 0 {
		d.silentSince = now
		d.unanswered = make(map[string]bool)
	}
	d.unanswered[member] = true
}

// RecordAnswer records an answer from outside of the failure domain: of any member, the
// store, or another instance.
func (d *Detector) RecordAnswer() { clear(d.unanswered) }

// Doubtful reports whether the instance may soon count as isolated. An answer of another
// instance outside of the failure domain then shows that members are silent because they are
// saturated.
func (d *Detector) Doubtful(now time.Duration) bool {
	return len(d.unanswered) >= minSilentMembers && now-d.silentSince >= doubtAfter
}

// Isolated reports whether the instance is isolated from everything outside of its
// failure domain.
func (d *Detector) Isolated(now time.Duration) bool {
	return len(d.unanswered) >= minSilentMembers && now-d.silentSince >= silenceTimeout
}
