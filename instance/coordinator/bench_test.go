package coordinator

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/failover"
	"github.com/papayarail/papayarail/fleet"
)

// BenchmarkInactiveCoordinators gives the processor time and the memory of the
// coordinators that an instance keeps for services that another one
// coordinates. One operation is one second of idling.
func BenchmarkInactiveCoordinators(b *testing.B) {
	for _, n := range []int{3, 767, 2300} {
		b.Run(fmt.Sprint("services=", n), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			log := logrus.New()
			log.SetOutput(io.Discard)
			began := time.Now()
			before := memory()
			all := make([]*Coordinator, n)
			for i := range all {
				s := &fleet.Service{Name: fmt.Sprint("registro-lotti-", i)}
				for j := range 3 {
					s.Databases = append(s.Databases, fleet.Database{Name: fmt.Sprint(s.Name, "-", j), Address: "127.0.0.1:1", FailureDomain: fmt.Sprint("z", j)})
				}
				all[i] = New(ctx, Config{Instance: "messina-1", Service: s, Now: func() time.Duration { return time.Since(began) },
					Announce: func(failover.Route) {}, Log: logrus.NewEntry(log)})
			}
			grown := float64(memory()-before) / float64(n)
			b.ResetTimer()
			used := processorTime()
			for range b.N {
				<-time.After(time.Second)
			}
			b.ReportMetric(float64(processorTime()-used)/float64(b.Elapsed())*100, "%core")
			b.ReportMetric(grown, "memory-bytes/service")
			runtime.KeepAlive(all)
		})
	}
}

func memory() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// processorTime returns the time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
