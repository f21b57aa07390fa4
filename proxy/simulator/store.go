package simulator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/core/storeversion"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/group"
)

// storedRecord is a record with the version that the store gave it.
type storedRecord = primacy.Record

// store is the state of the platform's store.
type store struct {
	version storeversion.Version
	rows    map[string]storedRecord
	// instances are the announced instances, by name.
	instances map[string]source.Candidate
	copy      storeCopy // the last one taken by CopyStore
	config    storedConfig
	// repliesToDrop is the number of further writes that are executed but not answered.
	repliesToDrop int
	// calls counts the calls that reached the store.
	calls int
	// configStalled names the instances whose calls of Config are not answered.
	configStalled map[string]bool
}

// storedConfig is the variable part of the operators' configuration.
type storedConfig struct {
	version    int64                // the operators' version
	writtenAt  storeversion.Version // version of the store at the last write
	workspaces map[string]catalog.Workspace
	open       bool // the route to Database+"_stale" needs no key
}

// nextVersion returns the version of a read. It is incremented with each call, as if
// other clients wrote to the store all the time.
func (s *store) nextVersion() storeversion.Version {
	s.version++
	return s.version
}

var errStoreUnavailable = errors.New("store does not answer")

// Store returns the client of the store for an instance.
func (c *Cluster) Store(instance string) *StoreClient { return &StoreClient{c, instance} }

// storeCopy is a copy of what the instances have written to the store.
type storeCopy struct {
	counter   uint64
	rows      map[string]storedRecord
	instances map[string]source.Candidate
	config    storedConfig
}

// SetWorkspaces writes a new version of the configuration. A nil map means that callers are
// not identified. If they are, the route to Database+"_stale" is open.
func (c *Cluster) SetWorkspaces(all map[string]catalog.Workspace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.config = storedConfig{c.store.config.version + 1, c.store.nextVersion(), all, all != nil}
}

// StallConfig leaves the calls of Config of an instance, and those that it has open,
// unanswered. All its other calls are answered.
func (c *Cluster) StallConfig(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.configStalled[instance] = true
}

// CopyStore takes a copy of the store for RestoreStore.
func (c *Cluster) CopyStore() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.copy = storeCopy{c.store.version.Counter(), maps.Clone(c.store.rows), maps.Clone(c.store.instances), c.store.config}
}

// RestoreStore replaces the store by the last copy. What was written since is gone, and
// versions are given out again. Members register themselves again at once.
func (c *Cluster) RestoreStore() {
	c.mu.Lock()
	defer c.mu.Unlock()
	// All numbers of a test are small enough for a version.
	c.store.version, _ = storeversion.New(c.store.version.Era()+1, c.store.copy.counter)
	c.store.rows, c.store.instances = maps.Clone(c.store.copy.rows), maps.Clone(c.store.copy.instances)
	c.store.config = c.store.copy.config
}

// DamageRecord replaces the record of the group by one that cannot be read, as another
// writer could.
func (c *Cluster) DamageRecord() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.rows[Service] = primacy.Unreadable(c.store.nextVersion())
}

// Claim returns the claim in the record of the group; zero if there is none.
func (c *Cluster) Claim() primacy.Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	if claim := c.store.rows[Service].Claim; claim != nil {
		return *claim
	}
	return primacy.Claim{}
}

// ForgetInstances removes all announcements of instances.
func (c *Cluster) ForgetInstances() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.store.instances)
}

// IsAnnounced reports whether the store has an announcement of the instance.
func (c *Cluster) IsAnnounced(instance string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.store.instances[instance]
	return ok
}

// DropStoreReplies loses the replies to the next n writes to the store. The writes take
// effect.
func (c *Cluster) DropStoreReplies(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.repliesToDrop = n
}

// StoreClient implements node.Store.
type StoreClient struct {
	cluster  *Cluster
	instance string
}

// call waits for the round trip to the store and locks the cluster. After an error the
// cluster is not locked.
func (c *StoreClient) call(ctx context.Context) error {
	c.cluster.mu.Lock()
	unreachable := c.cluster.partitioned(c.instance, "store")
	c.cluster.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return errStoreUnavailable
	}
	time.Sleep(roundTrip)
	c.cluster.mu.Lock()
	c.cluster.store.calls++
	return nil
}

// Records implements group.RecordStore.
func (c *StoreClient) Records(ctx context.Context) (catalog.Snapshot[primacy.Record], error) {
	if err := c.call(ctx); err != nil {
		return catalog.Snapshot[primacy.Record]{}, err
	}
	defer c.cluster.mu.Unlock()
	all := make(map[string]primacy.Record)
	for name, r := range c.cluster.store.rows {
		if r.Claim != nil {
			claim := *r.Claim
			r.Claim = &claim
		}
		r.Version, _ = storeversion.New(c.cluster.store.version.Era(), r.Version.Counter())
		all[name] = r
	}
	return catalog.Snapshot[primacy.Record]{Rows: all, Version: c.cluster.store.nextVersion(), StoreNow: time.Since(c.cluster.start)}, nil
}

// Put implements group.RecordStore.
func (c *StoreClient) Put(ctx context.Context, r primacy.Record) (storeversion.Version, time.Duration, error) {
	if err := c.call(ctx); err != nil {
		return 0, 0, err
	}
	s := &c.cluster.store
	if s.rows[r.Service].Version.Counter() != r.Version.Counter() {
		c.cluster.mu.Unlock()
		return 0, 0, group.ErrConflict
	}
	restored := s.version.Era() != r.Version.Era()
	s.version++
	r.Version = s.version
	s.rows[r.Service] = r
	now := time.Since(c.cluster.start)
	lost := s.repliesToDrop > 0
	s.repliesToDrop = max(s.repliesToDrop-1, 0)
	c.cluster.mu.Unlock()
	if lost {
		<-ctx.Done()
		return 0, 0, errStoreUnavailable
	}
	if restored {
		return 0, 0, group.ErrRestored
	}
	return r.Version, now, nil
}

// configPollInterval is the interval at which a waiting call of Config checks for a newer
// configuration.
const configPollInterval = 250 * time.Millisecond

// Config implements node.Store. It returns one route of each consistency to the group.
func (c *StoreClient) Config(ctx context.Context, cursor catalog.ConfigCursor, wait time.Duration) (*catalog.Config, catalog.ConfigCursor, error) {
	if err := c.call(ctx); err != nil {
		return nil, cursor, err
	}
	connections, otherRoutes := c.cluster.connectionLimit, c.cluster.otherRoutes
	c.cluster.mu.Unlock()
	for end := time.Now().Add(wait); ; time.Sleep(configPollInterval) {
		c.cluster.mu.Lock()
		cut, stored, now := c.cluster.partitioned(c.instance, "store") || c.cluster.store.configStalled[c.instance], c.cluster.store.config, c.cluster.store.version
		c.cluster.mu.Unlock()
		switch {
		case ctx.Err() != nil || cut:
			<-ctx.Done()
			return nil, cursor, errStoreUnavailable
		case cursor.Version == 0 || cursor.Version.Era() < now.Era() || stored.writtenAt > cursor.Version:
			return stored.config(connections, otherRoutes), catalog.ConfigCursor{Version: max(now, 1), StoreNow: time.Since(c.cluster.start)}, nil
		case !time.Now().Before(end):
			return nil, catalog.ConfigCursor{Version: cursor.Version, StoreNow: time.Since(c.cluster.start)}, nil
		}
	}
}

// ConsistencyOf returns the consistency that the route to a database promises.
func ConsistencyOf(database string) catalog.Consistency {
	switch database {
	case Database + "_stale":
		return catalog.BoundedStaleness
	case Database + "_own":
		return catalog.ReadYourWrites
	default:
		return catalog.Strict
	}
}

// config returns the configuration, with the limit of connections of each member and a
// number of further routes.
func (s storedConfig) config(connections, otherRoutes int) *catalog.Config {
	route := catalog.Route{Database: Database, Service: Service, Timeout: 800 * time.Millisecond, Objective: 100 * time.Millisecond}
	stale, own := route, route
	stale.Database, stale.Staleness, stale.Priority, stale.Open = Database+"_stale", 1500*time.Millisecond, 2, s.open
	own.Database, own.Staleness, own.Priority = Database+"_own", 2500*time.Millisecond, 1
	stale.Consistency, own.Consistency = ConsistencyOf(stale.Database), ConsistencyOf(own.Database)
	routes := map[string]catalog.Route{route.Database: route, stale.Database: stale, own.Database: own}
	for i := range otherRoutes {
		other := route
		other.Database = fmt.Sprintf("%s_%x", Database, xxhash.Sum64String(fmt.Sprint(i)))
		routes[other.Database] = other
	}
	return &catalog.Config{
		Version: 1 + s.version, Routes: routes,
		Services: map[string]catalog.Service{Service: {Name: Service, Connections: connections, AcknowledgedBy: 1}}, TransactionIdle: 3 * time.Second,
		Workspaces: s.workspaces,
	}
}

// Members implements node.Store.
func (c *StoreClient) Members(ctx context.Context) (catalog.Snapshot[catalog.Member], error) {
	if err := c.call(ctx); err != nil {
		return catalog.Snapshot[catalog.Member]{}, err
	}
	defer c.cluster.mu.Unlock()
	return catalog.Snapshot[catalog.Member]{Rows: c.cluster.registered(), Version: c.cluster.store.nextVersion(), StoreNow: time.Since(c.cluster.start), Left: c.cluster.departures()}, nil
}

// Instances implements node.Store.
func (c *StoreClient) Instances(ctx context.Context) (catalog.Snapshot[source.Candidate], error) {
	if err := c.call(ctx); err != nil {
		return catalog.Snapshot[source.Candidate]{}, err
	}
	defer c.cluster.mu.Unlock()
	return catalog.Snapshot[source.Candidate]{Rows: maps.Clone(c.cluster.store.instances), Version: c.cluster.store.nextVersion()}, nil
}

// Announce implements node.Store.
func (c *StoreClient) Announce(ctx context.Context, all []source.Candidate) error {
	if err := c.call(ctx); err != nil {
		return err
	}
	defer c.cluster.mu.Unlock()
	for _, one := range all {
		c.cluster.store.instances[one.Name] = one
	}
	return nil
}

// Withdraw implements node.Store.
func (c *StoreClient) Withdraw(ctx context.Context, name string) error {
	if err := c.call(ctx); err != nil {
		return err
	}
	defer c.cluster.mu.Unlock()
	delete(c.cluster.store.instances, name)
	return nil
}
