// Package relay replicates snapshots of the store between instances by long polls
// that return deltas, with a bound on the age of each snapshot. One instance reads
// the store; the others poll it or each other. core/source decides who polls whom.
package relay

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/core/mirror"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/core/storetime"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/catalog"
)

// Class groups the errors of this package.
var Class = errs.Class("relay")

// Known holds the versions of the polling instance's snapshot; zero means none.
type Known struct {
	// RecordsAsOf is the store's time of its newest read of the primacy records.
	RecordsAsOf time.Duration `json:"began,omitempty"`
	Records     uint64        `json:"records,omitempty"`
	Members     uint64        `json:"members,omitempty"`
	Instances   uint64        `json:"instances,omitempty"`
	Config      uint64        `json:"config,omitempty"`
}

// Delta is what changed since a Known; tables without change are nil.
type Delta struct {
	// RecordsAsOf is a lower bound of the store's time at which the records were
	// read. The lease that they grant begins then.
	RecordsAsOf time.Duration                 `json:"began"`
	Records     *mirror.Delta[primacy.Record] `json:"records,omitempty"`
	// MembersAsOf is the lower bound for the members.
	MembersAsOf time.Duration                   `json:"members_began"`
	Members     *mirror.Delta[catalog.Member]   `json:"members,omitempty"`
	Instances   *mirror.Delta[source.Candidate] `json:"instances,omitempty"`
	// ConfigVersion is the newest version of the configuration. Config is the change
	// to it; if nil although the version is newer, the change exceeds maxInlineConfig
	// and is fetched with Client.FetchConfig.
	ConfigVersion uint64       `json:"config_version,omitempty"`
	Config        *ConfigDelta `json:"config,omitempty"`
}

// ConfigDelta is a change of the configuration. Routes and Services have the same
// version, that of the configuration.
type ConfigDelta struct {
	Routes          *mirror.Delta[catalog.Route]   `json:"routes"`
	Services        *mirror.Delta[catalog.Service] `json:"services"`
	TransactionIdle time.Duration                  `json:"transaction_idle"`
}

// Changes says which parts of a Cache an update has changed.
type Changes struct {
	// RecordsRead and MembersRead mean that there is a newer read of the records or
	// the members, whether or not their rows changed.
	RecordsRead, MembersRead                        bool
	MembersChanged, InstancesChanged, ConfigChanged bool
}

// Cache holds an instance's newest snapshot of the store, read by itself or received
// from a peer. It is safe for concurrent use.
type Cache struct {
	clock boottime.Clock

	mu              sync.Mutex
	bounds          storetime.ClockOffset
	recordsAsOf     time.Duration
	membersAsOf     time.Duration
	records         *mirror.Table[primacy.Record]
	members         *mirror.Table[catalog.Member]
	instances       *mirror.Table[source.Candidate]
	routes          *mirror.Table[catalog.Route]
	services        *mirror.Table[catalog.Service]
	transactionIdle time.Duration
	updated         chan struct{}           // closed and replaced when there is a newer read
	encodedDeltas   map[Known]*encodedDelta // answers encoded since then
	// configDeltas holds the encoded changes of the configuration, by the version from
	// which they start.
	configDeltas map[uint64]*encodedConfigDelta
}

// encodedConfigDelta is a change of the configuration to a version, ready to be sent.
type encodedConfigDelta struct {
	version uint64
	delta   *ConfigDelta
	// compressed replaces delta if this exceeds maxInlineConfig when encoded.
	compressed []byte
}

func same[T comparable](a, b T) bool { return a == b }

// NewCache returns an empty Cache.
func NewCache(clock boottime.Clock) *Cache {
	return &Cache{clock: clock, updated: make(chan struct{}), encodedDeltas: make(map[Known]*encodedDelta), configDeltas: make(map[uint64]*encodedConfigDelta),
		records:   mirror.New(func(a, b primacy.Record) bool { return a.Version == b.Version }),
		members:   mirror.New(same[catalog.Member]),
		instances: mirror.New(same[source.Candidate]),
		routes:    mirror.New(same[catalog.Route]),
		services:  mirror.New(same[catalog.Service]),
	}
}

// Known returns the versions of the present snapshot.
func (s *Cache) Known() Known {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known()
}

func (s *Cache) known() Known {
	return Known{RecordsAsOf: s.recordsAsOf, Records: s.records.Version(), Members: s.members.Version(), Instances: s.instances.Version(), Config: s.routes.Version()}
}

// notify wakes the polls that wait for a newer read. s.mu is held.
func (s *Cache) notify() {
	close(s.updated)
	s.updated = make(chan struct{})
	clear(s.encodedDeltas)
}

// storeTimeUnit is the resolution of the store's time, which is rounded down.
const storeTimeUnit = time.Millisecond

// setTable stores a table that this instance read from the store. last is the store's
// time of the table's previous read and is updated. newer is false if the table
// already has a newer read. s.mu is held.
func setTable[T any](s *Cache, table *mirror.Table[T], last *time.Duration, r catalog.Snapshot[T], sentAt, answeredAt time.Duration) (changed, newer bool) {
	asOf := s.asOf(r.StoreNow, sentAt, answeredAt)
	if r.Version < table.Version() || asOf <= *last {
		return false, false
	}
	*last = asOf
	return table.ApplySnapshot(r.Rows, r.Version), true
}

// asOf tightens the bounds of the store's clock with a call of this instance, which the
// store answered with its time now, and returns a lower bound of the store's time when
// the call was sent. The rows in the answer are no older than that, even if the store
// read them long before it put its time into the answer. s.mu is held.
func (s *Cache) asOf(now, sentAt, answeredAt time.Duration) time.Duration {
	s.bounds.AddExchange(now, now+storeTimeUnit, sentAt, answeredAt)
	earliest, _ := s.bounds.StoreTime(sentAt)
	return min(earliest, now)
}

// SetRecords stores the records that this instance read from the store by a call that
// was sent at sentAt and answered at answeredAt, on the local clock. It drops them if
// the cache has a newer version or a newer read.
func (s *Cache) SetRecords(r catalog.Snapshot[primacy.Record], sentAt, answeredAt time.Duration) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, newer := setTable(s, s.records, &s.recordsAsOf, r, sentAt, answeredAt); !newer {
		return Changes{}
	}
	s.notify()
	return Changes{RecordsRead: true}
}

// SetMembers does for the members what SetRecords does for the records.
func (s *Cache) SetMembers(r catalog.Snapshot[catalog.Member], sentAt, answeredAt time.Duration) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, newer := setTable(s, s.members, &s.membersAsOf, r, sentAt, answeredAt)
	return Changes{MembersRead: newer, MembersChanged: changed}
}

// SetInstances stores the announced instances that this instance read from the store.
func (s *Cache) SetInstances(r catalog.Snapshot[source.Candidate]) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Changes{InstancesChanged: s.instances.ApplySnapshot(r.Rows, r.Version)}
}

// SetConfig stores a configuration that this instance read from the store, unless it
// is not newer than that in the cache.
func (s *Cache) SetConfig(c *catalog.Config) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := uint64(c.Version)
	if version <= s.routes.Version() {
		return Changes{}
	}
	s.routes.ApplySnapshot(c.Routes, version)
	s.services.ApplySnapshot(c.Services, version)
	s.transactionIdle = c.TransactionIdle
	clear(s.configDeltas)
	s.notify()
	return Changes{ConfigChanged: true}
}

// Apply merges a peer's answer to a poll that was sent at sentAt and answered at
// answeredAt, on the local clock. It drops an answer whose age cannot be bounded or
// that claims to be from the future.
func (s *Cache) Apply(a Answer, sentAt, answeredAt time.Duration) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	var c Changes
	if a.Latest != 0 {
		s.bounds.AddExchange(a.Earliest, a.Latest, sentAt, answeredAt)
	}
	if !s.bounds.Known() || !s.hasPassed(a.Delta.RecordsAsOf, answeredAt) || !s.hasPassed(a.Delta.MembersAsOf, answeredAt) {
		return c
	}
	c.ConfigChanged = s.applyConfig(a.Delta.Config)
	if d := a.Delta.Instances; d != nil {
		c.InstancesChanged = s.instances.ApplyDelta(*d)
	}
	if d := a.Delta.Members; d != nil {
		c.MembersChanged = s.members.ApplyDelta(*d)
	}
	if a.Delta.MembersAsOf > s.membersAsOf {
		s.membersAsOf = a.Delta.MembersAsOf
		c.MembersRead = true
	}
	if d := a.Delta.Records; d != nil {
		s.records.ApplyDelta(*d)
	}
	if a.Delta.RecordsAsOf > s.recordsAsOf {
		s.recordsAsOf = a.Delta.RecordsAsOf
		c.RecordsRead = true
	}
	if c != (Changes{}) {
		s.notify()
	}
	return c
}

// ApplyConfig applies a change of the configuration that FetchConfig returned.
func (s *Cache) ApplyConfig(d *ConfigDelta) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Changes{ConfigChanged: s.applyConfig(d)}
	if c.ConfigChanged {
		s.notify()
	}
	return c
}

// applyConfig applies a change and reports whether it led to a newer version. s.mu is
// held.
func (s *Cache) applyConfig(d *ConfigDelta) bool {
	if d == nil || d.Routes == nil || d.Services == nil || d.Routes.Version != d.Services.Version {
		return false
	}
	before := s.routes.Version()
	s.routes.ApplyDelta(*d.Routes)
	if s.routes.Version() == before {
		return false
	}
	s.services.ApplyDelta(*d.Services)
	s.transactionIdle = d.TransactionIdle
	clear(s.configDeltas)
	return true
}

// hasPassed reports whether the store's time at has passed. A read that claims to be
// from the future would keep out all later ones. s.mu is held.
func (s *Cache) hasPassed(at, now time.Duration) bool {
	_, latest := s.bounds.StoreTime(now)
	return at <= latest
}

// Records returns the records and the time at which they were read: a lower bound in
// the store's time, and its bounds on the local clock.
func (s *Cache) Records() (records map[string]primacy.Record, at storetime.Timestamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.All(), s.bounds.LocalTime(s.recordsAsOf, s.clock())
}

// Age returns an upper bound of the age of the records; ok is false if there are none.
func (s *Cache) Age() (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recordsAsOf == 0 {
		return 0, false
	}
	now := s.clock()
	return now - s.bounds.LocalTime(s.recordsAsOf, now).Earliest, true
}

// Members returns the members and the time at which they were read, as Records does.
func (s *Cache) Members() (members catalog.Members, at storetime.Timestamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.All(), s.bounds.LocalTime(s.membersAsOf, s.clock())
}

// HasMembers reports whether the members have been read at least once.
func (s *Cache) HasMembers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Version() > 0
}

// Instances returns the announced instances.
func (s *Cache) Instances() []source.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]source.Candidate, 0, s.instances.Len())
	for _, c := range s.instances.All() {
		all = append(all, c)
	}
	return all
}

// Announced reports whether an instance is announced with exactly these properties.
func (s *Cache) Announced(c source.Candidate) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.instances.Get(c.Name)
	return ok && known == c
}

// Config returns the newest configuration, or nil if there is none.
func (s *Cache) Config() *catalog.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes.Version() == 0 {
		return nil
	}
	return &catalog.Config{Version: int64(s.routes.Version()), Routes: s.routes.All(), Services: s.services.All(), TransactionIdle: s.transactionIdle}
}

// awaitNewer returns the answer to the poll of an instance that has k. It waits until
// there is a newer read of the records, or until ctx ends.
func (s *Cache) awaitNewer(ctx context.Context, k Known) (*encodedDelta, error) {
	for {
		s.mu.Lock()
		changed := s.updated
		if s.recordsAsOf > k.RecordsAsOf {
			defer s.mu.Unlock()
			return s.encodeSince(k)
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.encodeSince(k)
		}
	}
}

// encodeSince returns the encoded answer for an instance that has k. s.mu is held.
func (s *Cache) encodeSince(k Known) (*encodedDelta, error) {
	if m := s.encodedDeltas[k]; m != nil {
		return m, nil
	}
	d := Delta{RecordsAsOf: s.recordsAsOf, MembersAsOf: s.membersAsOf, Records: s.records.DeltaSince(k.Records), Members: s.members.DeltaSince(k.Members),
		Instances: s.instances.DeltaSince(k.Instances)}
	d.ConfigVersion = s.routes.Version()
	if d.ConfigVersion > k.Config {
		c, err := s.encodeConfigSince(k.Config)
		if err != nil {
			return nil, err
		}
		if c.compressed == nil {
			d.Config = c.delta
		}
	}
	m, err := encodeDelta(d)
	if err != nil {
		return nil, err
	}
	s.encodedDeltas[k] = m
	return m, nil
}

// encodeConfigSince returns the encoded change of the configuration from a version to
// the newest one. s.mu is held.
func (s *Cache) encodeConfigSince(from uint64) (*encodedConfigDelta, error) {
	if c := s.configDeltas[from]; c != nil {
		return c, nil
	}
	c := &encodedConfigDelta{version: s.routes.Version(), delta: &ConfigDelta{Routes: s.routes.DeltaSince(from), Services: s.services.DeltaSince(from), TransactionIdle: s.transactionIdle}}
	raw, err := json.Marshal(c.delta)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if len(raw) > maxInlineConfig {
		if c.compressed, err = deflate(raw); err != nil {
			return nil, err
		}
		c.delta = nil
	}
	s.configDeltas[from] = c
	return c, nil
}

// configPart returns one part of a change of the configuration that is too large for
// the answer to a poll. It fails if there is no newer version than req.From or the offset
// is out of range.
func (s *Cache) configPart(req configRequest) (configAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes.Version() <= req.From {
		return configAnswer{}, Class.New("no newer configuration")
	}
	c, err := s.encodeConfigSince(req.From)
	if err != nil {
		return configAnswer{}, err
	}
	if c.compressed == nil || req.Offset < 0 || req.Offset > len(c.compressed) {
		return configAnswer{}, Class.New("no part at %d", req.Offset)
	}
	return configAnswer{Version: c.version, Length: len(c.compressed), Part: c.compressed[req.Offset:min(req.Offset+configPartSize, len(c.compressed))]}, nil
}

// storeNow returns the bounds of the store's present time; zeros if they are not known.
func (s *Cache) storeNow() (earliest, latest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.bounds.Known() {
		return 0, 0
	}
	return s.bounds.StoreTime(s.clock())
}
