// Package node assembles one instance: the caller, peer and operator addresses
// around the owned upstreams, the coordinators and the configuration.
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
	// reconcileInterval bounds how late a change of placement is noticed that
	// no event announced.
	reconcileInterval = 250 * time.Millisecond
	// leaveDelay lets peers learn that this instance is leaving before it gives
	// its upstreams up.
	leaveDelay = 700 * time.Millisecond
	// drainLimit bounds a planned stop; open transactions after it are cut.
	drainLimit    = 60 * time.Second
	listenerCount = 3

	maxMessageBytes = 8 << 20
	startupTimeout  = 10 * time.Second
	idleTimeout     = time.Hour
	defaultCallers  = 20000
)

// Node is one running instance.
type Node struct {
	settings *settings.Settings
	log      *logrus.Entry
	began    time.Time
	birth    uint64

	view         *view.View
	links        *peer.Links
	store        *configstore.Store
	register     *registry.Registry
	upstreams    *upstreams
	coordinators *coordinators
	config       *config
	members      *members
	routeSync    atomic.Int64 // time of the last exchange of all routes
	callers      *caller.Server
	entry        *router.Router

	// workCtx ends after the drain; it carries the owned upstreams and coordinators.
	workCtx context.Context
	work    sync.WaitGroup
	kicks   chan struct{}
	leaving atomic.Bool
	drain   chan struct{}
	once    sync.Once
	kill    chan struct{}
	killed  sync.Once
	opened  *Listeners
}

// Listeners are the open sockets of an instance.
type Listeners struct{ Callers, Peers, Operators net.Listener }

// UseListeners makes Run serve on sockets that are open already, in place of
// the addresses of the settings.
func (n *Node) UseListeners(l Listeners) { n.opened = &l }

// New prepares an instance; Run starts it.
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
		settings: s,
		log:      log.WithField("instance", s.Name),
		began:    time.Now(),
		birth:    uint64(time.Now().UnixMicro()),
		view:     view.New(view.Peer{Name: s.Name, FailureDomain: s.FailureDomain, Address: s.Advertised(), OperatorAddress: s.OperatorAddress}),
		store:    configstore.New(store.Table, store.Objects),
		register: registry.New(store.Table, s.Name),
		kicks:    make(chan struct{}, 1),
		drain:    make(chan struct{}),
		kill:     make(chan struct{}),
	}
	n.links = peer.NewLinks(upstream.LocalAddr(s.Source()), n.linkFailed, n.log)
	n.upstreams = newUpstreams(n)
	n.coordinators = newCoordinators(n)
	n.config = newConfig(n)
	n.members = newMembers(n)
	n.entry = router.New(s.FailureDomain, n.view, gateway{n}, n.now, n.log)
	n.callers = caller.NewServer(n.callerSettings(), n.entry)
	return n, nil
}

func (n *Node) callerSettings() caller.Settings {
	limit := n.settings.MaxCallers
	if limit == 0 {
		limit = defaultCallers
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

// now is the instance's monotonic clock; it starts above zero, because zero
// means "never" to its users.
func (n *Node) now() time.Duration { return time.Since(n.began) + time.Millisecond }

func (n *Node) hello() peer.Hello {
	return peer.Hello{Name: n.settings.Name, OperatorAddress: n.settings.OperatorAddress}
}

// Drain starts the planned stop; it returns at once.
func (n *Node) Drain() { n.once.Do(func() { close(n.drain) }) }

// Kill ends the instance without the planned stop; Run returns soon after.
func (n *Node) Kill() { n.killed.Do(func() { close(n.kill) }) }

// Run serves until ctx ends or Drain is called, stops as planned, and returns.
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
	var failure error
	select {
	case <-ctx.Done():
		n.stop(listeners)
	case <-n.drain:
		n.stop(listeners)
	case <-n.kill:
	case failure = <-failed:
	}
	stopWork()
	n.links.Close()
	n.work.Wait()
	n.log.Info("instance stopped")
	return failure
}

func (n *Node) listen() (l Listeners, err error) {
	if n.opened != nil {
		return *n.opened, nil
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
	links := &peer.Server{Self: n.hello, Allowed: allowed, Log: n.log, NewHandler: n.newHandler}
	operators := operator.New(n, allowed, n.log)
	n.work.Go(func() { report(failed, links.Serve(ctx, l.Peers)) })
	n.work.Go(func() { report(failed, operators.Serve(ctx, l.Operators)) })
	n.work.Go(func() { report(failed, n.callers.Serve(ctx, l.Callers)) })
	n.work.Go(func() { n.config.run(ctx) })
	n.work.Go(func() { n.members.run(ctx) })
	n.work.Go(func() { n.members.readList(ctx) })
	n.work.Go(func() { n.reconcile(ctx) })
}

func report(failed chan<- error, err error) {
	if err != nil {
		failed <- Class.Wrap(err)
	}
}

func (n *Node) newHandler(remote string) peer.Handler {
	return handler{node: n, link: "link/" + remote}
}

// kick asks for a reconciliation now.
func (n *Node) kick() {
	select {
	case n.kicks <- struct{}{}:
	default:
	}
}

func (n *Node) reconcile(ctx context.Context) {
	for {
		n.coordinators.reconcile()
		n.upstreams.reconcile()
		n.drainIfUnwanted()
		select {
		case <-ctx.Done():
			return
		case <-n.kicks:
		case <-time.After(reconcileInterval):
		}
	}
}

// drainIfUnwanted starts the planned stop once the configuration says that this
// instance is leaving or no longer lists it.
func (n *Node) drainIfUnwanted() {
	_, doc := n.view.Document()
	if doc == nil {
		return
	}
	self, found := doc.Instance(n.settings.Name)
	if !found || self.State == "leaving" {
		n.Drain()
	}
}

// stop is the planned stop. Peers learn first that this instance is leaving, so
// that they send new work to the next owners; then the upstreams are given up,
// while callers end their transactions.
func (n *Node) stop(l Listeners) {
	n.log.Info("planned stop begins")
	ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	n.leaving.Store(true)
	l.Callers.Close()
	n.members.leave()
	callers := make(chan error, 1)
	go func() { callers <- n.callers.Drain(ctx) }()
	pause(ctx, leaveDelay)
	n.view.Leave()
	n.upstreams.stop()
	if err := <-callers; err != nil {
		n.log.WithError(err).Warn("callers were left when the time limit of the planned stop ran out")
	}
	for len(n.upstreams.all("")) > 0 && pause(ctx, reconcileInterval/10) {
	}
}

// linkFailed has the membership probe the peer whose data link has failed.
func (n *Node) linkFailed(address string) {
	for _, p := range n.view.Peers() {
		if p.Address == address {
			n.members.linkFailed(p.Name)
		}
	}
}
