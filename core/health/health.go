// Package health is a failure detector for the members of one database group. It judges
// a member by its answers to statements, compared with those of the other members; what
// a member reports about its own health is not used. It detects a member that works 3 to
// 8 times as slowly as the others, fails or refuses part of its statements, leaves them
// unanswered, or goes down and up repeatedly. Before, any failed statement excluded a
// member from reads for 500 ms: a silent member then took reads again for the 0.3 s
// until they timed out, and a slow one was not detected at all. It is a pure state
// machine.
//
// A member is suspect after a failed statement until it answers one. It is ejected when
// the evidence against it, a cumulative sum of log-likelihood ratios (CUSUM), exceeds
// ejectScore, or when it is silent while others answer. Both are the last choice for
// reads except for probes at a bounded rate. At most one member in three is ejected.
package health

import (
	"math"
	"slices"
	"time"
)

const (
	// ejectScore is the score at which a member is ejected. 5 failures in a row reach it.
	// With 2% of failures it is reached once in 2 million statements or more rarely, by
	// calculation.
	ejectScore = 10.0
	// ejectSlowScore is the same for service times. 3 of ten times the peers' mean reach
	// it, or some 33 of three times. With 7, one of three equal members was ejected once
	// in 300,000 statements.
	ejectSlowScore = 9.0
	// maxScore bounds the scores of a member that cannot be ejected because others are.
	maxScore = 2 * ejectScore
	// scoreDecay is the time constant with which evidence loses weight.
	scoreDecay = 30 * time.Second
	// toleratedFailures is the fraction of failed statements of a member that works, and
	// excessFailures the fraction of the others that a defective member fails as well. If
	// the best of the other members fails more, that is tolerated instead.
	toleratedFailures = 0.04
	excessFailures    = 0.27
	maxTolerated      = 0.9
	// normalRatio and slowRatio are the mean ratios of service times, of a member to its
	// peers, between which the score discriminates; the score rises above a ratio of
	// about 2.4. Members of unequal hardware stay below.
	normalRatio = 1.5
	slowRatio   = 4.0
	// maxRatio bounds the weight of one statement.
	maxRatio = 10.0
	// returnRatio is the mean ratio below which a member ejected as slow returns.
	returnRatio = 1.5
	// returnAnswers is the number of consecutive good answers before a return, and
	// minHold the time that they must span. It doubles with each ejection within
	// relapseWindow of the last return, up to maxHold, which exceeds the 1.4 s of a
	// member that goes down and up.
	returnAnswers = 5
	minHold       = 300 * time.Millisecond
	maxHold       = 4800 * time.Millisecond
	relapseWindow = 30 * time.Second
	// minProbeInterval separates the probes of a member that is suspect or ejected. It
	// doubles with each failed probe up to maxProbeInterval.
	minProbeInterval = 100 * time.Millisecond
	maxProbeInterval = 800 * time.Millisecond
	// suspectRatio is the recent mean ratio above which a member is probed, until the mean
	// is below returnRatio, if no statement of it was measured for idleProbeInterval. Reads
	// go to the member with the least expected cost, so a slow member would otherwise get
	// no further reads that prove it slow or well again.
	suspectRatio      = 2.0
	idleProbeInterval = 200 * time.Millisecond
	// probeTimeout is the time after which an unanswered probe no longer prevents another.
	probeTimeout = 2 * time.Second
	// silenceTimeout, silenceFactor and minOutstanding define silence: no answer, for that
	// time and for that many service times, to this many statements.
	silenceTimeout = 150 * time.Millisecond
	silenceFactor  = 6
	minOutstanding = 3
	// maxDistance is the longest difference in round trips that is attributed to distance.
	// A member that is slow from its start and does the same work in each statement is not
	// told from a distant one up to that difference.
	maxDistance = 50 * time.Millisecond
	// minSamples is the number of statements before a mean is compared.
	minSamples = 8
	// meanWeight and rateWeight are the weights of one statement in the moving means of
	// service times and failures, ratioWeight that in the recent ratio, and probeWeight
	// that in the recent ratio while ejected.
	meanWeight  = 1.0 / 32
	rateWeight  = 1.0 / 32
	ratioWeight = 1.0 / 8
	probeWeight = 1.0 / 4
	// meanMaxAge is the age up to which a mean is compared with that of other members. It
	// covers a failover, so that a new primary is compared with its predecessor.
	meanMaxAge = 30 * time.Second
)

// Outcome is what the answer to a statement says about the member.
type Outcome uint8

const (
	// Good means that the member executed the statement.
	Good Outcome = iota
	// Neutral means that the member answered, but the answer depends on something else,
	// such as the replication lag.
	Neutral
	// Refused means that the member was too busy.
	Refused
	// Failed means that the member returned an error or no answer.
	Failed
)

// Cause is the reason for which a member is ejected.
type Cause string

// Causes of an ejection.
const (
	Failures Cause = "failures"
	Refusals Cause = "refusals"
	Slowness Cause = "slow"
	Silence  Cause = "silence"
)

// Answer is the outcome of one statement.
type Answer struct {
	Outcome Outcome
	// Class groups statements whose service times are comparable.
	Class int
	// Took is the service time; 0 means that it was not measured.
	Took time.Duration
	// Load is the number of statements in flight for each slot of the member when the
	// statement was sent; above 1, the statement waits at the member.
	Load float64
	// Starting means that the member has just started or changed its role. It is then
	// limited by core/pace while it is slow, and is not ejected for that.
	Starting bool
	SentAt   time.Duration
}

// ChangeKind is the kind of a Change.
type ChangeKind uint8

const (
	// Ejection means that the member becomes the last choice.
	Ejection ChangeKind = iota
	// Return means the end of an ejection.
	Return
	// Recovery means that a member that was slow, but not ejected, works as fast as the
	// others again. Estimates from its slow time are out of date.
	Recovery
)

// Change is a change of a member's state.
type Change struct {
	Member string
	Kind   ChangeKind
	Cause  Cause
	// Lasted is, for a Return, the time since the ejection.
	Lasted time.Duration
}

// Use is how a member may be used for reads.
type Use uint8

const (
	// Normal means without restriction.
	Normal Use = iota
	// Avoid means as the last choice only.
	Avoid
	// Retry means that the member is suspect and one read may be sent to it.
	Retry
	// Probe means that the member is ejected, or slow and unused, and one read should be
	// sent to it.
	Probe
)

// mean is a moving mean.
type mean struct {
	value   float64
	samples int
	at      time.Duration
}

func (m *mean) add(v, weight float64, now time.Duration) {
	m.samples++
	m.value += max(weight, 1/float64(m.samples)) * (v - m.value)
	m.at = now
}

// serviceTime holds the moving means of the service times of one class, in seconds: as
// measured, and without the estimated wait for a slot of the member.
type serviceTime struct{ measured, work mean }

func (m *mean) known(now time.Duration) bool {
	return m.samples >= minSamples && now-m.at <= meanMaxAge
}

type member struct {
	means       map[int]*serviceTime // by class
	floor       float64              // shortest exchange in seconds: the round trip and the least work
	failureRate mean
	failScore   float64
	slowScore   float64
	scoredAt    time.Duration

	outstanding int
	silentSince time.Duration // last answer, or first statement after none was outstanding
	answeredAt  time.Duration

	failedInRow   int // failures since the last answer
	probeInterval time.Duration
	nextProbe     time.Duration
	probingSince  time.Duration // 0: no probe is outstanding

	ejected    bool
	cause      Cause
	ejectedAt  time.Duration
	returnedAt time.Duration
	relapses   int
	goodInRow  int
	goodSince  time.Duration
	ratio      float64 // recent mean ratio of service times
	comparedAt time.Duration
	slow       bool // the recent mean ratio exceeded suspectRatio
}

// Tracker tracks the members of one group. It is not safe for concurrent use.
type Tracker struct{ members map[string]*member }

// New returns a Tracker without members.
func New() *Tracker { return &Tracker{members: make(map[string]*member)} }

// Add adds a member, or resets one that has restarted or moved.
func (t *Tracker) Add(id string) {
	t.members[id] = &member{means: make(map[int]*serviceTime), ratio: 1}
}

// Remove removes a member. The group may become too small for its ejected members.
func (t *Tracker) Remove(id string, now time.Duration) []Change {
	delete(t.members, id)
	var changes []Change
	for t.ejectedCount() > len(t.members)/3 {
		first := ""
		for id, m := range t.members {
			if m.ejected && (first == "" || m.ejectedAt < t.members[first].ejectedAt || m.ejectedAt == t.members[first].ejectedAt && id < first) {
				first = id
			}
		}
		changes = append(changes, t.members[first].readmit(first, now))
	}
	return changes
}

func (t *Tracker) ejectedCount() int {
	n := 0
	for _, m := range t.members {
		if m.ejected {
			n++
		}
	}
	return n
}

// Ejected reports whether a member is ejected, and why.
func (t *Tracker) Ejected(id string) (Cause, bool) {
	if m := t.members[id]; m != nil && m.ejected {
		return m.cause, true
	}
	return "", false
}

// Suspect reports whether a member is ejected, or its last statement failed.
func (t *Tracker) Suspect(id string) bool {
	m := t.members[id]
	return m != nil && (m.ejected || m.failedInRow > 0)
}

// Use returns how a member may be used for a read now.
func (t *Tracker) Use(id string, now time.Duration) Use {
	m := t.members[id]
	switch {
	case m == nil:
		return Normal
	case !m.ejected && m.failedInRow == 0:
		if m.slow && now-m.comparedAt > idleProbeInterval && now >= m.nextProbe {
			return Probe
		}
		return Normal
	case now < m.nextProbe || m.probing(now):
		return Avoid
	case m.ejected:
		return Probe
	default:
		return Retry
	}
}

// Probing reports whether a probe of the member is outstanding.
func (t *Tracker) Probing(id string, now time.Duration) bool {
	m := t.members[id]
	return m != nil && m.probing(now)
}

func (m *member) probing(now time.Duration) bool {
	return m.probingSince != 0 && now-m.probingSince < probeTimeout
}

// RecordProbe records that a read is sent to a member whose use is Retry or Probe.
func (t *Tracker) RecordProbe(id string, now time.Duration) {
	if m := t.members[id]; m != nil {
		m.probingSince, m.nextProbe = max(now, 1), now+max(m.probeInterval, minProbeInterval)
	}
}

// RecordAvoid makes a member suspect until it answers, and no read is sent to it before
// until. It is no evidence against the member.
func (t *Tracker) RecordAvoid(id string, until time.Duration) {
	if m := t.members[id]; m != nil {
		m.probingSince = 0
		m.failedInRow = max(m.failedInRow, 1)
		m.nextProbe = max(m.nextProbe, until)
	}
}

// RecordSent records that a statement is sent to a member.
func (t *Tracker) RecordSent(id string, now time.Duration) {
	if m := t.members[id]; m != nil {
		if m.outstanding == 0 {
			m.silentSince = now
		}
		m.outstanding++
	}
}

// RecordDone records that a statement passed to RecordSent was answered or has failed.
func (t *Tracker) RecordDone(id string, answered bool, now time.Duration) {
	m := t.members[id]
	if m == nil {
		return
	}
	m.outstanding = max(m.outstanding-1, 0)
	if answered {
		m.silentSince, m.answeredAt = now, now
	}
}

// CheckSilence ejects a member that has left all its statements unanswered while another
// member answered. The comparison excludes an instance that was itself stopped.
func (t *Tracker) CheckSilence(now time.Duration) []Change {
	var silent []string
	for id, m := range t.members {
		if m.ejected || m.outstanding < minOutstanding || now-m.silentSince < silenceTimeout {
			continue
		}
		limit := 0.0
		for class, own := range m.means {
			limit = max(limit, own.measured.value) // a slow member is not silent
			if expected, _, ok := t.peerMeans(id, class, now); ok {
				limit = max(limit, expected)
			}
		}
		othersAnswer := false
		for other, o := range t.members {
			othersAnswer = othersAnswer || other != id && o.answeredAt > m.silentSince
		}
		if othersAnswer && (now-m.silentSince).Seconds() >= silenceFactor*limit {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	var changes []Change
	for _, id := range silent {
		changes = append(changes, t.eject(id, Silence, now)...)
	}
	return changes
}

// Record handles the outcome of a statement. ratio is its service time relative to the
// other members', or 0 if it cannot be compared.
func (t *Tracker) Record(id string, a Answer, now time.Duration) (ratio float64, changes []Change) {
	m := t.members[id]
	if m == nil {
		return 0, nil
	}
	ratio = t.compare(id, a, now)
	m.decay(now)
	m.probingSince = 0
	failed := a.Outcome == Failed || a.Outcome == Refused
	if a.Outcome != Neutral {
		m.failScore = min(max(m.failScore+t.failureWeight(id, failed, now), 0), maxScore)
		m.failureRate.add(boolValue(failed), rateWeight, now)
	}
	if failed {
		m.failedInRow++
		m.goodInRow = 0
		m.probeInterval = min(max(2*m.probeInterval, minProbeInterval), maxProbeInterval)
		m.nextProbe = now + m.probeInterval
	} else if !m.ejected || a.SentAt >= m.ejectedAt {
		m.failedInRow = 0
		if ratio <= suspectRatio {
			m.probeInterval = 0
		}
	}
	if ratio > 0 && !a.Starting {
		capped := min(ratio, maxRatio)
		weight := math.Log(normalRatio/slowRatio) + capped*(1/normalRatio-1/slowRatio)
		m.slowScore = min(max(m.slowScore+weight, 0), maxScore)
		m.comparedAt = now
		if !m.ejected {
			m.ratio += ratioWeight * (capped - m.ratio)
			if m.slow && m.ratio < returnRatio {
				changes = append(changes, Change{Member: id, Kind: Recovery, Cause: Slowness})
			}
			m.slow = m.ratio > suspectRatio || m.slow && m.ratio >= returnRatio
		}
	}
	if m.ejected {
		return ratio, t.recordWhileEjected(id, m, a, ratio, now)
	}
	switch {
	case m.failScore >= ejectScore && a.Outcome == Refused:
		return ratio, t.eject(id, Refusals, now)
	case m.failScore >= ejectScore && failed:
		return ratio, t.eject(id, Failures, now)
	case m.slowScore >= ejectSlowScore:
		return ratio, t.eject(id, Slowness, now)
	}
	return ratio, changes
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// decay reduces the evidence by the time since the last statement.
func (m *member) decay(now time.Duration) {
	factor := math.Exp(-(now - m.scoredAt).Seconds() / scoreDecay.Seconds())
	m.failScore *= factor
	m.slowScore *= factor
	m.scoredAt = now
}

// failureWeight returns the log-likelihood ratio of an outcome: of a defective member to
// one that fails as often as the best of the others.
func (t *Tracker) failureWeight(id string, failed bool, now time.Duration) float64 {
	best := -1.0
	for other, o := range t.members {
		if other != id && !o.ejected && o.failureRate.known(now) && (best < 0 || o.failureRate.value < best) {
			best = o.failureRate.value
		}
	}
	tolerated := min(max(toleratedFailures, 1.5*best), maxTolerated)
	defective := tolerated + (1-tolerated)*excessFailures
	if failed {
		return math.Log(defective / tolerated)
	}
	return math.Log((1 - defective) / (1 - tolerated))
}

// compare adds a service time to the member's means and returns its ratio to the peers'
// mean, or 0. Service times include the round trip to the member. Each is reduced by the
// difference of the member's shortest exchange to the shortest of all members, so that
// the distance of a member in another region does not count as slowness.
func (t *Tracker) compare(id string, a Answer, now time.Duration) float64 {
	if a.Took <= 0 {
		return 0
	}
	m := t.members[id]
	took := a.Took.Seconds()
	if m.floor == 0 || took < m.floor {
		m.floor = took
	}
	if a.Outcome != Good {
		return 0
	}
	peers, peersWork, ok := t.peerMeans(id, a.Class, now)
	own := m.means[a.Class]
	if own == nil {
		own = &serviceTime{}
		m.means[a.Class] = own
	}
	distance, load := m.distance(t), max(a.Load, 1)
	work := (took - distance) / load
	// The means have the distance included, as floors may still fall.
	own.measured.add(took, meanWeight, now)
	own.work.add(work+distance, meanWeight, now)
	if !ok || peers <= 0 || peersWork <= 0 {
		return 0
	}
	// The member may execute more in parallel than its slots, or other instances may add
	// to its load, so the wait is not certain. A member counts as slow if it is with and
	// without it.
	return max(min((took-distance)/peers, work/peersWork), 1e-3)
}

// distance returns by how much the member's shortest exchange exceeds that of the
// nearest member, up to maxDistance.
func (m *member) distance(t *Tracker) float64 {
	nearest := m.floor
	for _, o := range t.members {
		if o.floor > 0 {
			nearest = min(nearest, o.floor)
		}
	}
	return min(m.floor-nearest, maxDistance.Seconds())
}

// peerMeans returns the lower medians of the mean service times of the other members that
// are not ejected, as measured and without the wait for a slot; ok is false if none is
// known.
func (t *Tracker) peerMeans(id string, class int, now time.Duration) (measured, work float64, ok bool) {
	var backing, backingWork [8]float64 // no allocation for groups of usual size
	all, allWork := backing[:0], backingWork[:0]
	for other, o := range t.members {
		mean := o.means[class]
		if other != id && !o.ejected && mean != nil && mean.measured.known(now) {
			distance := o.distance(t)
			all, allWork = append(all, mean.measured.value-distance), append(allWork, mean.work.value-distance)
		}
	}
	if len(all) == 0 {
		return 0, 0, false
	}
	slices.Sort(all)
	slices.Sort(allWork)
	median := (len(all) - 1) / 2
	return all[median], allWork[median], true
}

// eject ejects a member if at most one member in three is then ejected. A slow member
// returns in favor of one that fails.
func (t *Tracker) eject(id string, cause Cause, now time.Duration) []Change {
	var changes []Change
	if t.ejectedCount() >= len(t.members)/3 {
		replaced := ""
		for other, o := range t.members {
			if o.ejected && o.cause == Slowness && cause != Slowness && (replaced == "" || other < replaced) {
				replaced = other
			}
		}
		if replaced == "" {
			return nil
		}
		changes = append(changes, t.members[replaced].readmit(replaced, now))
	}
	m := t.members[id]
	if m.returnedAt != 0 && now-m.returnedAt < relapseWindow {
		m.relapses++
	} else {
		m.relapses = 0
	}
	m.ejected, m.cause, m.ejectedAt = true, cause, now
	m.goodInRow = 0
	if cause == Slowness {
		m.ratio = slowRatio
	}
	if m.probeInterval == 0 {
		m.probeInterval = minProbeInterval
	}
	m.nextProbe = now + m.probeInterval
	return append(changes, Change{Member: id, Kind: Ejection, Cause: cause})
}

// recordWhileEjected handles an answer of an ejected member, and lets the member return
// after enough good answers. Statements sent before the ejection do not count.
func (t *Tracker) recordWhileEjected(id string, m *member, a Answer, ratio float64, now time.Duration) []Change {
	if a.Outcome != Good || a.SentAt < m.ejectedAt {
		return nil
	}
	if ratio > 0 {
		m.ratio += probeWeight * (min(ratio, maxRatio) - m.ratio)
	}
	if m.cause == Slowness && ratio > suspectRatio {
		m.probeInterval = min(max(2*m.probeInterval, minProbeInterval), maxProbeInterval)
		m.nextProbe = max(m.nextProbe, now+m.probeInterval)
	}
	if m.goodInRow == 0 {
		m.goodSince = now
	}
	m.goodInRow++
	hold := min(minHold<<min(m.relapses, 8), maxHold)
	if m.goodInRow < returnAnswers || now-m.goodSince < hold || m.cause == Slowness && m.ratio > returnRatio {
		return nil
	}
	return []Change{m.readmit(id, now)}
}

// readmit ends an ejection.
func (m *member) readmit(id string, now time.Duration) Change {
	c := Change{Member: id, Kind: Return, Cause: m.cause, Lasted: now - m.ejectedAt}
	m.ejected, m.cause, m.returnedAt = false, "", now
	m.failScore, m.slowScore, m.failedInRow, m.probeInterval = 0, 0, 0, 0
	m.ratio, m.slow = 1, false
	return c
}
