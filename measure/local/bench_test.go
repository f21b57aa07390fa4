package local

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/instance/node"
)

const (
	benchService     = "registro-lotti-1"
	benchReplica     = benchService + "-messina"
	connectionBudget = 100
	slots            = 64
	readyTimeout     = 30 * time.Second
)

// document returns a document with one service, one instance in each of the first and
// third failure domain and two in the second, one of which owns the replica there.
func document() *fleet.Document {
	d := &fleet.Document{
		Deployment:     "colle-trinacria-adesivi",
		FailureDomains: []string{"catania", "messina", "siracusa"},
		Ranks: map[fleet.Rank]fleet.RankGoal{
			fleet.Urgent: {TargetMS: 500}, fleet.Middle: {TargetMS: 1000, FloorPercent: 10}, fleet.Least: {TargetMS: 2000, FloorPercent: 2}},
	}
	for _, name := range []string{"catania-1", "messina-1", "messina-2", "siracusa-1"} {
		d.Instances = append(d.Instances, fleet.Instance{Name: name, FailureDomain: name[:len(name)-2], State: fleet.Active})
	}
	s := fleet.Service{Name: benchService, DependsOn: []string{}, DefaultRank: fleet.Middle}
	for _, domain := range d.FailureDomains {
		s.Databases = append(s.Databases, fleet.Database{Name: benchService + "-" + domain, Address: "127.0.0.1:1",
			FailureDomain: domain, Connections: connectionBudget, Slots: slots, State: fleet.Active})
	}
	d.Services = []fleet.Service{s}
	return d
}

func start(b *testing.B) *Fleet {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	f, err := Start(context.Background(), Config{Document: document(), StatementDelay: time.Microsecond})
	assert.NilError(b, err)
	b.Cleanup(f.Close)
	assert.NilError(b, f.WaitReady(ctx))
	return f
}

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// connStrings returns connection strings by path: to the replica in messina itself
// ("direct"), through the instance that owns it ("owner"), and through the other
// instance there ("hop").
func connStrings(f *Fleet) map[string]string {
	out := map[string]string{}
	for _, db := range f.Document.Services[0].Databases {
		if db.Name == benchReplica {
			out["direct"] = fmt.Sprintf("postgres://clerk@%s/%s?sslmode=disable", db.Address, benchService)
		}
	}
	for i, instance := range f.Instances {
		if instance.Settings.FailureDomain != "messina" {
			continue
		}
		path := "hop"
		for _, u := range instance.Node.Dump().(node.Dump).Upstreams {
			if u.Upstream == benchReplica {
				path = "owner"
			}
		}
		out[path] = f.ConnString(i, benchService)
	}
	return out
}

func connect(b *testing.B, url string) *pgx.Conn {
	config, err := pgx.ParseConfig(url)
	assert.NilError(b, err)
	if config.Port != 0 {
		config.RuntimeParams["papayarail.consistency"] = "session"
	}
	conn, err := pgx.ConnectConfig(context.Background(), config)
	assert.NilError(b, err)
	return conn
}

// BenchmarkStatement measures the CPU time and latency of one read by primary key on a
// replica with a negligible service time (1 µs): over a direct connection, through the
// instance that owns the replica, and through another instance of the same failure
// domain, which adds one hop. Everything runs in this process, so that the difference
// to the direct connection is the cost of papayarail. All figures include the
// background work of four instances and three members.
func BenchmarkStatement(b *testing.B) {
	f := start(b)
	writer, err := pgx.Connect(context.Background(), f.ConnString(0, benchService))
	assert.NilError(b, err)
	for _, sql := range []string{
		"CREATE TABLE IF NOT EXISTS batches (id text PRIMARY KEY, state text)",
		"INSERT INTO batches (id, state) VALUES ('b1', 'registered')",
	} {
		_, err := writer.Exec(context.Background(), sql)
		assert.NilError(b, err)
	}
	assert.NilError(b, writer.Close(context.Background()))
	urls := connStrings(f)
	for _, callers := range []int{1, 8, 64} {
		for _, path := range []string{"direct", "owner", "hop"} {
			b.Run(fmt.Sprintf("%s/callers=%d", path, callers), func(b *testing.B) { benchmarkReads(b, urls[path], callers) })
		}
	}
}

// benchmarkReads runs b.N reads, divided among callers with one connection each.
func benchmarkReads(b *testing.B, url string, callers int) {
	conns := make([]*pgx.Conn, callers)
	for i := range conns {
		conns[i] = connect(b, url)
	}
	took := make([][]time.Duration, callers)
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var wg sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	began := cpuTime()
	for i, conn := range conns {
		wg.Go(func() {
			for remaining.Add(-1) >= 0 {
				sent := time.Now()
				var state string
				if err := conn.QueryRow(context.Background(), "SELECT state FROM batches WHERE id = $1", "b1").Scan(&state); err != nil {
					b.Error(err)
					return
				}
				took[i] = append(took[i], time.Since(sent))
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64((cpuTime()-began).Microseconds())/float64(b.N), "cpu-us/op")
	all := slices.Concat(took...)
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
	for _, conn := range conns {
		_ = conn.Close(context.Background())
	}
}

// BenchmarkIdleCaller measures the heap and stack memory of an idle caller connection:
// after the startup message, and after one query. It includes the client side, which is
// a bare socket, and excludes kernel memory.
func BenchmarkIdleCaller(b *testing.B) {
	for _, n := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprint("callers=", n), func(b *testing.B) {
			f := start(b)
			address := f.Instances[0].Settings.CallerAddress
			var opened, queried float64
			for range b.N {
				before := memoryInUse()
				conns := make([]net.Conn, n)
				for i := range conns {
					conns[i] = dial(b, address)
				}
				opened = float64(memoryInUse()-before) / float64(n)
				for _, c := range conns {
					exchange(b, c, &pgproto3.Query{String: "SELECT 1"})
				}
				queried = float64(memoryInUse()-before) / float64(n)
				for _, c := range conns {
					c.Close()
				}
			}
			b.ReportMetric(opened, "opened-bytes/caller")
			b.ReportMetric(queried, "after-query-bytes/caller")
		})
	}
}

func dial(b *testing.B, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	assert.NilError(b, err)
	exchange(b, c, &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{"user": "clerk", "database": benchService}})
	return c
}

// exchange sends a message and reads until ReadyForQuery. It keeps no buffer, which
// would count as memory of the connection.
func exchange(b *testing.B, c net.Conn, m pgproto3.FrontendMessage) {
	raw, err := m.Encode(nil)
	assert.NilError(b, err)
	_, err = c.Write(raw)
	assert.NilError(b, err)
	var header [5]byte
	for header[0] != 'Z' {
		_, err := io.ReadFull(c, header[:])
		assert.NilError(b, err)
		length := int64(header[1])<<24 | int64(header[2])<<16 | int64(header[3])<<8 | int64(header[4])
		_, err = io.CopyN(io.Discard, c, length-4)
		assert.NilError(b, err)
	}
}

func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
