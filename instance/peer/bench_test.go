package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// echo answers each exchange with a prepared answer.
type echo struct {
	Handler
	answer *ExchangeAnswer
}

func (e echo) Exchange(context.Context, *ExchangeRequest) (*ExchangeAnswer, error) {
	return e.answer, nil
}
func (e echo) HasOpenTransactions() bool { return false }
func (e echo) Close()                    {}

// countingListener counts the bytes in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// serve starts a server on loopback; bytes counts its traffic.
func serve(b *testing.B, answer *ExchangeAnswer) (address string, bytes *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		Self:       func() Hello { return Hello{Name: "messina-0001", OperatorAddress: "10.0.0.1:8432"} },
		Log:        quietLog(),
		NewHandler: func(string) Handler { return echo{answer: answer} },
	}
	bytes = new(atomic.Int64)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx, countingListener{l, bytes})
	}()
	b.Cleanup(func() { cancel(); <-done })
	return l.Addr().String(), bytes
}

// processorTime returns the time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkExchangeHop gives the hop alone, both ends in this process: the
// slope over the callers of one link and over the size of the answer.
func BenchmarkExchangeHop(b *testing.B) {
	for _, size := range []int{100, 4096, 65536} {
		for _, callers := range []int{1, 8, 64} {
			b.Run(fmt.Sprintf("answer-bytes=%d/callers=%d", size, callers), func(b *testing.B) {
				address, bytes := serve(b, &ExchangeAnswer{Messages: make([]byte, size), TxStatus: 'I'})
				link := NewLink(address, nil, nil, quietLog())
				defer link.Close()
				request := &ExchangeRequest{ID: "1", Service: "registro-lotti-1", Upstream: "registro-lotti-1-messina",
					Term: 1, Caller: "clerk", Proof: ProofConfirm, Executes: true, Messages: make([]byte, 100)}
				share(b, callers, bytes, func() error {
					return link.Call(context.Background(), MethodExchange, request, &ExchangeAnswer{})
				})
			})
		}
	}
}

// BenchmarkHeartbeat gives the cost of the heartbeat that each open link sends
// every 500 ms, both ends in this process.
func BenchmarkHeartbeat(b *testing.B) {
	address, bytes := serve(b, nil)
	link := NewLink(address, nil, nil, quietLog())
	defer link.Close()
	share(b, 1, bytes, func() error {
		return link.Call(context.Background(), MethodPing, &Empty{}, &Hello{})
	})
}

// share divides b.N calls among callers and reports the processor time and the
// bytes on the wire per call.
func share(b *testing.B, callers int, bytes *atomic.Int64, call func() error) {
	assert.NilError(b, call())
	b.ReportAllocs()
	b.ResetTimer()
	began, sent := processorTime(), bytes.Load()
	var left atomic.Int64
	left.Store(int64(b.N))
	var work sync.WaitGroup
	for range callers {
		work.Go(func() {
			for left.Add(-1) >= 0 {
				if err := call(); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	work.Wait()
	b.ReportMetric(float64((processorTime()-began).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(bytes.Load()-sent)/float64(b.N), "wire-bytes/op")
}

// BenchmarkOpenLinks gives the heap and the stacks of links that were opened
// and are idle, both ends in this process, and the processor time of their
// heartbeats. One operation is one second of idling.
func BenchmarkOpenLinks(b *testing.B) {
	for _, n := range []int{9, 360, 1800} {
		b.Run(fmt.Sprint("links=", n), func(b *testing.B) {
			address, bytes := serve(b, nil)
			before := memory()
			links := make([]*Link, n)
			for i := range links {
				links[i] = NewLink(address, nil, nil, quietLog())
				assert.NilError(b, links[i].Call(context.Background(), MethodPing, &Empty{}, &Hello{}))
			}
			opened := float64(memory()-before) / float64(n)
			<-time.After(dataIdle + 2*heartbeatTimeout)
			grown := float64(memory()-before) / float64(n)
			b.ResetTimer()
			began, sent := processorTime(), bytes.Load()
			for range b.N {
				<-time.After(time.Second)
			}
			b.ReportMetric(float64(processorTime()-began)/float64(b.Elapsed())*100, "%core")
			b.ReportMetric(float64(bytes.Load()-sent)/b.Elapsed().Seconds(), "wire-bytes/s")
			b.ReportMetric(opened, "memory-bytes/open-link")
			b.ReportMetric(grown, "memory-bytes/idle-link")
			for _, l := range links {
				l.Close()
			}
		})
	}
}

// BenchmarkFreshLink gives the cost of a call on a link that must be opened
// first, both ends in this process. A probe of the membership costs that, where
// the peers are so many that the link has been closed since the last probe.
func BenchmarkFreshLink(b *testing.B) {
	address, bytes := serve(b, nil)
	link := NewControlLink(address, nil, quietLog())
	share(b, 1, bytes, func() error {
		defer link.Close()
		return link.Call(context.Background(), MethodPing, &Empty{}, &Hello{})
	})
}

func memory() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
