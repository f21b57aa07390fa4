// Package local runs a whole deployment in one process on loopback addresses: the
// proxy instances and in-memory stand-ins for the platform and the database groups.
package local

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/instance/node"
	"github.com/papayarail/papayarail/instance/settings"
	"github.com/papayarail/papayarail/standin/dbgroup"
	"github.com/papayarail/papayarail/standin/platformd"
	"github.com/papayarail/papayarail/store/awsstore"
	"github.com/papayarail/papayarail/store/configstore"
)

// Class groups the errors of this package.
var Class = errs.Class("local")

const (
	tableName  = "papayarail"
	bucketName = "papayarail"
	// Ports of the first instance if ports are fixed; the others follow.
	firstCallerPort   = 6432
	firstPeerPort     = 7432
	firstOperatorPort = 8432
)

// Config configures a local deployment.
type Config struct {
	Document *fleet.Document
	// FixedPorts keeps the database addresses of the document and assigns the
	// instances consecutive ports from 6432, 7432 and 8432 for callers, peers and
	// operators. Otherwise, free ports are used.
	FixedPorts bool
	Log        *logrus.Logger // nil discards the log
	// StatementDelay is the service time of a statement; 0 means the stand-in's default.
	StatementDelay time.Duration
	// ReplicationDelay is the lag of replicas; 0 means the stand-in's default.
	ReplicationDelay time.Duration
	// DatabasesOnly starts the database groups without the platform and the instances.
	DatabasesOnly bool
}

// Instance is one running instance of the proxy.
type Instance struct {
	Name     string
	Settings *settings.Settings
	Node     *node.Node
	done     chan error
}

// Stop starts the planned stop, waits until the instance has ended, and returns the
// error of its run. It may be called once.
func (i *Instance) Stop() error {
	i.Node.Drain()
	return <-i.done
}

// Fleet is a running deployment. Its Document holds the addresses in use.
type Fleet struct {
	Document  *fleet.Document
	Platform  *platformd.Server
	Instances []*Instance
	Members   map[string]*Member // by name

	config Config
	store  *configstore.Store
	work   sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// Member is one running member of a database group.
type Member struct {
	*dbgroup.Member
	config dbgroup.Config
	cancel context.CancelFunc
	done   chan struct{}
}

// Kill stops the member without notice to its peers and waits until it has ended.
func (m *Member) Kill() {
	m.cancel()
	<-m.done
}

// Start starts a deployment, which runs until ctx ends or Close is called. WaitReady
// waits until it serves.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	if c.Log == nil {
		c.Log = logrus.New()
		c.Log.SetOutput(io.Discard)
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{Document: cloneDocument(c.Document), Members: make(map[string]*Member), config: c, ctx: ctx, cancel: cancel}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func cloneDocument(d *fleet.Document) *fleet.Document {
	raw, err := json.Marshal(d)
	if err != nil {
		panic(err) // a Document can always be encoded
	}
	out := &fleet.Document{}
	if err := json.Unmarshal(raw, out); err != nil {
		panic(err)
	}
	return out
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.startMembers(ctx); err != nil {
		return err
	}
	if f.config.DatabasesOnly {
		return nil
	}
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	if _, err := f.Apply(ctx, 0); err != nil {
		return err
	}
	for i := range f.Document.Instances {
		if err := f.startInstance(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startMembers(ctx context.Context) error {
	for i := range f.Document.Services {
		s := &f.Document.Services[i]
		var domains, addresses []string
		var listeners []net.Listener
		for j := range s.Databases {
			db := &s.Databases[j]
			l, err := f.listen(db.Address)
			if err != nil {
				return err
			}
			db.Address = l.Addr().String()
			domains = append(domains, db.FailureDomain)
			addresses = append(addresses, db.Address)
			listeners = append(listeners, l)
		}
		for j, memberConfig := range dbgroup.GroupConfigs(s.Name, domains, addresses) {
			memberConfig.Listener = listeners[j]
			if err := f.startMember(ctx, memberConfig, s.Databases[j]); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) listen(address string) (net.Listener, error) {
	if !f.config.FixedPorts {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	return l, Class.Wrap(err)
}

func (f *Fleet) startMember(ctx context.Context, memberConfig dbgroup.Config, db fleet.Database) error {
	memberConfig.MaxConnections = db.Connections
	memberConfig.Slots = db.Slots
	if f.config.StatementDelay > 0 {
		memberConfig.StatementDelayUS = f.config.StatementDelay.Microseconds()
	}
	if f.config.ReplicationDelay > 0 {
		memberConfig.ReplicationDelayMS = f.config.ReplicationDelay.Milliseconds()
	}
	return f.runMember(ctx, memberConfig)
}

func (f *Fleet) runMember(ctx context.Context, memberConfig dbgroup.Config) error {
	m, err := dbgroup.New(memberConfig)
	if err != nil {
		return Class.Wrap(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	running := &Member{Member: m, config: memberConfig, cancel: cancel, done: make(chan struct{})}
	f.Members[memberConfig.Name] = running
	f.work.Go(func() {
		defer close(running.done)
		if err := m.Serve(ctx); err != nil && ctx.Err() == nil {
			f.config.Log.WithError(err).WithField("member", memberConfig.Name).Error("member of a database group failed")
		}
	})
	return nil
}

// Restart restarts a killed member at its address. Its log is lost, so that it has no
// vote until it has caught up with a primary.
func (f *Fleet) Restart(name string) error {
	memberConfig := f.Members[name].config
	memberConfig.Rejoin = true
	memberConfig.Listener = nil
	return f.runMember(f.ctx, memberConfig)
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	p, err := platformd.New(platformd.Config{})
	if err != nil {
		return Class.Wrap(err)
	}
	f.Platform = p
	f.work.Go(func() { _ = p.Serve() })
	context.AfterFunc(ctx, func() { p.Close() })
	store, err := awsstore.New(awsstore.Settings{TableURL: p.URL(), ObjectURL: p.URL(), Table: tableName, Bucket: bucketName})
	if err != nil {
		return Class.Wrap(err)
	}
	f.store = configstore.New(store.Table, store.Objects)
	return nil
}

// Apply puts the fleet's document in force on condition that the expected revision is
// in force, and returns the new revision.
func (f *Fleet) Apply(ctx context.Context, expected configstore.Revision) (configstore.Revision, error) {
	raw, err := json.Marshal(f.Document)
	if err != nil {
		return 0, Class.Wrap(err)
	}
	revision, err := f.store.Apply(ctx, expected, raw, fmt.Sprintf("local-%d", expected))
	return revision, Class.Wrap(err)
}

func (f *Fleet) startInstance(ctx context.Context, i int) error {
	config := f.Document.Instances[i]
	listeners, err := f.listeners(i)
	if err != nil {
		return err
	}
	s := &settings.Settings{
		Name:            config.Name,
		FailureDomain:   config.FailureDomain,
		Platform:        settings.Platform{TableURL: f.Platform.URL(), ObjectURL: f.Platform.URL(), Table: tableName, Bucket: bucketName},
		CallerAddress:   listeners.Callers.Addr().String(),
		PeerAddress:     listeners.Peers.Addr().String(),
		OperatorAddress: listeners.Operators.Addr().String(),
	}
	for _, other := range f.Instances {
		s.SeedPeers = append(s.SeedPeers, other.Settings.PeerAddress)
	}
	n, err := node.New(s, f.config.Log)
	if err != nil {
		return Class.Wrap(err)
	}
	n.UseListeners(listeners)
	instance := &Instance{Name: config.Name, Settings: s, Node: n, done: make(chan error, 1)}
	f.Instances = append(f.Instances, instance)
	f.work.Go(func() {
		err := n.Run(ctx)
		if err != nil {
			f.config.Log.WithError(err).WithField("instance", config.Name).Error("instance failed")
		}
		instance.done <- err
	})
	return nil
}

// listeners opens the listeners of the instance with index i.
func (f *Fleet) listeners(i int) (l node.Listeners, err error) {
	if l.Callers, err = f.listen(loopbackAddress(firstCallerPort + i)); err != nil {
		return l, err
	}
	if l.Peers, err = f.listen(loopbackAddress(firstPeerPort + i)); err != nil {
		return l, err
	}
	l.Operators, err = f.listen(loopbackAddress(firstOperatorPort + i))
	return l, err
}

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// WaitReady waits until every instance knows every peer and a route for every service,
// or returns an error when ctx ends.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, instance := range f.Instances {
		if err := f.waitInstanceReady(ctx, instance); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) waitInstanceReady(ctx context.Context, instance *Instance) error {
	const pollInterval = 10 * time.Millisecond
	for {
		d, ok := instance.Node.Dump().(node.Dump)
		if ok && len(d.Peers) == len(f.Instances)-1 && len(d.Routes) == len(f.Document.Services) {
			return nil
		}
		select {
		case <-ctx.Done():
			return Class.New("instance %s is not ready: %w", instance.Name, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// ConnString returns the connection string of a service at the instance with that index.
func (f *Fleet) ConnString(instance int, service string) string {
	return fmt.Sprintf("postgres://clerk@%s/%s?sslmode=disable", f.Instances[instance].Settings.CallerAddress, service)
}

// Close stops the instances without a planned stop, then the stand-ins, and waits until
// all have ended.
func (f *Fleet) Close() {
	for _, instance := range f.Instances {
		instance.Node.Kill()
	}
	f.cancel()
	f.work.Wait()
}
