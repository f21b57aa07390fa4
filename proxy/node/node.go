// Package node runs one proxy instance: it keeps its snapshot of the configuration,
// the members and the primacy records (see group.RecordStore) fresh, serves callers,
// takes itself out of the load balancer when it is isolated, and shuts down gracefully.
package node

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/gateway"
	"github.com/papayarail/papayarail/core/ratelimit"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/failurelog"
	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/hop"
	"github.com/papayarail/papayarail/proxy/limits"
	"github.com/papayarail/papayarail/proxy/metrics"
	"github.com/papayarail/papayarail/proxy/peer"
	"github.com/papayarail/papayarail/proxy/relay"
	"github.com/papayarail/papayarail/proxy/session"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// Store is an instance's view of the platform's store.
type Store interface {
	group.RecordStore
	// Config waits up to wait for a configuration newer than the cursor; the
	// configuration is nil if there is none. It returns the cursor for the next call,
	// also with an error. The zero cursor returns the current configuration at once.
	Config(ctx context.Context, cursor catalog.ConfigCursor, wait time.Duration) (*catalog.Config, catalog.ConfigCursor, error)
	// Members reads the registered members, keyed by ID.
	Members(ctx context.Context) (catalog.Snapshot[catalog.Member], error)
	// Instances reads the announced instances, keyed by name.
	Instances(ctx context.Context) (catalog.Snapshot[source.Candidate], error)
	// Announce stores the peer addresses of instances.
	Announce(ctx context.Context, all []source.Candidate) error
	// Withdraw removes the announcement of one instance.
	Withdraw(ctx context.Context, name string) error
}

// Settings of an instance.
type Settings struct {
	Instance      string
	FailureDomain string
	// Region is the region of the failure domain; empty if the deployment has only one.
	Region string
	// PeerAddress is the host:port at which other instances call this one; empty
	// if it serves no peers and uses none.
	PeerAddress string
	// Weight is the capacity of this instance for serving peers, relative to others.
	Weight float64
	// FirstStart means that the whole deployment starts for the first time. An instance
	// that serves peers then waits a random time before its first read of the store's
	// announced instances.
	FirstStart bool
	// QuotaWindow is the sliding window of the limits of workspaces; 0 means that there are
	// no limits. In a window, operations may exceed a limit by the fraction QuotaOverrun
	// and the number QuotaSlack.
	QuotaWindow              time.Duration
	QuotaOverrun, QuotaSlack float64
	Periods
}

// Periods are the settings that may change while an instance runs.
type Periods struct {
	// GracePeriod is the time from the request to stop until the process must have exited.
	GracePeriod time.Duration
	// DrainTime is the time for which a member takes statements after it has reported that it
	// leaves; 0 means that it takes them until it ends.
	DrainTime time.Duration
}

// Config holds the dependencies and settings of a Node.
type Config struct {
	Settings Settings
	Store    Store
	Dialer   statement.Dialer
	Promoter group.Promoter
	// DialPeer connects to another instance; nil means TCP.
	DialPeer peer.DialFunc
	Clock    boottime.Clock
	Log      *logrus.Entry
	Metrics  *metrics.Metrics
}

// Node is one proxy instance. It is safe for concurrent use.
type Node struct {
	cfg    Config
	config atomic.Pointer[catalog.Config] // the operators' configuration in force; nil until there is one

	// lastMembers holds the members last passed to the group of each service. It is
	// guarded by reader.applyMu.
	lastMembers map[string]catalog.Members

	mu             sync.Mutex
	periods        Periods // guarded by mu
	groups         map[string]*group.Group
	fleet          *gateway.Fleet
	sessions       map[*openSession]struct{}
	membersApplied bool
	started        chan struct{} // closed once membersApplied is set
	background     sync.WaitGroup
	cancelRun      context.CancelFunc
	runCtx         context.Context

	reader    *reader
	router    *hop.Router
	limiter   *limits.Limiter
	failures  *failurelog.Log
	decisions *failurelog.Decisions
	isolation isolation
	// roundTrips are the measured round trips to other failure domains.
	roundTrips roundTrips
	stop       stopState
}

// New returns a Node that does nothing until Run.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg, periods: cfg.Settings.Periods, groups: make(map[string]*group.Group), sessions: make(map[*openSession]struct{}), started: make(chan struct{})}
	n.failures = failurelog.New(cfg.Log)
	n.decisions = failurelog.NewDecisions(cfg.Log)
	n.reader = newReader(n)
	n.fleet = n.fleetOf(nil)
	n.router = hop.NewRouter(cfg.Settings.Instance, cfg.Settings.FailureDomain, cfg.DialPeer, cfg.Clock, cfg.Log)
	n.router.SetReachability(reachabilityObserver{n})
	n.router.SetRefusalCounter(cfg.Metrics)
	n.limiter = limits.New(limits.Config{Instance: cfg.Settings.Instance, FailureDomain: cfg.Settings.FailureDomain, Standalone: cfg.Settings.PeerAddress == "", Dial: cfg.DialPeer, Clock: cfg.Clock, Log: cfg.Log, Metrics: cfg.Metrics,
		Params: ratelimit.Params{Window: cfg.Settings.QuotaWindow, Overrun: cfg.Settings.QuotaOverrun, Slack: cfg.Settings.QuotaSlack}})
	cfg.Metrics.RegisterSessionGauge(func() float64 { return float64(n.openSessions()) })
	cfg.Metrics.RegisterConfigAgeGauge(func() float64 {
		age, _ := n.reader.cache.ConfigAge()
		return age.Seconds()
	})
	n.registerPaceGauges()
	return n
}

// SetPeriods replaces the periods. A stop that has begun keeps its grace period.
func (n *Node) SetPeriods(p Periods) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.periods = p
	for _, g := range n.groups {
		g.SetDrainTime(p.DrainTime)
	}
}

// Run keeps the instance up to date until ctx ends or Stop has finished.
func (n *Node) Run(ctx context.Context) {
	n.mu.Lock()
	n.runCtx, n.cancelRun = context.WithCancel(ctx)
	ctx = n.runCtx
	n.mu.Unlock()
	n.background.Go(func() { n.reader.followConfig(ctx) })
	n.background.Go(func() { n.reader.run(ctx) })
	n.background.Go(func() { n.watchIsolation(ctx) })
	n.background.Go(func() { n.measureRoundTrips(ctx) })
	n.background.Go(func() { n.limiter.Run(ctx) })
	n.background.Wait()
	n.router.Close()
}

// Ready reports whether the instance can serve new callers.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.Load() != nil && n.membersApplied && !n.stop.ordered() && !n.isolation.isolated.Load()
}

// Access implements session.Directory.
func (n *Node) Access(database string, key catalog.KeyDigest) (catalog.Access, *group.Group) {
	a := n.config.Load().Access(database, key)
	if a.Decision != catalog.Granted {
		return a, nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return a, n.groups[a.Route.Service]
}

// PeerServer returns the RPC server for other instances: it passes on snapshots of
// the store and runs statements for which this instance is the gateway.
func (n *Node) PeerServer() *peer.Server {
	server := peer.NewServer(n.cfg.Log)
	relay.Register(server, n.reader)
	hop.Register(server, n, n.cfg.Clock)
	n.limiter.Register(server)
	return server
}

// Executor implements hop.Instance.
func (n *Node) Executor(service string) (hop.Executor, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	g := n.groups[service]
	return g, g != nil
}

// Leaving implements hop.Instance.
func (n *Node) Leaving() bool { return n.stop.ordered() }

// AwaitStart implements hop.Instance.
func (n *Node) AwaitStart(timeout time.Duration) bool {
	select {
	case <-n.started:
		return true
	default:
	}
	timer := time.NewTimer(max(timeout, 0))
	defer timer.Stop()
	select {
	case <-n.started:
		return true
	case <-timer.C:
		return false
	}
}

// TransactionIdle implements session.Directory.
func (n *Node) TransactionIdle() time.Duration {
	if c := n.config.Load(); c != nil {
		return c.TransactionIdle
	}
	return 0
}

func (n *Node) applyConfig(c *catalog.Config) {
	old := n.config.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	staleness := make(map[string]time.Duration)
	profiles := make(map[string]upstream.Profile)
	for _, r := range c.Routes {
		staleness[r.Service] = max(staleness[r.Service], r.Staleness)
		p := profiles[r.Service]
		p.Add(r, c.Identified())
		profiles[r.Service] = p
	}
	n.router.SetWorkspaces(c.Workspaces != nil)
	n.mu.Lock()
	for name, s := range c.Services {
		if g := n.groups[name]; g != nil {
			g.UpdateService(s)
		} else {
			n.addGroup(s)
		}
		n.groups[name].SetMaxStaleness(staleness[name])
		n.groups[name].SetProfile(profiles[name])
	}
	n.mu.Unlock()
	n.cfg.Metrics.SetWorkspaces(catalog.HighestLimits(c.Workspaces, metrics.MaxWorkspaces))
	n.limiter.SetWorkspaces(c.Workspaces)
	n.config.Store(c)
	n.cfg.Log.WithFields(logrus.Fields{"event": "config", "version": c.Version, "routes": len(c.Routes), "services": len(c.Services),
		"callers_identified": c.Identified(), "workspaces": len(c.Workspaces)}).Info("configuration in force")
	if old.Identified() && !c.Identified() {
		n.cfg.Log.WithFields(logrus.Fields{"event": "identification_ended", "version": c.Version}).Warn("the configuration no longer lists workspaces; callers are served without a key")
	}
}

// addGroup starts the group of a service. n.mu is held.
func (n *Node) addGroup(s catalog.Service) {
	g := group.New(group.Config{
		Service: s.Name, Instance: n.cfg.Settings.Instance, FailureDomain: n.cfg.Settings.FailureDomain,
		Dialer: n.cfg.Dialer, Gateways: n.router, Reachability: reachabilityObserver{n}, PoolCounters: n.cfg.Metrics, RoundTrip: n.roundTrips.get, RecordStore: n.cfg.Store, Promoter: n.cfg.Promoter, Metrics: n.cfg.Metrics, Clock: n.cfg.Clock,
		Log: n.cfg.Log.WithField("service", s.Name), QueueMetrics: n.cfg.Metrics, DecisionLog: n.decisions, DrainTime: n.periods.DrainTime,
	}, s)
	g.SetFleet(n.fleet)
	n.groups[s.Name] = g
	ctx := n.runCtx
	n.background.Go(func() { g.Run(ctx) })
}

// fleetOf returns the fleet of the announced instances, or of this instance alone
// if it uses no peers.
func (n *Node) fleetOf(all []source.Candidate) *gateway.Fleet {
	if n.cfg.Settings.PeerAddress == "" {
		return gateway.NewStandalone(n.cfg.Settings.Instance)
	}
	return gateway.NewFleet(n.cfg.Settings.Instance, all)
}

func (n *Node) allGroups() []*group.Group {
	n.mu.Lock()
	defer n.mu.Unlock()
	groups := make([]*group.Group, 0, len(n.groups))
	for _, g := range n.groups {
		groups = append(groups, g)
	}
	return groups
}

// dependencyMonitor logs when calls to a dependency begin to fail and when they
// succeed again. The store is the only dependency.
type dependencyMonitor struct {
	name   string
	log    *logrus.Entry
	clock  boottime.Clock
	lostAt time.Duration // when calls began to fail; 0 while they succeed
}

func (n *Node) newDependencyMonitor(name string) *dependencyMonitor {
	return &dependencyMonitor{name: name, log: n.cfg.Log, clock: n.cfg.Clock}
}

func (d *dependencyMonitor) observe(err error) {
	switch {
	case err != nil && d.lostAt == 0:
		d.lostAt = d.clock()
		d.log.WithFields(logrus.Fields{"event": "dependency_lost", "dependency": d.name, "error": err.Error()}).Warn("call to the store failed")
	case err == nil && d.lostAt != 0:
		d.log.WithFields(logrus.Fields{"event": "dependency_back", "dependency": d.name, "away_ms": (d.clock() - d.lostAt).Milliseconds()}).Info("store answers again")
		d.lostAt = 0
	}
}

// Caller is a caller's connection that the node can interrupt.
type Caller interface {
	statement.Caller
	// Wake makes a blocked Next return statement.ErrIdle.
	Wake()
}

type openSession struct{ caller Caller }

// errSessionPanic means that a panic ended a session.
var errSessionPanic = errors.New("session ended by a panic")

// Serve serves one caller until it disconnects or the instance stops. A panic ends
// only that session.
func (n *Node) Serve(caller Caller, client session.Client, database string) (err error) {
	defer func() {
		if fault := recover(); fault != nil {
			n.cfg.Log.WithFields(logrus.Fields{"event": "session_fault", "caller": client.Address, "database": database, "error": fmt.Sprint(fault), "stack": string(debug.Stack())}).Error("panic in a session; session ended")
			err = errSessionPanic
		}
	}()
	entry := &openSession{caller}
	n.mu.Lock()
	n.sessions[entry] = struct{}{}
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.sessions, entry)
		n.mu.Unlock()
	}()
	env := session.Env{Directory: n, Clock: n.cfg.Clock, Log: n.cfg.Log, FailureLog: n.failures, Metrics: n.cfg.Metrics, Limiter: n.limiter}
	return session.New(env, caller, client, database).Serve(n)
}

// CloseIdle implements session.ShutdownState.
func (n *Node) CloseIdle() bool { return n.stop.closing() || n.isolation.closing.Load() }

// EndTransactions implements session.ShutdownState.
func (n *Node) EndTransactions() bool { return n.stop.ending() }

// State is a diagnostic dump of an instance.
type State struct {
	Instance      string `json:"instance"`
	Ready         bool   `json:"ready"`
	ConfigVersion int64  `json:"config_version"`
	// CallersIdentified means that callers need a key, except on open routes, and Workspaces is the
	// number of valid workspaces.
	CallersIdentified bool                          `json:"callers_identified"`
	Workspaces        int                           `json:"workspaces"`
	Sessions          int                           `json:"sessions"`
	Groups            map[string]group.PrimaryState `json:"groups"`
	// Members holds the states of the members of each group by ID.
	Members map[string]map[string]group.MemberState `json:"members"`
	// Pools holds the connections to each member, by service and member.
	Pools  map[string]map[string]upstream.PoolState `json:"pools"`
	Limits *limits.State                            `json:"limits,omitempty"`
}

// State returns a diagnostic dump of the present state.
func (n *Node) State() State {
	state := State{Instance: n.cfg.Settings.Instance, Ready: n.Ready(), ConfigVersion: n.configVersion(), Sessions: n.openSessions(), Groups: make(map[string]group.PrimaryState),
		Members: make(map[string]map[string]group.MemberState), Pools: make(map[string]map[string]upstream.PoolState), Limits: n.limiter.State()}
	if c := n.config.Load(); c != nil {
		state.CallersIdentified, state.Workspaces = c.Identified(), len(c.Workspaces)
	}
	for _, g := range n.allGroups() {
		state.Groups[g.Service()] = g.PrimaryState()
		state.Pools[g.Service()] = g.PoolStates()
		state.Members[g.Service()] = g.MemberStates()
	}
	return state
}

// registerPaceGauges registers the gauges of the members below full use.
func (n *Node) registerPaceGauges() {
	sum := func(of func(group.MemberState) int) func() float64 {
		return func() float64 {
			total := 0
			for _, g := range n.allGroups() {
				for _, m := range g.MemberStates() {
					if m.PaceCause != "" {
						total += of(m)
					}
				}
			}
			return float64(total)
		}
	}
	n.cfg.Metrics.RegisterPaceGauges(sum(func(group.MemberState) int { return 1 }),
		sum(func(m group.MemberState) int { return m.Limit }), sum(func(m group.MemberState) int { return m.Full }))
}

// Configured reports whether a configuration is in force.
func (n *Node) Configured() bool { return n.config.Load() != nil }
