package configgossip

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// documentText returns the content of n bytes of a revision. Revisions differ in one line only.
func documentText(n, revision int) string {
	line := []byte("0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcde\n")
	raw := bytes.Repeat(line, n/len(line)+1)[:n]
	copy(raw[n/2:], fmt.Sprintf("revision %09d", revision))
	return string(raw)
}

// BenchmarkRevision measures by the size of the document the cost of one revision that a
// node fetches from a peer: the response of the peer and its verification. The heap is
// that of one node with a full history.
func BenchmarkRevision(b *testing.B) {
	for _, n := range []int{5_000, 50_000, 500_000} {
		b.Run(fmt.Sprint("document-bytes=", n), func(b *testing.B) {
			sender := New(DefaultConfig("a", "z"), rand.New(rand.NewPCG(1, 1)), 0)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			receiver := New(DefaultConfig("b", "z"), rand.New(rand.NewPCG(1, 1)), 0)
			history := receiver.cfg.HistoryLength
			for i := range history + 2 {
				doc := document(uint64(i+1), documentText(n, i))
				receiver.PlatformReadDone(0, Document{doc.Digest, bytes.Clone(doc.Raw)})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			have := receiver.Current()
			sender.PlatformReadDone(0, have)
			next := document(have.Revision+1, documentText(n, int(have.Revision)+1))
			sender.PlatformReadDone(0, next)
			b.ReportAllocs()
			b.ResetTimer()
			var response FetchResponse
			for b.Loop() {
				response, _ = sender.AnswerFetch(next.Digest, have.Digest)
				if raw, ok := response.expand([]Document{have}); !ok || Hash(raw) != next.SHA256 {
					b.Fatal("the delta does not restore the document")
				}
			}
			b.ReportMetric(float64(size(response)), "delta-bytes")
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
		})
	}
}

// BenchmarkQuietGossip measures the processor time and the bytes sent by one node without
// new revisions, per second of virtual time, with ticks every 20 ms.
func BenchmarkQuietGossip(b *testing.B) {
	for _, n := range []int{9, 360, 1800} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			node := New(DefaultConfig("a", "zone0"), rand.New(rand.NewPCG(1, 1)), 0)
			var peers []Peer
			for i := 1; i < n; i++ {
				peers = append(peers, Peer{fmt.Sprint("node-", i), fmt.Sprint("zone", i%5)})
			}
			node.PeersChanged(0, peers)
			node.PlatformReadDone(0, document(1, "x"))
			now := time.Duration(0)
			for range 1000 {
				now += 20 * time.Millisecond
				node.Tick(now)
			}
			sent, seconds := 0, 0
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				seconds++
				for range 50 {
					now += 20 * time.Millisecond
					for _, a := range node.Tick(now) {
						if d, ok := a.(SendDigest); ok {
							sent += size(d.Digest)
						}
					}
				}
			}
			b.ReportMetric(float64(sent)/float64(seconds), "sent-bytes/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(seconds)/1e7, "%core")
		})
	}
}

// BenchmarkPeersChanged measures the cost of one change of the live instances.
func BenchmarkPeersChanged(b *testing.B) {
	for _, n := range []int{9, 360, 1800} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			node := New(DefaultConfig("a", "zone0"), rand.New(rand.NewPCG(1, 1)), 0)
			var peers []Peer
			for i := 1; i < n; i++ {
				peers = append(peers, Peer{fmt.Sprint("node-", i), fmt.Sprint("zone", i%5)})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				node.PeersChanged(time.Duration(i), peers[:len(peers)-i%2])
			}
		})
	}
}
