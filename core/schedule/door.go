package schedule

import (
	"math/rand/v2"
	"time"
)

// ProbeFraction is the share of requests that a AdmissionController admits while the owner
// refuses their rank. Their answers carry the owner's current load, so that
// the entry notices recovery before the refusal runs out.
const ProbeFraction = 1.0 / 32

// AdmissionController is the admission control of an entry instance. It keeps the last load
// that the owner of each upstream advertised, and refuses at the entry what the
// owner would refuse. Admit applies the refusals of a whole rank; AdmitCaller
// also those of single callers, which the owner refuses while it accepts others
// of the rank. It is not safe for concurrent use.
type AdmissionController struct {
	rand      *rand.Rand
	upstreams map[string]*doorState
}

type doorState struct {
	wait    [NumRanks]time.Duration
	until   [NumRanks]time.Duration // end of the refusal, with the origin of now
	callers map[callerKey]refusedCaller
	sweepAt int // number of callers at which expired entries are removed
}

type callerKey struct {
	caller string
	rank   Rank
}

// refusedCaller is what the owner has told a caller. Other requests of the caller
// are told the same time to come back: if it ended for all when the first one's
// does, they would come back together and find the queue full again.
type refusedCaller struct {
	until  time.Duration // end of the refusal, with the origin of now
	advice time.Duration // time to come back
}

// closedPart divides the time to come back into the time for which the door is
// closed to other requests of the refused caller. The time to come back is spread
// over the callers that compete, and the queue has room before it ends: held for
// all of it, a tenfold flood of lookups lost 2.4% of the slots' time.
const closedPart = 2

// minSweep is the number of refused callers below which expired entries are kept.
const minSweep = 256

// NewAdmissionController returns a AdmissionController that admits everything until the first RecordLoad.
func NewAdmissionController(r *rand.Rand) *AdmissionController {
	return &AdmissionController{rand: r, upstreams: make(map[string]*doorState)}
}

// RecordLoad records the load that the owner of an upstream has advertised.
func (d *AdmissionController) RecordLoad(upstream string, l Load, now time.Duration) {
	st := d.state(upstream)
	st.wait = l.Wait
	for r, refuse := range l.RefuseFor {
		st.until[r] = now + refuse
	}
}

// RecordRefusal records that the owner has refused a request of a caller as
// overloaded and asked it to come back after the given time.
func (d *AdmissionController) RecordRefusal(upstream, caller string, r Rank, retryAfter, now time.Duration) {
	st := d.state(upstream)
	if len(st.callers) >= st.sweepAt {
		st.sweep(now)
	}
	st.callers[callerKey{caller, r}] = refusedCaller{until: now + retryAfter/closedPart, advice: retryAfter}
}

// Admit reports whether a request may be sent to the owner and, if not, after
// which time the caller should come back. Unknown upstreams admit everything.
func (d *AdmissionController) Admit(upstream string, r Rank, now time.Duration) (ok bool, retryAfter time.Duration) {
	st := d.upstreams[upstream]
	if st == nil || int(r) >= NumRanks {
		return true, 0
	}
	return d.admitFrom(st.until[r], 0, now)
}

// AdmitCaller is Admit for a request of a known caller: it is also refused
// before the time at which the owner has asked this caller to come back.
func (d *AdmissionController) AdmitCaller(upstream, caller string, r Rank, now time.Duration) (ok bool, retryAfter time.Duration) {
	st := d.upstreams[upstream]
	if st == nil || int(r) >= NumRanks {
		return true, 0
	}
	refused := st.callers[callerKey{caller, r}]
	return d.admitFrom(max(st.until[r], refused.until), refused.advice, now)
}

// admitFrom decides on a request that is refused until the given time; advice is
// the least time to come back.
func (d *AdmissionController) admitFrom(until, advice, now time.Duration) (ok bool, retryAfter time.Duration) {
	if now >= until || d.rand.Float64() < ProbeFraction {
		return true, 0
	}
	left := max(until-now, advice, minRetryDelay)
	return false, left + time.Duration(d.rand.Int64N(int64(left)/2+1))
}

func (d *AdmissionController) state(upstream string) *doorState {
	st := d.upstreams[upstream]
	if st == nil {
		st = &doorState{callers: make(map[callerKey]refusedCaller), sweepAt: minSweep}
		d.upstreams[upstream] = st
	}
	return st
}

func (st *doorState) sweep(now time.Duration) {
	for key, refused := range st.callers {
		if now >= refused.until {
			delete(st.callers, key)
		}
	}
	st.sweepAt = max(2*len(st.callers), minSweep)
}

// AdvertisedWait returns the last advertised wait of a rank, or 0 for an unknown upstream.
func (d *AdmissionController) AdvertisedWait(upstream string, r Rank) time.Duration {
	if st := d.upstreams[upstream]; st != nil && int(r) < NumRanks {
		return st.wait[r]
	}
	return 0
}

// Forget drops what is known about an upstream, as after a change of its owner.
func (d *AdmissionController) Forget(upstream string) { delete(d.upstreams, upstream) }
