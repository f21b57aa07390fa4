// Package node assembles and runs one instance: it listens for callers, peers and
// operators, keeps the owned upstreams and the failover coordinators in line with
// the placement, and connects the membership and configuration gossip to them.
package node

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/instance/operator"
	"github.com/papayarail/papayarail/instance/peer"
	"github.com/papayarail/papayarail/instance/router"
	"github.com/papayarail/papayarail/instance/settings"
	"github.com/papayarail/papayarail/instance/view"
	"github.com/papayarail/papayarail/store/awsstore"
	"github.com/papayarail/papayarail/store/configstore"
	"github.com/papayarail/papayarail/store/registry"
	"github.com/papayarail/papayarail/wire/caller"
	"github.com/papayarail/papayarail/wire/upstream"
)

// Class groups the errors of this package.
var Class = errs.Class("node")

const (
	// reconcileInterval is the time between two reconciliations if nothing triggers one.
	// It bounds the delay of placement changes that trigger none.
	reconcileInterval = 250 * time.Millisecond
	// leaveDelay is the time that peers have to learn that this instance is leaving
	// before it gives up its upstreams.
	leaveDelay = 700 * time.Millisecond
	// drainTimeout bounds the planned stop; transactions still open then are
	// rolled back.
	drainTimeout  = 60 * time.Second
	listenerCount = 3 // for callers, peers and operators

	// Limits of caller connections.
	maxMessageBytes   = 8 << 20
	startupTimeout    = 10 * time.Second
	idleTimeout       = time.Hour
	defaultMaxCallers = 20000
)

// Node is one running instance.
type Node struct {
	settings    *settings.Settings
	log         *logrus.Entry
	startedAt   time.Time
	incarnation uint64

	view          *view.View
	links         *peer.Links
	store         *configstore.Store
	registry      *registry.Registry
	upstreams     *upstreams
	coordinators  *coordinators
	config        *configGossip
	members       *members
	lastRouteSync atomic.Int64 // time of the last exchange of all routes, in ns of now; 0 if none
	callers       *caller.Server
	router        *router.Router

	// workCtx is the context of all background work, also that of the owned upstreams
	// and the coordinators. It ends after the planned stop.
	workCtx          context.Context
	goroutines       sync.WaitGroup
	reconcileTrigger chan struct{}
	leaving          atomic.Bool
	drainRequested   chan struct{}
	drainOnce        sync.Once
	killRequested    chan struct{}
	killOnce         sync.Once
	openListeners    *Listeners
}

// Listeners are the open sockets of an instance.
type Listeners struct{ Callers, Peers, Operators net.Listener }

// UseListeners makes Run serve on sockets that are already open instead of the
// addresses in the settings. It must be called before Run.
func (n *Node) UseListeners(l Listeners) { n.openListeners = &l }

// New returns an instance that Run starts.
func New(s *settings.Settings, log *logrus.Logger) (*Node, error) {
	store, err := awsstore.New(awsstore.Settings{
		TableURL:      s.Platform.TableURL,
		ObjectURL:     s.Platform.ObjectURL,
		Table:         s.Platform.Table,
		Bucket:        s.Platform.Bucket,
		SourceAddress: upstream.LocalAddr(s.Source()),
	})
	if err != nil {
		return nil, Class.Wrap(err)
	}
	n := &Node{
		settings:         s,
		log:              log.WithField("instance", s.Name),
		startedAt:        time.Now(),
		incarnation:      uint64(time.Now().UnixMicro()),
		view:             view.New(view.Peer{Name: s.Name, FailureDomain: s.FailureDomain, Address: s.Advertised(), OperatorAddress: s.OperatorAddress}),
		store:            configstore.New(store.Table, store.Objects),
		registry:         registry.New(store.Table, s.Name),
		reconcileTrigger: make(chan struct{}, 1),
		drainRequested:   make(chan struct{}),
		killRequested:    make(chan struct{}),
	}
	n.links = peer.NewLinks(upstream.LocalAddr(s.Source()), n.linkFailed, n.log)
	n.upstreams = newUpstreams(n)
	n.coordinators = newCoordinators(n)
	n.config = newConfigGossip(n)
	n.members = newMembers(n)
	n.router = router.New(s.FailureDomain, n.view, gateway{n}, n.now, n.log)
	n.callers = caller.NewServer(n.callerSettings(), n.router)
	return n, nil
}

func (n *Node) callerSettings() caller.Settings {
	limit := n.settings.MaxCallers
	if limit == 0 {
		limit = defaultMaxCallers
	}
	return caller.Settings{
		MaxMessageBytes: maxMessageBytes,
		MaxConnections:  limit,
		StartupTimeout:  startupTimeout,
		IdleTimeout:     idleTimeout,
		Log:             n.log,
		AllowedNetworks: settings.Networks(n.settings.CallerNetworks),
	}
}

// now is the instance's monotonic clock. It starts above zero, because the code that
// uses the clock takes the time zero for "never".
func (n *Node) now() time.Duration { return time.Since(n.startedAt) + time.Millisecond }

// describe returns the answer to the hello and ping messages of peers.
func (n *Node) describe() peer.Hello {
	return peer.Hello{Name: n.settings.Name, OperatorAddress: n.settings.OperatorAddress}
}

// Drain starts the planned stop and returns at once.
func (n *Node) Drain() { n.drainOnce.Do(func() { close(n.drainRequested) }) }

// Kill ends the instance without the planned stop; Run returns soon after.
func (n *Node) Kill() { n.killOnce.Do(func() { close(n.killRequested) }) }

// Run serves until ctx ends or Drain is called, and returns after the planned stop.
// Without the planned stop it returns after Kill, and with an error if a listener
// can't be opened or a server fails.
func (n *Node) Run(ctx context.Context) error {
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	n.workCtx = workCtx
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	failed := make(chan error, listenerCount)
	n.serve(workCtx, listeners, failed)
	n.log.WithFields(logrus.Fields{
		"callers":   listeners.Callers.Addr().String(),
		"peers":     listeners.Peers.Addr().String(),
		"operators": listeners.Operators.Addr().String(),
	}).Info("instance started")
	var serveErr error
	select {
	case <-ctx.Done():
		n.stop(listeners)
	case <-n.drainRequested:
		n.stop(listeners)
	case <-n.killRequested:
	case serveErr = <-failed:
	}
	stopWork()
	n.links.Close()
	n.goroutines.Wait()
	n.log.Info("instance stopped")
	return serveErr
}

func (n *Node) listen() (l Listeners, err error) {
	if n.openListeners != nil {
		return *n.openListeners, nil
	}
	l.Callers, err = net.Listen("tcp", n.settings.CallerAddress)
	if err != nil {
		return l, Class.Wrap(err)
	}
	l.Peers, err = net.Listen("tcp", n.settings.PeerAddress)
	if err != nil {
		return l, Class.Wrap(errors.Join(err, l.Callers.Close()))
	}
	l.Operators, err = net.Listen("tcp", n.settings.OperatorAddress)
	if err != nil {
		return l, Class.Wrap(errors.Join(err, l.Callers.Close(), l.Peers.Close()))
	}
	return l, nil
}

func (n *Node) serve(ctx context.Context, l Listeners, failed chan<- error) {
	allowed := settings.Networks(n.settings.AllowedNetworks)
	links := &peer.Server{Self: n.describe, Allowed: allowed, Log: n.log, NewHandler: n.newHandler}
	operators := operator.New(n, allowed, n.log)
	n.goroutines.Go(func() { sendError(failed, links.Serve(ctx, l.Peers)) })
	n.goroutines.Go(func() { sendError(failed, operators.Serve(ctx, l.Operators)) })
	n.goroutines.Go(func() { sendError(failed, n.callers.Serve(ctx, l.Callers)) })
	n.goroutines.Go(func() { n.config.run(ctx) })
	n.goroutines.Go(func() { n.members.run(ctx) })
	n.goroutines.Go(func() { n.members.pollInstanceList(ctx) })
	n.goroutines.Go(func() { n.reconcile(ctx) })
}

func sendError(failed chan<- error, err error) {
	if err != nil {
		failed <- Class.Wrap(err)
	}
}

func (n *Node) newHandler(remote string) peer.Handler {
	return handler{node: n, link: "link/" + remote}
}

// triggerReconcile requests a reconciliation without delay.
func (n *Node) triggerReconcile() {
	select {
	case n.reconcileTrigger <- struct{}{}:
	default:
	}
}

// reconcile matches the coordinators and upstreams to the placement at each trigger
// and at reconcileInterval, until ctx ends.
func (n *Node) reconcile(ctx context.Context) {
	for {
		n.coordinators.reconcile()
		n.upstreams.reconcile()
		n.drainIfRemoved()
		select {
		case <-ctx.Done():
			return
		case <-n.reconcileTrigger:
		case <-time.After(reconcileInterval):
		}
	}
}

// drainIfRemoved starts the planned stop if the configuration marks this instance
// as leaving or does not list it.
func (n *Node) drainIfRemoved() {
	_, doc := n.view.Document()
	if doc == nil {
		return
	}
	self, found := doc.Instance(n.settings.Name)
	if !found || self.State == "leaving" {
		n.Drain()
	}
}

// stop performs the planned stop. It first tells the peers that this instance is
// leaving, so that they send new work to the next owners, and then gives up the
// upstreams while callers end their transactions.
func (n *Node) stop(l Listeners) {
	n.log.Info("planned stop begins")
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	n.leaving.Store(true)
	l.Callers.Close()
	n.members.leave()
	callers := make(chan error, 1)
	go func() { callers <- n.callers.Drain(ctx) }()
	sleep(ctx, leaveDelay)
	n.view.Leave()
	n.upstreams.stop()
	if err := <-callers; err != nil {
		n.log.WithError(err).Warn("callers were left when the time limit of the planned stop ran out")
	}
	for len(n.upstreams.matching("")) > 0 && sleep(ctx, reconcileInterval/10) {
	}
}

// linkFailed makes the membership probe the peer at address, whose data link has
// failed.
func (n *Node) linkFailed(address string) {
	for _, p := range n.view.Peers() {
		if p.Address == address {
			n.members.linkFailed(p.Name)
		}
	}
}
