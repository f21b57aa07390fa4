// Package node is one instance: it keeps the configuration and the members up
// to date, renews the evidence that reads rest on, serves callers and stops
// without cutting a request.
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
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/failurelog"
	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/hop"
	"github.com/papayarail/papayarail/proxy/metrics"
	"github.com/papayarail/papayarail/proxy/peer"
	"github.com/papayarail/papayarail/proxy/relay"
	"github.com/papayarail/papayarail/proxy/session"
	"github.com/papayarail/papayarail/proxy/statement"
)

// Store is what an instance reads from the platform's store.
type Store interface {
	group.RecordStore
	// Config waits up to wait for a configuration past the cursor. It returns
	// nil and the cursor to go on from if there is none. A cursor of zero reads
	// the configuration as it is.
	Config(ctx context.Context, cursor uint64, wait time.Duration) (*catalog.Config, uint64, error)
	// Members reads the registered members, by ID.
	Members(ctx context.Context) (catalog.Snapshot[catalog.Member], error)
	// Instances reads the announced instances, by name.
	Instances(ctx context.Context) (catalog.Snapshot[source.Candidate], error)
	// Announce stores how instances reach each other, Withdraw removes one.
	Announce(ctx context.Context, all []source.Candidate) error
	Withdraw(ctx context.Context, name string) error
}

// Settings of an instance.
type Settings struct {
	Instance      string
	FailureDomain string
	// PeerAddress is where this instance reads the store for others; empty if
	// it does not.
	PeerAddress string
	// Weight is its capacity for that.
	Weight float64
	// FirstStart means that all instances start for the first time.
	FirstStart bool
	// GracePeriod is the time between the order to stop and the end of the process.
	GracePeriod time.Duration
}

// Config is what a Node needs.
type Config struct {
	Settings Settings
	Store    Store
	Dialer   statement.Dialer
	Promoter group.Promoter
	// DialPeer connects to another instance; nil: over TCP.
	DialPeer peer.DialFunc
	Clock    boottime.Clock
	Log      *logrus.Entry
	Metrics  *metrics.Metrics
}

// Node is one instance.
type Node struct {
	cfg    Config
	config atomic.Pointer[catalog.Config]

	// lastMembers are the members of each service as last given to its group; used
	// by one reading at a time.
	lastMembers map[string]catalog.Members

	mu         sync.Mutex
	groups     map[string]*group.Group
	fleet      *gateway.Fleet
	sessions   map[*served]struct{}
	membersOK  bool
	loops      sync.WaitGroup
	stopGroups context.CancelFunc
	running    context.Context

	reader    *reader
	router    *hop.Router
	failures  *failurelog.Log
	isolation isolation
	stop      stopState
}

// New returns a Node that does nothing until Run.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg, groups: make(map[string]*group.Group), sessions: make(map[*served]struct{})}
	n.failures = failurelog.New(cfg.Log)
	n.reader = newReader(n)
	n.fleet = n.fleetOf(nil)
	n.router = hop.NewRouter(cfg.Settings.Instance, cfg.Settings.FailureDomain, cfg.DialPeer, cfg.Clock, cfg.Log)
	cfg.Metrics.Sessions(func() float64 { return float64(n.openSessions()) })
	return n
}

// Run keeps the instance up to date until ctx ends.
func (n *Node) Run(ctx context.Context) {
	n.mu.Lock()
	n.running, n.stopGroups = context.WithCancel(ctx)
	ctx = n.running
	n.mu.Unlock()
	n.loops.Go(func() { n.reader.followConfig(ctx) })
	n.loops.Go(func() { n.reader.follow(ctx) })
	n.loops.Go(func() { n.watchIsolation(ctx) })
	n.loops.Wait()
	n.router.Close()
}

// Ready reports whether the instance can serve new callers.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.Load() != nil && n.membersOK && !n.stop.ordered() && !n.isolation.isolated.Load()
}

// Route implements session.Directory.
func (n *Node) Route(database string) (catalog.Route, *group.Group, bool) {
	c := n.config.Load()
	if c == nil {
		return catalog.Route{}, nil, false
	}
	r, ok := c.Routes[database]
	if !ok {
		return r, nil, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return r, n.groups[r.Service], true
}

// PeerServer returns the server for the calls of other instances: readings of the
// store, and statements for which this instance is the gateway.
func (n *Node) PeerServer() *peer.Server {
	server := peer.NewServer(n.cfg.Log)
	relay.Register(server, n.reader)
	hop.Register(server, n, n.cfg.Clock)
	return server
}

// Executor implements hop.Groups.
func (n *Node) Executor(service string) (hop.Executor, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	g := n.groups[service]
	return g, g != nil
}

// Leaving implements hop.Groups.
func (n *Node) Leaving() bool { return n.stop.ordered() }

// TransactionIdle implements session.Directory.
func (n *Node) TransactionIdle() time.Duration {
	if c := n.config.Load(); c != nil {
		return c.TransactionIdle
	}
	return 0
}

func (n *Node) apply(c *catalog.Config) {
	old := n.config.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	staleness := make(map[string]time.Duration)
	for _, r := range c.Routes {
		staleness[r.Service] = max(staleness[r.Service], r.Staleness)
	}
	n.mu.Lock()
	for name, s := range c.Services {
		if g := n.groups[name]; g != nil {
			g.UpdateService(s)
		} else {
			n.addGroup(s)
		}
		n.groups[name].AcceptStaleness(staleness[name])
	}
	n.mu.Unlock()
	n.config.Store(c)
	n.cfg.Log.WithFields(logrus.Fields{"event": "config", "version": c.Version, "routes": len(c.Routes), "services": len(c.Services)}).Info("configuration in force")
}

// addGroup starts a group. n.mu is held.
func (n *Node) addGroup(s catalog.Service) {
	g := group.New(group.Config{
		Service: s.Name, Instance: n.cfg.Settings.Instance, FailureDomain: n.cfg.Settings.FailureDomain,
		Dialer: n.cfg.Dialer, Gateways: n.router, Reachability: outside{n}, RecordStore: n.cfg.Store, Promoter: n.cfg.Promoter, Clock: n.cfg.Clock,
		Log: n.cfg.Log.WithField("service", s.Name),
	}, s)
	g.SetFleet(n.fleet)
	n.groups[s.Name] = g
	ctx := n.running
	n.loops.Go(func() { g.Run(ctx) })
}

// fleetOf returns the fleet of the announced instances.
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

// dependency logs when a dependency is lost and when it is back.
type dependency struct {
	name  string
	log   *logrus.Entry
	clock boottime.Clock
	since time.Duration
}

func (n *Node) dependency(name string) *dependency {
	return &dependency{name: name, log: n.cfg.Log, clock: n.cfg.Clock}
}

func (d *dependency) note(err error) {
	switch {
	case err != nil && d.since == 0:
		d.since = d.clock()
		d.log.WithFields(logrus.Fields{"event": "dependency_lost", "dependency": d.name, "error": err.Error()}).Warn("call to the store failed")
	case err == nil && d.since != 0:
		d.log.WithFields(logrus.Fields{"event": "dependency_back", "dependency": d.name, "away_ms": (d.clock() - d.since).Milliseconds()}).Info("store answers again")
		d.since = 0
	}
}

// Caller is a caller's connection that the node can wake and close.
type Caller interface {
	statement.Caller
	// Wake makes a waiting Next return ErrIdle.
	Wake()
}

type served struct{ caller Caller }

// errFault means that a fault of the program ended a session.
var errFault = errors.New("session was ended by a fault of the program")

// Serve serves one caller until it leaves or the instance stops. A fault of the
// program ends that session alone.
func (n *Node) Serve(caller Caller, name, database string) (err error) {
	defer func() {
		if fault := recover(); fault != nil {
			n.cfg.Log.WithFields(logrus.Fields{"event": "session_fault", "session": name, "database": database, "error": fmt.Sprint(fault), "stack": string(debug.Stack())}).Error("session was ended by a fault of the program")
			err = errFault
		}
	}()
	entry := &served{caller}
	n.mu.Lock()
	n.sessions[entry] = struct{}{}
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.sessions, entry)
		n.mu.Unlock()
	}()
	env := session.Env{Directory: n, Clock: n.cfg.Clock, Log: n.cfg.Log, FailureLog: n.failures, Metrics: n.cfg.Metrics}
	return session.New(env, caller, name, database).Serve(n)
}

// CloseIdle implements session.ShutdownState.
func (n *Node) CloseIdle() bool { return n.stop.closing() || n.isolation.closing.Load() }

// EndTransactions implements session.ShutdownState.
func (n *Node) EndTransactions() bool { return n.stop.ending() }

// Cache is the dump of an instance.
type State struct {
	Instance      string                        `json:"instance"`
	Ready         bool                          `json:"ready"`
	ConfigVersion int64                         `json:"config_version"`
	Sessions      int                           `json:"sessions"`
	Groups        map[string]group.PrimaryState `json:"groups"`
}

// Cache returns what the instance believes now.
func (n *Node) State() State {
	state := State{Instance: n.cfg.Settings.Instance, Ready: n.Ready(), ConfigVersion: n.configVersion(), Sessions: n.openSessions(), Groups: make(map[string]group.PrimaryState)}
	for _, g := range n.allGroups() {
		state.Groups[g.Service()] = g.PrimaryState()
	}
	return state
}

// Configured reports whether a configuration is in force.
func (n *Node) Configured() bool { return n.config.Load() != nil }
