package schedule

import (
	"math/rand/v2"
	"time"
)

// ProbeFraction is the fraction of requests that an AdmissionController admits although
// the owner refuses them. Their answers carry the owner's current load, so that the
// entry instance notices a recovery before the refusal expires.
const ProbeFraction = 1.0 / 32

// AdmissionController performs admission control at an entry instance. It stores the
// last load that the owner of each upstream advertised, and refuses requests that the
// owner would refuse. Admit applies refusals of a whole rank; AdmitCaller also applies
// refusals of a single caller, whose requests the owner refuses while it accepts
// others of the same rank. It is not safe for concurrent use.
type AdmissionController struct {
	rand      *rand.Rand
	upstreams map[string]*admissionState
}

type admissionState struct {
	wait    [NumRanks]time.Duration // Load.Wait of the last advertised load
	until   [NumRanks]time.Duration // end of the refusal, with the same origin as now
	callers map[callerKey]refusedCaller
	sweepAt int // number of callers at which expired entries are removed
}

type callerKey struct {
	caller string
	rank   Rank
}

// refusedCaller is the last refusal of a caller by the owner. Other requests of the
// caller are also told at least the retry delay that the owner stated, not what is left
// of it: otherwise all of them would be retried at the same time and find the queue full
// again.
type refusedCaller struct {
	until      time.Duration // end of the refusal, with the same origin as now
	retryAfter time.Duration // retry delay that the owner stated
}

// callerRefusalDivisor divides the retry delay of a refused caller; the quotient is the
// time for which its other requests are refused as well. The delay accounts for all
// competing callers, and the queue has room before it ends: refusing for all of it left
// 2.4% of the slots' time unused under a tenfold load of the least urgent rank.
const callerRefusalDivisor = 2

// minSweepSize is the number of refused callers below which expired entries are not
// removed.
const minSweepSize = 256

// NewAdmissionController returns an AdmissionController that admits all requests until
// a load or a refusal is recorded. r supplies the probes and the jitter of retry delays.
func NewAdmissionController(r *rand.Rand) *AdmissionController {
	return &AdmissionController{rand: r, upstreams: make(map[string]*admissionState)}
}

// RecordLoad records the load that the owner of an upstream has advertised.
func (c *AdmissionController) RecordLoad(upstream string, l Load, now time.Duration) {
	st := c.state(upstream)
	st.wait = l.Wait
	for r, refuseFor := range l.RefuseFor {
		st.until[r] = now + refuseFor
	}
}

// RecordRefusal records that the owner has refused a request of a caller as overloaded
// and stated the retry delay retryAfter.
func (c *AdmissionController) RecordRefusal(upstream, caller string, r Rank, retryAfter, now time.Duration) {
	st := c.state(upstream)
	if len(st.callers) >= st.sweepAt {
		st.sweep(now)
	}
	st.callers[callerKey{caller, r}] = refusedCaller{until: now + retryAfter/callerRefusalDivisor, retryAfter: retryAfter}
}

// Admit reports whether a request may be sent to the owner and, if not, the delay after
// which the caller should retry. It admits all requests for an unknown upstream.
func (c *AdmissionController) Admit(upstream string, r Rank, now time.Duration) (ok bool, retryAfter time.Duration) {
	st := c.upstreams[upstream]
	if st == nil || int(r) >= NumRanks {
		return true, 0
	}
	return c.decide(st.until[r], 0, now)
}

// AdmitCaller is Admit for a request of a known caller. It also refuses the request
// while a recorded refusal of this caller holds.
func (c *AdmissionController) AdmitCaller(upstream, caller string, r Rank, now time.Duration) (ok bool, retryAfter time.Duration) {
	st := c.upstreams[upstream]
	if st == nil || int(r) >= NumRanks {
		return true, 0
	}
	refused := st.callers[callerKey{caller, r}]
	return c.decide(max(st.until[r], refused.until), refused.retryAfter, now)
}

// decide admits a request after the end of its refusal, and before that as a probe.
// minDelay is the lower bound of the returned retry delay; jitter adds up to half of the
// delay.
func (c *AdmissionController) decide(until, minDelay, now time.Duration) (ok bool, retryAfter time.Duration) {
	if now >= until || c.rand.Float64() < ProbeFraction {
		return true, 0
	}
	delay := max(until-now, minDelay, minRetryDelay)
	return false, delay + time.Duration(c.rand.Int64N(int64(delay)/2+1))
}

func (c *AdmissionController) state(upstream string) *admissionState {
	st := c.upstreams[upstream]
	if st == nil {
		st = &admissionState{callers: make(map[callerKey]refusedCaller), sweepAt: minSweepSize}
		c.upstreams[upstream] = st
	}
	return st
}

// sweep removes the callers whose refusal has ended.
func (st *admissionState) sweep(now time.Duration) {
	for key, refused := range st.callers {
		if now >= refused.until {
			delete(st.callers, key)
		}
	}
	st.sweepAt = max(2*len(st.callers), minSweepSize)
}

// AdvertisedWait returns the wait of a rank that the owner advertised last, or 0 for an
// unknown upstream.
func (c *AdmissionController) AdvertisedWait(upstream string, r Rank) time.Duration {
	if st := c.upstreams[upstream]; st != nil && int(r) < NumRanks {
		return st.wait[r]
	}
	return 0
}

// Forget removes the load and the refusals of an upstream, as after a change of its owner.
func (c *AdmissionController) Forget(upstream string) { delete(c.upstreams, upstream) }
