// Package local runs a whole deployment in one process on loopback: the
// stand-ins of the platform and of the database groups, and the instances.
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
	// callerPort is the first port of the instances when ports are fixed.
	callerPort   = 6432
	peerPort     = 7432
	operatorPort = 8432
)

// Config describes a local deployment.
type Config struct {
	Document *fleet.Document
	// FixedPorts keeps the database addresses of the document and numbers the
	// instances from port 6432; otherwise free ports are taken.
	FixedPorts bool
	Log        *logrus.Logger
	// StatementDelay is the service time of a statement; 0 takes the stand-in's.
	StatementDelay time.Duration
	// ReplicationDelay is the lag of replicas; 0 takes the stand-in's.
	ReplicationDelay time.Duration
	// DatabasesOnly starts neither the platform nor instances.
	DatabasesOnly bool
}

// Instance is one running instance.
type Instance struct {
	Name     string
	Settings *settings.Settings
	Node     *node.Node
	done     chan error
}

// Stop starts the planned stop and waits for its end.
func (i *Instance) Stop() error {
	i.Node.Drain()
	return <-i.done
}

// Fleet is a running deployment.
type Fleet struct {
	Document  *fleet.Document
	Platform  *platformd.Server
	Instances []*Instance
	Members   map[string]*Member

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

// Kill ends the member at once.
func (m *Member) Kill() {
	m.cancel()
	<-m.done
}

// Start runs the deployment until Close.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	if c.Log == nil {
		c.Log = logrus.New()
		c.Log.SetOutput(io.Discard)
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{Document: clone(c.Document), Members: make(map[string]*Member), config: c, ctx: ctx, cancel: cancel}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func clone(d *fleet.Document) *fleet.Document {
	raw, err := json.Marshal(d)
	if err != nil {
		panic(err) // a Document always encodes
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
		for j, mc := range dbgroup.GroupConfigs(s.Name, domains, addresses) {
			mc.Listener = listeners[j]
			if err := f.startMember(ctx, mc, s.Databases[j]); err != nil {
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

func (f *Fleet) startMember(ctx context.Context, mc dbgroup.Config, db fleet.Database) error {
	mc.MaxConnections = db.Connections
	mc.Slots = db.Slots
	if f.config.StatementDelay > 0 {
		mc.StatementDelayUS = f.config.StatementDelay.Microseconds()
	}
	if f.config.ReplicationDelay > 0 {
		mc.ReplicationDelayMS = f.config.ReplicationDelay.Milliseconds()
	}
	return f.runMember(ctx, mc)
}

func (f *Fleet) runMember(ctx context.Context, mc dbgroup.Config) error {
	m, err := dbgroup.New(mc)
	if err != nil {
		return Class.Wrap(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	out := &Member{Member: m, config: mc, cancel: cancel, done: make(chan struct{})}
	f.Members[mc.Name] = out
	f.work.Go(func() {
		defer close(out.done)
		if err := m.Serve(ctx); err != nil && ctx.Err() == nil {
			f.config.Log.WithError(err).WithField("member", mc.Name).Error("member failed")
		}
	})
	return nil
}

// Restart starts a killed member again on its address. It has lost its log and
// has no vote until it has caught up with a primary.
func (f *Fleet) Restart(name string) error {
	mc := f.Members[name].config
	mc.Rejoin = true
	mc.Listener = nil
	return f.runMember(f.ctx, mc)
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

// Apply puts the fleet's document in force in place of the expected revision.
func (f *Fleet) Apply(ctx context.Context, expected configstore.Revision) (configstore.Revision, error) {
	raw, err := json.Marshal(f.Document)
	if err != nil {
		return 0, Class.Wrap(err)
	}
	revision, err := f.store.Apply(ctx, expected, raw, fmt.Sprintf("local-%d", expected))
	return revision, Class.Wrap(err)
}

func (f *Fleet) startInstance(ctx context.Context, i int) error {
	want := f.Document.Instances[i]
	listeners, err := f.listeners(i)
	if err != nil {
		return err
	}
	s := &settings.Settings{
		Name:            want.Name,
		FailureDomain:   want.FailureDomain,
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
	instance := &Instance{Name: want.Name, Settings: s, Node: n, done: make(chan error, 1)}
	f.Instances = append(f.Instances, instance)
	f.work.Go(func() {
		err := n.Run(ctx)
		if err != nil {
			f.config.Log.WithError(err).WithField("instance", want.Name).Error("instance failed")
		}
		instance.done <- err
	})
	return nil
}

// listeners opens the sockets of instance i.
func (f *Fleet) listeners(i int) (l node.Listeners, err error) {
	if l.Callers, err = f.listen(loopback(callerPort + i)); err != nil {
		return l, err
	}
	if l.Peers, err = f.listen(loopback(peerPort + i)); err != nil {
		return l, err
	}
	l.Operators, err = f.listen(loopback(operatorPort + i))
	return l, err
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// WaitReady waits until every instance knows every peer and every primary.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, i := range f.Instances {
		if err := f.awaitInstance(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) awaitInstance(ctx context.Context, i *Instance) error {
	const pollInterval = 10 * time.Millisecond
	for {
		d, ok := i.Node.Dump().(node.Dump)
		if ok && len(d.Peers) == len(f.Instances)-1 && len(d.Routes) == len(f.Document.Services) {
			return nil
		}
		select {
		case <-ctx.Done():
			return Class.New("instance %s is not ready: %w", i.Name, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// ConnString returns the connection string of a service at an instance.
func (f *Fleet) ConnString(instance int, service string) string {
	return fmt.Sprintf("postgres://clerk@%s/%s?sslmode=disable", f.Instances[instance].Settings.CallerAddress, service)
}

// Close ends the instances without a planned stop, and then the stand-ins.
func (f *Fleet) Close() {
	for _, i := range f.Instances {
		i.Node.Kill()
	}
	f.cancel()
	f.work.Wait()
}
