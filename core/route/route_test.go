package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/failover"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/verdict"
)

const ms = time.Millisecond

func at(offset uint64) position.Position { return position.Position{Term: 1, Offset: offset} }

// view returns a View with the primary a, replica b in the failure domain of the
// instance, and replica c in a third one.
func view() View {
	return View{
		Route: failover.Route{Service: "s", Term: 1, Primary: "a"}, HasRoute: true,
		FailureDomain: "y", ConfirmTime: 3 * ms,
		Members: []Member{
			{ID: "a", FailureDomain: "x", Reachable: true, Applied: at(10)},
			{ID: "b", FailureDomain: "y", Reachable: true, Applied: at(9), Lag: 2 * ms},
			{ID: "c", FailureDomain: "z", Reachable: true, Applied: at(8), Lag: 2 * ms},
		},
	}
}

// optionsInOrder returns the options for r in fallback order, then the code of the final
// rejection.
func optionsInOrder(r Request, v View) string {
	d := Choose(r, v)
	s := ""
	for d.Reject == nil {
		s += string(d.Upstream) + ":" + d.Proof.String() + " "
		d = Next(d, verdict.New(verdict.Draining, "test"))
	}
	return s + d.Reject.Code.String()
}

// Guards against sending a request to the wrong upstream first, and against
// fallbacks in another order or beyond the requested consistency.
func TestOrder(t *testing.T) {
	cutOff := func(v *View) { v.Members[0].Reachable = false }
	for _, test := range []struct {
		name   string
		r      Request
		change func(*View)
		want   string
	}{
		{"write", Request{Class: Write}, nil, "a:primary_confirmed draining"},
		{"write cut off", Request{Class: Write}, cutOff, "cut_off"},
		{"write without route", Request{Class: Write}, func(v *View) { v.HasRoute = false }, "no_primary"},
		{"write to a closed primary", Request{Class: Write}, func(v *View) { v.Members[0].State = Closed }, "draining"},
		{"strict", Request{}, nil, "b:replica_after_barrier c:replica_after_barrier a:primary_confirmed draining"},
		{"strict with lag", Request{}, func(v *View) { v.Members[1].Lag = 4 * ms }, "c:replica_after_barrier a:primary_confirmed draining"},
		{"strict cut off", Request{}, cutOff, "cut_off"},
		{"session", Request{Consistency: Session, Token: at(8)}, nil, "b:replica_at_position c:replica_at_position a:primary_confirmed draining"},
		{"session leaving", Request{Consistency: Session, Token: at(8)}, func(v *View) { v.Members[1].State = Leaving }, "c:replica_at_position b:replica_at_position a:primary_confirmed draining"},
		{"session local busy", Request{Consistency: Session, Token: at(8)}, func(v *View) { v.Members[1].Load = 0.6 }, "c:replica_at_position b:replica_at_position a:primary_confirmed draining"},
		{"session far behind", Request{Consistency: Session, Token: at(10)}, func(v *View) { v.Members[1].Lag, v.Members[2].Lag = time.Second, time.Second }, "a:primary_confirmed draining"},
		{"session cut off", Request{Consistency: Session, Token: at(9)}, func(v *View) { cutOff(v); v.Members[2].Lag = time.Second }, "b:replica_at_position draining"},
		{"session cut off behind", Request{Consistency: Session, Token: at(10)}, func(v *View) { cutOff(v); v.Members[1].Lag, v.Members[2].Lag = time.Second, time.Second }, "replica_behind"},
		{"stale", Request{Consistency: Stale, MaxAge: time.Second}, func(v *View) { cutOff(v); v.Members[2].AgeKnown, v.Members[2].Age = true, time.Second }, "c:replica_by_age draining"},
		{"stale too old", Request{Consistency: Stale, MaxAge: time.Second}, func(v *View) { cutOff(v); v.Members[2].AgeKnown, v.Members[2].Age = true, time.Second+1 }, "replica_behind"},
		{"stale before token", Request{Consistency: Stale, MaxAge: time.Second, Token: at(9)}, func(v *View) { cutOff(v); v.Members[2].AgeKnown = true }, "replica_behind"},
	} {
		v := view()
		if test.change != nil {
			test.change(&v)
		}
		assert.Equal(t, optionsInOrder(test.r, v), test.want, test.name)
	}
}

// Guards against retrying a write on a second upstream, against a flood of reads
// of rank Least that reaches the primary after replicas have shed it, and against
// replacing an error of the database.
func TestNext(t *testing.T) {
	unknown := verdict.New(verdict.OutcomeUnknown, "test")
	assert.Equal(t, Next(Choose(Request{Class: Write}, view()), unknown).Reject, unknown)
	assert.Equal(t, Next(Choose(Request{}, view()), nil).Upstream, failover.MemberID("c"))
	shed := verdict.New(verdict.Overloaded, "test")
	d := Next(Next(Choose(Request{Rank: Least}, view()), shed), shed)
	assert.Equal(t, d.Reject, shed)
	d = Next(Next(Choose(Request{Rank: Middle}, view()), shed), shed)
	assert.Equal(t, d.Upstream, failover.MemberID("a"))
	ran := &verdict.Error{Verdict: verdict.Ran}
	assert.Equal(t, Next(Choose(Request{}, view()), ran).Reject, ran)
}

// Guards against sending all reads to one of two replicas of equal cost, if
// neither is in the failure domain of the instance.
func TestTieBreaker(t *testing.T) {
	v := view()
	v.FailureDomain = "x"
	requests := map[failover.MemberID]int{}
	for i := range uint32(6) {
		requests[Choose(Request{TieBreaker: i}, v).Upstream]++
	}
	assert.DeepEqual(t, requests, map[failover.MemberID]int{"b": 3, "c": 3})
}

// Guards against reporting data as younger than it is.
func TestAgeTracker(t *testing.T) {
	var a AgeTracker
	a.SetApplied(at(5))
	_, ok := a.Age(0)
	assert.Assert(t, !ok)
	a.AddBarrier(10, at(6))
	a.AddBarrier(20, at(8))
	a.SetApplied(at(7))
	age, ok := a.Age(100)
	assert.Assert(t, ok && age == 90)
	for i := range uint64(1000) {
		a.AddBarrier(time.Duration(30+i), at(9+i))
	}
	a.SetApplied(at(9))
	age, _ = a.Age(2000)
	assert.Assert(t, age >= 1970 && age <= 1980, age)
	a.SetApplied(at(2000))
	age, _ = a.Age(2000)
	assert.Equal(t, age, time.Duration(2000-1029))
	a.SetApplied(at(3))
	_, ok = a.Age(2000)
	assert.Assert(t, !ok)
}

func BenchmarkChoose(b *testing.B) {
	v := view()
	b.ReportAllocs()
	for i := uint32(0); b.Loop(); i++ {
		if Choose(Request{Consistency: Session, Token: at(8), TieBreaker: i}, v).Reject != nil {
			b.Fatal("rejected")
		}
	}
}
