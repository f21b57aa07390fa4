package simulation

import (
	"time"

	"github.com/papayarail/papayarail/core/schedule"
)

// Quiet is the ordinary load of one upstream with two slots: each rank offers
// 20% of the capacity of 400 requests per second. Deadlines are the targets of
// the example document in section 6.9 of the design page.
func Quiet(p Policy) Scenario {
	return Scenario{
		Name: "quiet", Policy: p, Slots: 2,
		Floor:  [schedule.NumRanks]float64{0, 0.10, 0.02},
		Warmup: 10 * time.Second, Duration: 120 * time.Second,
		Classes: []TrafficClass{
			{Rank: schedule.Urgent, Callers: 20, BaseRate: 80, MeanServiceTime: 5 * time.Millisecond, Deadline: 500 * time.Millisecond},
			{Rank: schedule.Middle, Callers: 20, BaseRate: 80, MeanServiceTime: 5 * time.Millisecond, Deadline: time.Second},
			{Rank: schedule.Least, Callers: 40, BaseRate: 80, MeanServiceTime: 5 * time.Millisecond, Deadline: 2 * time.Second},
		},
	}
}

// FloodLookups is Quiet with ten times the least urgent requests.
func FloodLookups(p Policy) Scenario {
	sc := Quiet(p)
	sc.Name = "flood-lookups"
	sc.Classes[schedule.Least].RateFactor = 10
	return sc
}

// QuietSlow is Quiet with lookups that take four times as long as other requests
// and the same share of the slots.
func QuietSlow(p Policy) Scenario {
	sc := Quiet(p)
	sc.Name = "quiet-slow"
	sc.Classes[schedule.Least].BaseRate /= 4
	sc.Classes[schedule.Least].MeanServiceTime *= 4
	return sc
}

// FloodSlowLookups is QuietSlow with ten times the least urgent requests.
func FloodSlowLookups(p Policy) Scenario {
	sc := QuietSlow(p)
	sc.Name = "flood-slow-lookups"
	sc.Classes[schedule.Least].RateFactor = 10
	return sc
}

// Scenarios lists all scenarios by name.
func Scenarios(p Policy) map[string]Scenario {
	list := make(map[string]Scenario)
	for _, sc := range []Scenario{Quiet(p), FloodLookups(p), QuietSlow(p), FloodSlowLookups(p), FloodUrgent(p), FloodCallers(p), BurstUrgent(p), SharedMember(p, [schedule.NumRanks]int{})} {
		list[sc.Name] = sc
	}
	return list
}

// FloodUrgent is Quiet with ten times the urgent requests, sent at unequal
// rates: the busiest caller sends nine times as many as the least busy one.
func FloodUrgent(p Policy) Scenario {
	sc := Quiet(p)
	sc.Name = "flood-urgent"
	sc.Classes[schedule.Urgent].RateFactor = 10
	sc.Classes[schedule.Urgent].RateSkew = 0.8
	return sc
}

// FloodCallers has the urgent load of FloodUrgent, but four of the twenty
// urgent callers send 92% of it and the others keep their quiet rate.
func FloodCallers(p Policy) Scenario {
	sc := Quiet(p)
	sc.Name = "flood-callers"
	urgent := &sc.Classes[schedule.Urgent]
	urgent.Callers, urgent.BaseRate = 16, 64
	noisy := *urgent
	noisy.Callers, noisy.BaseRate, noisy.RateFactor = 4, 16, 46
	sc.Classes = append(sc.Classes, noisy)
	return sc
}

// BurstUrgent is three seconds of urgent requests at three times what is left
// for them, from callers that come back after a refusal for four seconds, as
// those of `papayarail measure -scenario flood-urgent` do.
func BurstUrgent(p Policy) Scenario {
	sc := Quiet(p)
	sc.Name = "burst-urgent"
	sc.Warmup, sc.Duration = 0, 3*time.Second
	sc.MaxWait = [schedule.NumRanks]time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second}
	sc.Classes = []TrafficClass{
		{Rank: schedule.Urgent, Callers: 16, BaseRate: 180, MeanServiceTime: 10 * time.Millisecond},
		{Rank: schedule.Middle, Callers: 4, BaseRate: 20, MeanServiceTime: 10 * time.Millisecond},
	}
	for i := range sc.Classes {
		c := &sc.Classes[i]
		c.Deadline, c.MaxRetries, c.RetryWindow = 2*time.Second, 3, 4*time.Second
	}
	// 540 requests of 10 ms on two slots take 2.7 s.
	sc.Classes[schedule.Urgent].RateFactor = 2
	return sc
}

// SharedMember is a burst of lookups from six instances to a member with two
// slots, with the mix of requests of the users' site files. limit is the limit of
// each rank at an instance; zero: none but the three slots.
func SharedMember(p Policy, limit [schedule.NumRanks]int) Scenario {
	return Scenario{
		Name: "shared-member", Policy: p, Slots: 3, SlotLimit: limit, QueueLimit: 32,
		Floor:     [schedule.NumRanks]float64{0, 0.10, 0.05},
		Instances: 6, MemberSlots: 2,
		Warmup: 2 * time.Second, Duration: 30 * time.Second,
		Classes: []TrafficClass{
			{Rank: schedule.Urgent, Callers: 6, BaseRate: 12, MeanServiceTime: 3 * time.Millisecond, Deadline: 800 * time.Millisecond},
			{Rank: schedule.Middle, Callers: 12, BaseRate: 50, MeanServiceTime: 9 * time.Millisecond, Deadline: 800 * time.Millisecond},
			{Rank: schedule.Least, Callers: 12, BaseRate: 12, MeanServiceTime: 15 * time.Millisecond, Deadline: 1200 * time.Millisecond, RateFactor: 12},
		},
	}
}
