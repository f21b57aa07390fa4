package node_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/metrics"
	"github.com/papayarail/papayarail/proxy/node"
	"github.com/papayarail/papayarail/proxy/session"
	"github.com/papayarail/papayarail/proxy/simulator"
	"github.com/papayarail/papayarail/proxy/statement"
)

// cluster runs instances against a simulated database group and store.
type cluster struct {
	t         *testing.T
	sim       *simulator.Cluster
	nodesMu   sync.Mutex // guards nodes while instances start beside sessions that open
	nodes     map[string]*node.Node
	listeners []net.Listener
	cancel    context.CancelFunc
	wait      sync.WaitGroup
	ctx       context.Context
	network   *simulator.Network
	peers     bool // instances discover and call each other
	// place returns the failure domain and the region of an instance; nil means that all
	// are in the failure domain of member a and there are no regions.
	place  func(instance string) (domain, region string)
	nextID atomic.Uint64
	// pace waits between the statements of the load; nil means no wait.
	pace func(time.Duration)
	// drainTime is the time for which members take statements after they have reported that
	// they leave; 0 means that there is no limit.
	drainTime time.Duration
	// hook sees the log of the instances that start after it is set; nil means none.
	hook    logrus.Hook
	metrics map[string]*metrics.Metrics // by instance
}

// promoteTimeVariable is the time that promotions take in tests that do not set it, e.g. 200ms.
const promoteTimeVariable = "PAPAYARAIL_PROMOTE_TIME"

func newCluster(t *testing.T, instances ...string) *cluster {
	return startCluster(t, false, instances)
}

// startCluster starts instances; with peers they discover and call each other.
func startCluster(t *testing.T, peers bool, instances []string) *cluster {
	c := &cluster{t: t, sim: simulator.NewCluster("a", "b", "c"), nodes: make(map[string]*node.Node), peers: peers}
	if text := os.Getenv(promoteTimeVariable); text != "" {
		promoteTime, err := time.ParseDuration(text)
		assert.NilError(t, err)
		c.sim.SetPromoteTime(promoteTime)
	}
	c.ctx, c.cancel = context.WithCancel(t.Context())
	c.network = c.sim.NewNetwork()
	for _, name := range instances {
		c.start(name, c.sim.Store(name))
	}
	c.await(5*time.Second, "a primary on all instances", func() bool {
		for _, n := range c.nodes {
			if !n.Ready() || n.State().Groups[simulator.Service].Primary.Member == "" {
				return false
			}
		}
		return true
	})
	return c
}

// start starts one instance with the given client of the store.
func (c *cluster) start(name string, store node.Store) { c.startWithWeight(name, store, 0) }

// startWithWeight does what start does, for an instance of a weight. The one with the
// greatest weight reads the store for the others.
func (c *cluster) startWithWeight(name string, store node.Store, weight float64) {
	settings := node.Settings{Instance: name, FailureDomain: "a", Periods: node.Periods{GracePeriod: 6 * time.Second, DrainTime: c.drainTime}, Weight: weight}
	if c.place != nil {
		settings.FailureDomain, settings.Region = c.place(name)
	}
	if c.peers {
		settings.PeerAddress = name
	}
	if c.metrics == nil {
		c.metrics = make(map[string]*metrics.Metrics)
	}
	c.metrics[name] = metrics.New()
	n := node.New(node.Config{
		Settings: settings,
		DialPeer: func(ctx context.Context, to string) (net.Conn, error) { return c.network.Dial(ctx, name, to) },
		Store:    store, Dialer: c.sim.Dialer(name), Promoter: c.sim.Promoter(name),
		Clock: c.sim.Clock, Log: c.log(name), Metrics: c.metrics[name],
	})
	c.nodesMu.Lock()
	c.nodes[name] = n
	c.nodesMu.Unlock()
	if c.peers {
		l := c.network.Listen(name)
		c.listeners = append(c.listeners, l)
		c.wait.Go(func() { _ = n.PeerServer().Serve(l) }) // ends with the listener
	}
	c.wait.Go(func() { n.Run(c.ctx) })
}

// log returns the log of an instance.
func (c *cluster) log(instance string) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	if testing.Verbose() {
		log.SetOutput(c.t.Output())
		log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "05.000"})
	}
	if c.hook != nil {
		log.AddHook(c.hook)
	}
	return log.WithField("instance", instance)
}

// await polls until a condition holds.
func (c *cluster) await(limit time.Duration, what string, holds func() bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(limit), poll.WithDelay(pollDelay))
}

const pollDelay = 20 * time.Millisecond

// close ends the instances and fails the test if the simulation recorded a violated
// guarantee.
func (c *cluster) close() {
	c.t.Helper()
	c.sim.Close()
	c.cancel()
	for _, l := range c.listeners {
		_ = l.Close()
	}
	c.wait.Wait()
	for _, f := range c.sim.Violations() {
		c.t.Error(f)
	}
	if missed := c.sim.MissedReads(); len(missed) > 0 {
		c.t.Logf("reads that missed a commit: %v", missed)
	}
}

// callerStub is an in-memory caller connection.
type callerStub struct {
	statements chan statement.Statement
	replies    chan statement.Reply
	wake       chan struct{}
	ended      chan struct{} // closed when the session has ended
	gone       atomic.Bool   // reported by Gone
	database   string
	acked      []string // acknowledged writes of the session
}

var _ node.Caller = (*callerStub)(nil)

func (s *callerStub) Next(idle time.Duration) (statement.Statement, error) {
	var timeout <-chan time.Time
	if idle > 0 {
		timeout = time.After(idle)
	}
	select {
	case st, ok := <-s.statements:
		if !ok {
			return st, io.EOF
		}
		return st, nil
	case <-s.wake:
		return statement.Statement{}, statement.ErrIdle
	case <-timeout:
		return statement.Statement{}, statement.ErrIdle
	}
}

func (s *callerStub) Answer(r statement.Reply) error { s.replies <- r; return nil }
func (s *callerStub) Pending() bool                  { return len(s.statements) > 0 }
func (s *callerStub) Gone() bool                     { return s.gone.Load() }
func (s *callerStub) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// open starts a session on an instance.
func (c *cluster) open(instance, database string) *callerStub {
	return c.openWithKey(instance, database, "caller")
}

// openWithKey starts a session of a caller that presents a key.
func (c *cluster) openWithKey(instance, database, key string) *callerStub {
	s := &callerStub{statements: make(chan statement.Statement, 1), replies: make(chan statement.Reply, 1), wake: make(chan struct{}, 1), ended: make(chan struct{}), database: database}
	c.nodesMu.Lock()
	n := c.nodes[instance]
	c.nodesMu.Unlock()
	c.wait.Go(func() {
		defer close(s.ended)
		_ = n.Serve(s, session.Client{Address: "caller", Credential: catalog.NewCredential([]byte(key))}, database) // ends with io.EOF, or because the instance is isolated
	})
	return s
}

func (s *callerStub) leave() {
	s.gone.Store(true)
	close(s.statements)
}

var errEnded = errors.New("session has ended")

func (s *callerStub) send(st statement.Statement) statement.Reply {
	select {
	case s.statements <- st:
	case <-s.ended:
		return statement.Reply{Err: errEnded}
	}
	select {
	case r := <-s.replies:
		return r
	case <-s.ended:
		return statement.Reply{Err: errEnded}
	}
}

// write sends a write and records its acknowledgement.
func (c *cluster) write(s *callerStub) error {
	id := fmt.Sprintf("w%d", c.nextID.Add(1))
	r := s.send(statement.Statement{ID: id, Kind: statement.Write, Operands: "x 1"})
	if r.Err == nil {
		c.sim.Acknowledge(id)
		s.acked = append(s.acked, id)
	}
	return r.Err
}

// read sends a read and checks that it sees every write that was acknowledged more than
// staleness before it and, if the database promises that, those of its own session.
func (c *cluster) read(s *callerStub, staleness time.Duration) error {
	started := c.sim.Clock()
	r := s.send(statement.Statement{ID: "r", Kind: statement.Read, Operands: "x"})
	if r.Err == nil {
		read := simulator.Read{Row: r.Rows[0], Kind: simulator.ConsistencyOf(s.database), Since: started - staleness}
		if read.Kind == catalog.ReadYourWrites {
			read.Own = s.acked
		}
		c.sim.CheckRead(read)
	}
	return r.Err
}

// eventually retries an operation until it succeeds and returns how long that took.
func (c *cluster) eventually(limit time.Duration, op func() error) time.Duration {
	c.t.Helper()
	started := time.Now()
	var err error
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if err = op(); err == nil {
			return poll.Success()
		}
		return poll.Continue("not served: %v", err)
	}, poll.WithTimeout(limit), poll.WithDelay(pollDelay))
	return time.Since(started)
}

// load writes and reads on all instances until it is stopped.
func (c *cluster) load(seed uint64) (stop func()) {
	return c.loadOn(seed, slices.Collect(maps.Keys(c.nodes))...)
}

// loadOn writes and reads on the named instances until it is stopped.
func (c *cluster) loadOn(seed uint64, instances ...string) (stop func()) {
	var ended atomic.Bool
	var work sync.WaitGroup
	for _, name := range instances {
		for _, kind := range []struct {
			database  string
			staleness time.Duration
		}{{simulator.Database, 0}, {simulator.Database + "_stale", 1500 * time.Millisecond}, {simulator.Database + "_own", 2500 * time.Millisecond}} {
			random := rand.New(rand.NewPCG(seed, uint64(len(name)+len(kind.database))))
			s := c.open(name, kind.database)
			work.Go(func() {
				defer func() { s.leave() }()
				for !ended.Load() {
					if c.pace != nil {
						c.pace(time.Duration(random.IntN(40)) * time.Millisecond)
					}
					var err error
					// Sessions with bounded staleness (1.5 s) only read.
					if random.IntN(3) == 0 && kind.staleness != 1500*time.Millisecond {
						err = c.write(s)
					} else {
						err = c.read(s, kind.staleness)
					}
					// Refused statements are expected under faults.
					if errors.Is(err, errEnded) {
						s = c.open(name, kind.database)
					}
				}
			})
		}
	}
	return func() { ended.Store(true); work.Wait() }
}

// readers starts n callers, spread over all instances, that each send a
// read-your-writes read twice a second until stopped, and counts answered and
// refused reads.
func (c *cluster) readers(n int) (answered, refused *atomic.Int32, stop func()) {
	answered, refused = new(atomic.Int32), new(atomic.Int32)
	var ended atomic.Bool
	var work sync.WaitGroup
	instances := slices.Sorted(maps.Keys(c.nodes))
	for i := range n {
		instance := instances[i%len(instances)]
		s := c.open(instance, simulator.Database+"_own")
		work.Go(func() {
			defer func() { s.leave() }()
			for !ended.Load() {
				switch err := c.read(s, 2500*time.Millisecond); {
				case err == nil:
					answered.Add(1)
				case errors.Is(err, errEnded):
					s = c.open(instance, simulator.Database+"_own")
				default:
					refused.Add(1)
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	return answered, refused, func() { ended.Store(true); work.Wait() }
}

// cutStore partitions all instances from the store until healStore.
func (c *cluster) cutStore() {
	for name := range c.nodes {
		c.sim.Partition(name, "store")
	}
}

func (c *cluster) healStore() {
	for name := range c.nodes {
		c.sim.Heal(name, "store")
	}
}

// writeGap returns how long it takes until a write succeeds on an instance, and
// fails the test if that exceeds the limit.
func (c *cluster) writeGap(instance string, limit time.Duration) time.Duration {
	c.t.Helper()
	s := c.open(instance, simulator.Database)
	defer s.leave()
	return c.eventually(limit, func() error { return c.write(s) })
}

// awaitWrite waits until i1 serves a write and reports whether it does within the limit.
func (c *cluster) awaitWrite(limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(pollDelay) {
		s := c.open("i1", simulator.Database)
		err := c.write(s)
		s.leave()
		if err == nil {
			return true
		}
	}
	return false
}
