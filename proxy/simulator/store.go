package simulator

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/papayarail/papayarail/core/leadership"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/group"
)

// storedRecord is a record with the version that the store gave it.
type storedRecord = leadership.Record

type store struct {
	version uint64
	rows    map[string]storedRecord
	// instances are the announced instances.
	instances map[string]source.Candidate
	// lose is the number of writes that are performed and not answered.
	lose int
	// calls counts the calls that reached the store.
	calls int
}

// tick returns the version of a reading: others write to the store all the time.
func (s *store) tick() uint64 {
	s.version++
	return s.version
}

var errStoreAway = errors.New("store does not answer")

// Store returns the store as an instance reaches it.
func (w *Cluster) Store(instance string) *StoreClient { return &StoreClient{w, instance} }

// DropStoreReplies loses the answers of the next n writes.
func (w *Cluster) DropStoreReplies(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.lose = n
}

// StoreClient implements node.Store.
type StoreClient struct {
	w        *Cluster
	instance string
}

// call waits for the trip to the store and takes the lock of the world.
func (c *StoreClient) call(ctx context.Context) error {
	c.w.mu.Lock()
	away := c.w.cut(c.instance, "store")
	c.w.mu.Unlock()
	if away {
		<-ctx.Done()
		return errStoreAway
	}
	time.Sleep(roundTrip)
	c.w.mu.Lock()
	c.w.store.calls++
	return nil
}

// Records implements group.RecordStore.
func (c *StoreClient) Records(ctx context.Context) (catalog.Snapshot[leadership.Record], error) {
	if err := c.call(ctx); err != nil {
		return catalog.Snapshot[leadership.Record]{}, err
	}
	defer c.w.mu.Unlock()
	all := make(map[string]leadership.Record)
	for name, r := range c.w.store.rows {
		if r.Claim != nil {
			claim := *r.Claim
			r.Claim = &claim
		}
		all[name] = r
	}
	return catalog.Snapshot[leadership.Record]{Rows: all, Version: c.w.store.tick(), StoreNow: time.Since(c.w.start)}, nil
}

// Put implements group.RecordStore.
func (c *StoreClient) Put(ctx context.Context, r leadership.Record) (uint64, time.Duration, error) {
	if err := c.call(ctx); err != nil {
		return 0, 0, err
	}
	s := &c.w.store
	if s.rows[r.Service].Version != r.Version {
		c.w.mu.Unlock()
		return 0, 0, group.ErrConflict
	}
	s.version++
	r.Version = s.version
	s.rows[r.Service] = r
	now := time.Since(c.w.start)
	lost := s.lose > 0
	s.lose = max(s.lose-1, 0)
	c.w.mu.Unlock()
	if lost {
		<-ctx.Done()
		return 0, 0, errStoreAway
	}
	return r.Version, now, nil
}

// Config implements node.Store: one strict and two other routes.
func (c *StoreClient) Config(ctx context.Context, cursor uint64, wait time.Duration) (*catalog.Config, uint64, error) {
	if err := c.call(ctx); err != nil {
		return nil, cursor, err
	}
	c.w.mu.Unlock()
	if cursor > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		return nil, cursor, nil
	}
	route := catalog.Route{Database: Database, Service: Service, Timeout: 800 * time.Millisecond, Objective: 100 * time.Millisecond}
	stale, own := route, route
	stale.Database, stale.Consistency, stale.Staleness, stale.Priority = Database+"_stale", catalog.BoundedStaleness, 1500*time.Millisecond, 2
	own.Database, own.Consistency, own.Staleness, own.Priority = Database+"_own", catalog.ReadYourWrites, 2500*time.Millisecond, 1
	return &catalog.Config{
		Version: 1, Routes: map[string]catalog.Route{route.Database: route, stale.Database: stale, own.Database: own},
		Services: map[string]catalog.Service{Service: {Name: Service, Connections: 16, AcknowledgedBy: 1}}, TransactionIdle: 3 * time.Second,
	}, 1, nil
}

// Members implements node.Store.
func (c *StoreClient) Members(ctx context.Context) (catalog.Snapshot[catalog.Member], error) {
	if err := c.call(ctx); err != nil {
		return catalog.Snapshot[catalog.Member]{}, err
	}
	defer c.w.mu.Unlock()
	return catalog.Snapshot[catalog.Member]{Rows: c.w.registered(), Version: c.w.store.tick(), StoreNow: time.Since(c.w.start)}, nil
}

// Instances implements node.Store.
func (c *StoreClient) Instances(ctx context.Context) (catalog.Snapshot[source.Candidate], error) {
	if err := c.call(ctx); err != nil {
		return catalog.Snapshot[source.Candidate]{}, err
	}
	defer c.w.mu.Unlock()
	return catalog.Snapshot[source.Candidate]{Rows: maps.Clone(c.w.store.instances), Version: c.w.store.tick()}, nil
}

// Announce implements node.Store.
func (c *StoreClient) Announce(ctx context.Context, all []source.Candidate) error {
	if err := c.call(ctx); err != nil {
		return err
	}
	defer c.w.mu.Unlock()
	for _, one := range all {
		c.w.store.instances[one.Name] = one
	}
	return nil
}

// Withdraw implements node.Store.
func (c *StoreClient) Withdraw(ctx context.Context, name string) error {
	if err := c.call(ctx); err != nil {
		return err
	}
	defer c.w.mu.Unlock()
	delete(c.w.store.instances, name)
	return nil
}
