package handover_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/handover"
)

// load is the read load of a group whose replicas all lag too much to execute reads.
type load struct {
	perSecond   float64
	serviceTime time.Duration // mean service time, exponentially distributed
	slots       int           // of each member
	maxWait     time.Duration // longest wait that is accepted
	duration    time.Duration
}

// handOverDuration is the duration of a hand-over, during which the old primary serves.
const handOverDuration = 1100 * time.Millisecond

// simulate returns the fraction of the reads that the group serves, and the number of
// hand-overs. The former primary can execute reads once it is a replica.
func simulate(l load, seed uint64, handOver bool) (served float64, changes int) {
	r := rand.New(rand.NewPCG(seed, 1))
	slotFreeAt := make([]time.Duration, l.slots)
	var d handover.Detector
	var changedAt, promotionAt time.Duration
	arrived, executed := 0, 0
	for now := time.Duration(0); now < l.duration; now += time.Duration(r.ExpFloat64() / l.perSecond * float64(time.Second)) {
		if promotionAt > 0 && now >= promotionAt {
			promotionAt, changedAt = 0, now
			changes++
			if changes == 1 {
				slotFreeAt = append(slotFreeAt, make([]time.Duration, l.slots)...)
			}
			d.Reset()
		}
		arrived++
		first := 0
		for i := range slotFreeAt {
			if slotFreeAt[i] < slotFreeAt[first] {
				first = i
			}
		}
		if slotFreeAt[first]-now > l.maxWait {
			d.RecordRefusal(now)
			if handOver && promotionAt == 0 && d.Due(now, changedAt) {
				d.RecordAttempt(now)
				promotionAt = now + handOverDuration
			}
			continue
		}
		executed++
		slotFreeAt[first] = max(slotFreeAt[first], now) + time.Duration(r.ExpFloat64()*float64(l.serviceTime))
	}
	return float64(executed) / float64(arrived), changes
}

// Guards against refused reads while all replicas of a group lag for half a minute
// (derwent-press, scale-1: the primary alone refused 679 reads of one instance), and
// against more than one change of primary. At the sizes, rates and service times of other
// deployments too, one hand-over lets a second member serve the rest of the load.
func TestReplicasBehindUnderLoad(t *testing.T) {
	for _, l := range []load{
		{perSecond: 220, serviceTime: 30 * time.Millisecond, slots: 5, maxWait: 400 * time.Millisecond, duration: 30 * time.Second},
		{perSecond: 300, serviceTime: 9 * time.Millisecond, slots: 2, maxWait: 200 * time.Millisecond, duration: 30 * time.Second},
		{perSecond: 3000, serviceTime: 3 * time.Millisecond, slots: 6, maxWait: 100 * time.Millisecond, duration: 30 * time.Second},
		{perSecond: 30, serviceTime: 300 * time.Millisecond, slots: 6, maxWait: 2 * time.Second, duration: 60 * time.Second},
	} {
		for seed := range uint64(5) {
			without, none := simulate(l, seed, false)
			with, changes := simulate(l, seed, true)
			assert.Equal(t, none, 0)
			assert.Equal(t, changes, 1, "%+v", l)
			assert.Assert(t, without < 0.9 && with > 0.93, "%+v: served %.3f without, %.3f with a hand-over", l, without, with)
		}
	}
}

// Guards against a change of primary in a group that is not overloaded: after a few
// refusals, or during a short burst.
func TestNoHandOverWithoutOverload(t *testing.T) {
	_, changes := simulate(load{perSecond: 100, serviceTime: 30 * time.Millisecond, slots: 5, maxWait: 400 * time.Millisecond, duration: 60 * time.Second}, 1, true)
	assert.Equal(t, changes, 0, "the load is 0.6 of the slots")
	var d handover.Detector
	for i := range 500 {
		d.RecordRefusal(time.Duration(i) * time.Millisecond)
	}
	assert.Assert(t, !d.Due(500*time.Millisecond, 0), "a burst of half a second")
	for i := range 100 {
		d.RecordRefusal(time.Duration(i) * time.Second)
	}
	assert.Assert(t, !d.Due(99*time.Second, 0), "one refusal a second")
}

// Guards against repeated changes of primary: a second one does not help replicas that
// lag after the first, and each interrupts writes for a second.
func TestHandOversAreSpaced(t *testing.T) {
	var d handover.Detector
	last, changes := time.Duration(0), 0
	for now := time.Second; now < 60*time.Second; now += 10 * time.Millisecond {
		d.RecordRefusal(now)
		if d.Due(now, last) {
			d.RecordAttempt(now)
			d.Reset()
			last = now
			changes++
		}
	}
	assert.Assert(t, changes >= 3 && changes <= 4, "%d changes in a minute", changes)
}

// Guards against a hand-over that could not begin, because the store did not accept the
// claim, and is then retried at once or only after a full interval.
func TestFailedStartIsRetried(t *testing.T) {
	var d handover.Detector
	attempts := 0
	for now := time.Second; now < 11*time.Second; now += 10 * time.Millisecond {
		d.RecordRefusal(now)
		if d.Due(now, 0) {
			attempts++
			d.RecordAttempt(now)
			d.RecordFailedStart(now)
		}
	}
	assert.Assert(t, attempts >= 9 && attempts <= 10, "%d attempts in 10 s", attempts)
}
