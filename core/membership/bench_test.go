package membership

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// fleetOf returns the members of a quiet fleet, the first one excluded.
func fleetOf(n int) []Member {
	var out []Member
	for i := 1; i < n; i++ {
		out = append(out, Member{Name: fmt.Sprintf("messina-%04d", i), FailureDomain: "messina",
			Address: fmt.Sprintf("10.0.%d.%d:7432", i/250, i%250), Incarnation: 1764800000000})
	}
	return out
}

func machine(members []Member) *Machine {
	m := New(Config{Name: "messina-0000", FailureDomain: "messina", Address: "10.0.0.1:7432", Rand: rand.New(rand.NewPCG(1, 1))})
	m.Fetched(members, 0)
	return m
}

// BenchmarkProbePeriod gives the processor time of one probe period of one
// quiet instance alone: the ticks of the period at 50 ms, one probe sent and
// answered, one received, and the JSON of all four messages. The bytes are
// those that the instance sends, without frames. The heap is that of a Machine.
func BenchmarkProbePeriod(b *testing.B) {
	for _, n := range []int{9, 360, 1800} {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			members := fleetOf(n)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			m := machine(members)
			now := time.Duration(0)
			for range 2 * n * 20 { // two rounds, so that the ring has its capacity
				now += 50 * time.Millisecond
				answer(m, m.Tick(now), now)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			sent, periods := 0, 0
			b.ResetTimer()
			for b.Loop() {
				periods++
				for end := now + m.Period(); now < end; now += 50 * time.Millisecond {
					sent += answer(m, m.Tick(now), now)
				}
				in := decode(encode(Digest{From: members[periods%len(members)], Checksum: m.sum}))
				out, _ := m.Received(in, now)
				sent += len(encode(out))
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
			perSecond := float64(time.Second) / float64(m.Period())
			b.ReportMetric(float64(sent)/float64(periods)*perSecond, "sent-bytes/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(periods)*perSecond/1e7, "%core")
		})
	}
}

// answer answers the probes among actions and returns the bytes of the probes.
func answer(m *Machine, actions []Action, now time.Duration) (sent int) {
	for _, a := range actions {
		if p, ok := a.(Probe); ok {
			raw := encode(p.Digest)
			sent += len(raw)
			reply := Digest{From: m.peers[p.Peer].Member, Checksum: m.sum}
			m.ProbeAnswered(p.Peer, "", decode(encode(reply)), now)
		}
	}
	return sent
}

func encode(d Digest) []byte {
	raw, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return raw
}

func decode(raw []byte) (d Digest) {
	if err := json.Unmarshal(raw, &d); err != nil {
		panic(err)
	}
	return d
}

// BenchmarkMembers gives the cost of the sorted list that follows each change.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{9, 360, 1800} {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			m := machine(fleetOf(n))
			b.ReportAllocs()
			for b.Loop() {
				m.Members()
			}
		})
	}
}
