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

// fixedAnswerHandler answers each exchange with the same answer.
type fixedAnswerHandler struct {
	Handler
	answer *ExchangeAnswer
}

func (e fixedAnswerHandler) Exchange(context.Context, *ExchangeRequest) (*ExchangeAnswer, error) {
	return e.answer, nil
}
func (e fixedAnswerHandler) HasOpenTransactions() bool { return false }
func (e fixedAnswerHandler) Close()                    {}

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

// serve starts a server on a loopback address; bytes counts the bytes that it reads
// and writes.
func serve(b *testing.B, answer *ExchangeAnswer) (address string, bytes *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		Self:       func() Hello { return Hello{Name: "messina-0001", OperatorAddress: "10.0.0.1:8432"} },
		Log:        discardLog(),
		NewHandler: func(string) Handler { return fixedAnswerHandler{answer: answer} },
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

// processorTime returns the CPU time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkExchangeHop measures the hop between two instances, with both ends in this
// process, over the number of concurrent calls on one link and the size of the answer.
func BenchmarkExchangeHop(b *testing.B) {
	for _, size := range []int{100, 4096, 65536} {
		for _, callers := range []int{1, 8, 64} {
			b.Run(fmt.Sprintf("answer-bytes=%d/callers=%d", size, callers), func(b *testing.B) {
				address, bytes := serve(b, &ExchangeAnswer{Messages: make([]byte, size), TxStatus: 'I'})
				link := NewLink(address, nil, nil, discardLog())
				defer link.Close()
				request := &ExchangeRequest{ID: "1", Service: "registro-lotti-1", Upstream: "registro-lotti-1-messina",
					Term: 1, Caller: "clerk", Proof: ProofConfirm, Executes: true, Messages: make([]byte, 100)}
				measureCalls(b, callers, bytes, func() error {
					return link.Call(context.Background(), MethodExchange, request, &ExchangeAnswer{})
				})
			})
		}
	}
}

// BenchmarkHeartbeat measures the heartbeat that each open data link sends every
// 500 ms, with both ends in this process.
func BenchmarkHeartbeat(b *testing.B) {
	address, bytes := serve(b, nil)
	link := NewLink(address, nil, nil, discardLog())
	defer link.Close()
	measureCalls(b, 1, bytes, func() error {
		return link.Call(context.Background(), MethodPing, &Empty{}, &Hello{})
	})
}

// measureCalls divides b.N calls among goroutines, as many as callers says, and
// reports the CPU time and the bytes on the wire per call.
func measureCalls(b *testing.B, callers int, bytes *atomic.Int64, call func() error) {
	assert.NilError(b, call())
	b.ReportAllocs()
	b.ResetTimer()
	startCPU, startBytes := processorTime(), bytes.Load()
	var left atomic.Int64
	left.Store(int64(b.N))
	var goroutines sync.WaitGroup
	for range callers {
		goroutines.Go(func() {
			for left.Add(-1) >= 0 {
				if err := call(); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	goroutines.Wait()
	b.ReportMetric(float64((processorTime()-startCPU).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(bytes.Load()-startBytes)/float64(b.N), "wire-bytes/op")
}

// BenchmarkOpenLinks measures the heap and stacks of opened links, while they are
// open and after the idle timeout, and the CPU time that they then take, with both
// ends in this process. One operation is one second.
func BenchmarkOpenLinks(b *testing.B) {
	for _, n := range []int{9, 360, 1800} {
		b.Run(fmt.Sprint("links=", n), func(b *testing.B) {
			address, bytes := serve(b, nil)
			before := memoryInUse()
			links := make([]*Link, n)
			for i := range links {
				links[i] = NewLink(address, nil, nil, discardLog())
				assert.NilError(b, links[i].Call(context.Background(), MethodPing, &Empty{}, &Hello{}))
			}
			openBytes := float64(memoryInUse()-before) / float64(n)
			<-time.After(dataIdleTimeout + 2*heartbeatTimeout)
			idleBytes := float64(memoryInUse()-before) / float64(n)
			b.ResetTimer()
			startCPU, startBytes := processorTime(), bytes.Load()
			for range b.N {
				<-time.After(time.Second)
			}
			b.ReportMetric(float64(processorTime()-startCPU)/float64(b.Elapsed())*100, "%core")
			b.ReportMetric(float64(bytes.Load()-startBytes)/b.Elapsed().Seconds(), "wire-bytes/s")
			b.ReportMetric(openBytes, "memory-bytes/open-link")
			b.ReportMetric(idleBytes, "memory-bytes/idle-link")
			for _, l := range links {
				l.Close()
			}
		})
	}
}

// BenchmarkFreshLink measures a call on a link that is opened for it, with both ends
// in this process. That is the cost of a membership probe where the number of peers
// is so large that the link has been closed since the last probe.
func BenchmarkFreshLink(b *testing.B) {
	address, bytes := serve(b, nil)
	link := NewControlLink(address, nil, discardLog())
	measureCalls(b, 1, bytes, func() error {
		defer link.Close()
		return link.Call(context.Background(), MethodPing, &Empty{}, &Hello{})
	})
}

func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
