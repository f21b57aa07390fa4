package confirm

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/verdict"
)

const ms = time.Millisecond

func at(term, offset uint64) position.Position { return position.Position{Term: term, Offset: offset} }

func three() *Tracker {
	return New(Config{Members: 3, Timeout: time.Second, BarrierDelay: 2 * ms}, 1)
}

// Guards against acknowledgements without a majority, and against counting one
// member twice.
func TestWriteNeedsQuorum(t *testing.T) {
	tr := three()
	assert.Equal(t, len(tr.Committed(1, at(1, 5), 0)), 0)
	assert.Equal(t, len(tr.Report("a", at(1, 5), 0)), 0)
	assert.Equal(t, len(tr.Report("a", at(1, 6), 0)), 0)
	assert.Equal(t, len(tr.Report("b", at(1, 4), 0)), 0)
	assert.DeepEqual(t, tr.Report("b", at(1, 5), 0), []Action{Acknowledge{1, at(1, 5)}})

	two := New(Config{Members: 2, Timeout: time.Second}, 1)
	two.Committed(1, at(1, 5), 0)
	assert.Equal(t, len(two.Report("a", at(1, 5), 0)), 0)
	assert.Equal(t, len(two.Report("b", at(1, 5), 0)), 1)
}

// Guards against reports of an earlier term confirming anything.
func TestNewTermGivesUp(t *testing.T) {
	tr := three()
	tr.Committed(1, at(1, 5), 0)
	tr.Read(2, at(1, 5), 0)
	actions := tr.NewTerm(2, 0)
	assert.Equal(t, actions[0].(Fail).Error.Code, verdict.OutcomeUnknown)
	assert.Equal(t, actions[1].(Fail).Error.Verdict, verdict.NotRun)
	tr.Committed(3, at(2, 6), 0)
	tr.Report("a", at(1, 9), 0)
	assert.Equal(t, len(tr.Report("b", at(1, 9), 0)), 0)
	assert.Equal(t, tr.Committed(4, at(1, 9), 0)[0].(Fail).Error.Verdict, verdict.MayHaveRun)
}

// Guards against a read answered by an entry that it may precede.
func TestReadNeedsLaterEntry(t *testing.T) {
	tr := three()
	tr.Report("a", at(1, 5), 0)
	tr.Report("b", at(1, 5), 0)
	assert.Equal(t, len(tr.Read(1, at(1, 5), 0)), 0)
	next, ok := tr.NextExpiry()
	assert.Assert(t, ok && next == 2*ms)
	assert.DeepEqual(t, tr.Expire(2*ms), []Action{WriteBarrier{}})
	tr.Read(2, at(1, 5), 2*ms)
	assert.Equal(t, len(tr.BarrierWritten(at(1, 6), 3*ms)), 0)
	tr.Report("a", at(1, 6), 4*ms)
	assert.DeepEqual(t, tr.Report("c", at(1, 6), 4*ms),
		[]Action{Acknowledge{1, at(1, 5)}, Acknowledge{2, at(1, 5)}})
}

// Guards against a barrier answered by an entry that was written before it: a
// response on its way and a no-op entry already asked for.
func TestBarrierIgnoresEarlierEntries(t *testing.T) {
	tr := New(Config{Members: 3, Timeout: time.Second}, 1)
	tr.Started(7)
	assert.DeepEqual(t, tr.Barrier(1, 0), []Action{WriteBarrier{}})
	assert.Equal(t, len(tr.Barrier(2, 0)), 0)
	tr.Committed(7, at(1, 5), 0)
	tr.Report("a", at(1, 6), 0)
	assert.Equal(t, len(tr.Report("b", at(1, 6), 0)), 1) // the write alone
	assert.DeepEqual(t, tr.BarrierWritten(at(1, 6), 0), []Action{Acknowledge{1, at(1, 6)}, WriteBarrier{}})
	tr.Started(8)
	tr.Committed(8, at(1, 7), 0)
	tr.Report("a", at(1, 7), 0)
	assert.DeepEqual(t, tr.Report("b", at(1, 7), 0), []Action{Acknowledge{2, at(1, 7)}, Acknowledge{8, at(1, 7)}})
}

// Guards against requests that wait for ever behind a primary that rejects barriers.
func TestExpiry(t *testing.T) {
	tr := three()
	tr.Committed(1, at(1, 5), 0)
	tr.Barrier(2, 0)
	assert.Equal(t, len(tr.Expire(2*ms)), 1)
	assert.Equal(t, len(tr.BarrierFailed(3*ms)), 0)
	next, _ := tr.NextExpiry()
	assert.Equal(t, next, 3*ms+barrierRetryDelay)
	assert.Equal(t, len(tr.Expire(next)), 1)
	actions := tr.Expire(time.Second)
	assert.Equal(t, actions[0].(Fail).Error.Code, verdict.OutcomeUnknown)
	assert.Equal(t, actions[1].(Fail).Error.Verdict, verdict.NotRun)
	assert.Equal(t, tr.Pending(), 0)
}

// Guards against a tight loop of barriers on a replaced primary that still writes.
func TestBarrierOfEarlierTermIsDelayed(t *testing.T) {
	tr := New(Config{Members: 3, Timeout: time.Second}, 2)
	assert.DeepEqual(t, tr.Barrier(1, 0), []Action{WriteBarrier{}})
	assert.Equal(t, len(tr.BarrierWritten(at(1, 9), 0)), 0)
	next, _ := tr.NextExpiry()
	assert.Equal(t, next, barrierRetryDelay)
}

func BenchmarkCommittedReport(b *testing.B) {
	tr := three()
	b.ReportAllocs()
	for i := uint64(1); b.Loop(); i++ {
		tr.Committed(i, at(1, i), 0)
		tr.Report("a", at(1, i), 0)
		tr.Report("b", at(1, i), 0)
	}
}
