package schedule

import (
	"math/rand/v2"
	"time"
)

// ProbeShare is the share of requests that a Door admits while the owner
// refuses their rank. Their answers carry the owner's current load, so that
// the entry notices recovery before the refusal runs out.
const ProbeShare = 1.0 / 32

// Door is the admission control of an entry instance. It keeps the last load
// that the owner of each upstream advertised, and refuses at the entry what the
// owner would refuse. It is not safe for concurrent use.
type Door struct {
	rand      *rand.Rand
	upstreams map[string]*doorState
}

type doorState struct {
	wait  [Ranks]time.Duration
	until [Ranks]time.Duration // end of the refusal, with the origin of now
}

// NewDoor returns a Door that admits everything until the first Update.
func NewDoor(r *rand.Rand) *Door {
	return &Door{rand: r, upstreams: make(map[string]*doorState)}
}

// Update records the load that the owner of an upstream has advertised.
func (d *Door) Update(upstream string, l Load, now time.Duration) {
	st := d.upstreams[upstream]
	if st == nil {
		st = &doorState{}
		d.upstreams[upstream] = st
	}
	st.wait = l.Wait
	for r, refuse := range l.RefuseFor {
		st.until[r] = now + refuse
	}
}

// Admit reports whether a request may be sent to the owner and, if not, after
// which time the caller should come back. Unknown upstreams admit everything.
func (d *Door) Admit(upstream string, r Rank, now time.Duration) (ok bool, retryAfter time.Duration) {
	st := d.upstreams[upstream]
	if st == nil || int(r) >= Ranks || now >= st.until[r] {
		return true, 0
	}
	if d.rand.Float64() < ProbeShare {
		return true, 0
	}
	left := max(st.until[r]-now, minRetryDelay)
	return false, left + time.Duration(d.rand.Int64N(int64(left)/2+1))
}

// Wait returns the last advertised wait of a rank, or 0 for an unknown upstream.
func (d *Door) Wait(upstream string, r Rank) time.Duration {
	if st := d.upstreams[upstream]; st != nil && int(r) < Ranks {
		return st.wait[r]
	}
	return 0
}

// Forget drops what is known about an upstream, as after a change of its owner.
func (d *Door) Forget(upstream string) { delete(d.upstreams, upstream) }
