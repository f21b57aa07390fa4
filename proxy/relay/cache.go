// Package relay passes readings of the store from instance to instance: what one
// instance has read, how old it is, and what changed since the asker's version.
// core/source decides who asks whom.
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
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/steady"
)

// Class groups the errors of this package.
var Class = errs.Class("relay")

// Known is what the asking instance has; zero means nothing.
type Known struct {
	// RecordsAsOf is the store's time of its newest reading of the records.
	RecordsAsOf time.Duration `json:"began,omitempty"`
	Records     uint64        `json:"records,omitempty"`
	Members     uint64        `json:"members,omitempty"`
	Instances   uint64        `json:"instances,omitempty"`
	Config      uint64        `json:"config,omitempty"`
}

// Delta is what changed since a Known; parts without change are nil.
type Delta struct {
	// RecordsAsOf is the store's time, at the latest, at which the records were read.
	// They prove who leads from then on.
	RecordsAsOf time.Duration                 `json:"began"`
	Records     *mirror.Delta[primacy.Record] `json:"records,omitempty"`
	// MembersAsOf is the same for the members.
	MembersAsOf time.Duration                   `json:"members_began"`
	Members     *mirror.Delta[catalog.Member]   `json:"members,omitempty"`
	Instances   *mirror.Delta[source.Candidate] `json:"instances,omitempty"`
	// ConfigVersion is the newest version of the configuration. Config leads to it,
	// unless it is too large for an answer: it is then fetched on its own.
	ConfigVersion uint64       `json:"config_version,omitempty"`
	Config        *ConfigDelta `json:"config,omitempty"`
}

// ConfigDelta is what changed in the configuration.
type ConfigDelta struct {
	Routes          *mirror.Delta[catalog.Route]   `json:"routes"`
	Services        *mirror.Delta[catalog.Service] `json:"services"`
	TransactionIdle time.Duration                  `json:"transaction_idle"`
}

// Changes says which parts a reading has changed.
type Changes struct {
	// RecordsRead means that there is a newer reading of the records, MembersRead one of
	// the members, with or without changes.
	RecordsRead, MembersRead                        bool
	MembersChanged, InstancesChanged, ConfigChanged bool
}

// Cache is the newest reading of the store that an instance has, by itself or
// from another one. It is safe for concurrent use.
type Cache struct {
	clock steady.Clock

	mu              sync.Mutex
	bounds          storetime.Bounds
	recordsAsOf     time.Duration
	membersAsOf     time.Duration
	records         *mirror.Table[primacy.Record]
	members         *mirror.Table[catalog.Member]
	instances       *mirror.Table[source.Candidate]
	routes          *mirror.Table[catalog.Route]
	services        *mirror.Table[catalog.Service]
	transactionIdle time.Duration
	updated         chan struct{}           // closed whenever there is a newer reading
	encodedDeltas   map[Known]*encodedDelta // answers made since then
	// configs are the encoded changes of the configuration from other versions.
	configDeltas map[uint64]*encodedConfigDelta
}

// encodedConfigDelta is what leads from one version of the configuration to another.
type encodedConfigDelta struct {
	version uint64
	delta   *ConfigDelta
	// packed is set if the delta is too large for an answer.
	compressed []byte
}

func same[T comparable](a, b T) bool { return a == b }

// NewCache returns a Cache without a reading.
func NewCache(clock steady.Clock) *Cache {
	return &Cache{clock: clock, updated: make(chan struct{}), encodedDeltas: make(map[Known]*encodedDelta), configDeltas: make(map[uint64]*encodedConfigDelta),
		records:   mirror.New(func(a, b primacy.Record) bool { return a.Version == b.Version }),
		members:   mirror.New(same[catalog.Member]),
		instances: mirror.New(same[source.Candidate]),
		routes:    mirror.New(same[catalog.Route]),
		services:  mirror.New(same[catalog.Service]),
	}
}

// Known returns the versions of the present reading.
func (s *Cache) Known() Known {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known()
}

func (s *Cache) known() Known {
	return Known{RecordsAsOf: s.recordsAsOf, Records: s.records.Version(), Members: s.members.Version(), Instances: s.instances.Version(), Config: s.routes.Version()}
}

// news lets those that wait for a newer reading look again. s.mu is held.
func (s *Cache) notify() {
	close(s.updated)
	s.updated = make(chan struct{})
	clear(s.encodedDeltas)
}

// storeTimeUnit is the unit of the store's time, which is rounded down.
const storeTimeUnit = time.Millisecond

// read takes in an own reading of a table that was last read at last, in the store's
// time. newer is false if the table has a newer one. s.mu is held.
func setTable[T any](s *Cache, table *mirror.Table[T], last *time.Duration, r catalog.Reading[T], sentAt, answeredAt time.Duration) (changed, newer bool) {
	began := s.asOf(r.StoreNow, sentAt, answeredAt)
	if r.Version < table.Version() || began <= *last {
		return false, false
	}
	*last = began
	return table.Read(r.Rows, r.Version), true
}

// reading takes in the times of an own call and returns the store's time, at the
// earliest, when the call was sent. What it read is no older than that, also if
// the store read it long before it put its time into the answer. s.mu is held.
func (s *Cache) asOf(now, sentAt, answeredAt time.Duration) time.Duration {
	s.bounds.Exchange(now, now+storeTimeUnit, sentAt, answeredAt)
	earliest, _ := s.bounds.Now(sentAt)
	return min(earliest, now)
}

// SetRecords takes in an own reading of the records.
func (s *Cache) SetRecords(r catalog.Reading[primacy.Record], sentAt, answeredAt time.Duration) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, newer := setTable(s, s.records, &s.recordsAsOf, r, sentAt, answeredAt); !newer {
		return Changes{}
	}
	s.notify()
	return Changes{RecordsRead: true}
}

// SetMembers takes in an own reading of the members.
func (s *Cache) SetMembers(r catalog.Reading[catalog.Member], sentAt, answeredAt time.Duration) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, newer := setTable(s, s.members, &s.membersAsOf, r, sentAt, answeredAt)
	return Changes{MembersRead: newer, MembersChanged: changed}
}

// SetInstances takes in an own reading of the announced instances.
func (s *Cache) SetInstances(r catalog.Reading[source.Candidate]) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Changes{InstancesChanged: s.instances.Read(r.Rows, r.Version)}
}

// SetConfig takes in a configuration that was read from the store.
func (s *Cache) SetConfig(c *catalog.Config) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := uint64(c.Version)
	if version <= s.routes.Version() {
		return Changes{}
	}
	s.routes.Read(c.Routes, version)
	s.services.Read(c.Services, version)
	s.transactionIdle = c.TransactionIdle
	clear(s.configDeltas)
	s.notify()
	return Changes{ConfigChanged: true}
}

// Apply takes in another instance's answer to a call that was sent at sentAt and
// answered at answeredAt.
func (s *Cache) Apply(a Answer, sentAt, answeredAt time.Duration) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	var c Changes
	if a.Latest != 0 {
		s.bounds.Exchange(a.Earliest, a.Latest, sentAt, answeredAt)
	}
	if !s.bounds.Known() || !s.hasPassed(a.Delta.RecordsAsOf, answeredAt) || !s.hasPassed(a.Delta.MembersAsOf, answeredAt) {
		return c // nothing shows how old it is
	}
	c.ConfigChanged = s.applyConfig(a.Delta.Config)
	if d := a.Delta.Instances; d != nil {
		c.InstancesChanged = s.instances.Apply(*d)
	}
	if d := a.Delta.Members; d != nil {
		c.MembersChanged = s.members.Apply(*d)
	}
	if a.Delta.MembersAsOf > s.membersAsOf {
		s.membersAsOf = a.Delta.MembersAsOf
		c.MembersRead = true
	}
	if d := a.Delta.Records; d != nil {
		s.records.Apply(*d)
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

// ApplyConfig takes in a change of the configuration that was fetched on its own.
func (s *Cache) ApplyConfig(d *ConfigDelta) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Changes{ConfigChanged: s.applyConfig(d)}
	if c.ConfigChanged {
		s.notify()
	}
	return c
}

// applyConfig reports whether a change leads to a newer version. s.mu is held.
func (s *Cache) applyConfig(d *ConfigDelta) bool {
	if d == nil || d.Routes == nil || d.Services == nil || d.Routes.Version != d.Services.Version {
		return false
	}
	before := s.routes.Version()
	s.routes.Apply(*d.Routes)
	if s.routes.Version() == before {
		return false
	}
	s.services.Apply(*d.Services)
	s.transactionIdle = d.TransactionIdle
	clear(s.configDeltas)
	return true
}

// past reports whether the store's time at has passed. A reading from the future
// would keep all later ones out. s.mu is held.
func (s *Cache) hasPassed(at, now time.Duration) bool {
	_, latest := s.bounds.Now(now)
	return at <= latest
}

// Records returns the records, the moment at which they were read, and the
// store's time at the earliest now.
func (s *Cache) Records() (records map[string]primacy.Record, at storetime.Stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.All(), s.bounds.Stamp(s.recordsAsOf, s.clock())
}

// Age returns how old the newest reading of the records is at most; ok is false
// if there is none.
func (s *Cache) Age() (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recordsAsOf == 0 {
		return 0, false
	}
	now := s.clock()
	return now - s.bounds.Stamp(s.recordsAsOf, now).Earliest, true
}

// Members returns the members and the moment at which they were read.
func (s *Cache) Members() (members catalog.Members, at storetime.Stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.All(), s.bounds.Stamp(s.membersAsOf, s.clock())
}

// HasMembers reports whether the members were ever read.
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

// Announced reports whether an instance is announced as given.
func (s *Cache) Announced(c source.Candidate) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.instances.Get(c.Name)
	return ok && known == c
}

// Config returns the newest configuration; nil if there is none.
func (s *Cache) Config() *catalog.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes.Version() == 0 {
		return nil
	}
	return &catalog.Config{Version: int64(s.routes.Version()), Routes: s.routes.All(), Services: s.services.All(), TransactionIdle: s.transactionIdle}
}

// await returns the answer for an instance that has less than this one. Without
// a newer reading of the records it waits for one until ctx ends.
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

// encode returns the encoded answer for an instance that has k. s.mu is held.
func (s *Cache) encodeSince(k Known) (*encodedDelta, error) {
	if m := s.encodedDeltas[k]; m != nil {
		return m, nil
	}
	d := Delta{RecordsAsOf: s.recordsAsOf, MembersAsOf: s.membersAsOf, Records: s.records.Since(k.Records), Members: s.members.Since(k.Members),
		Instances: s.instances.Since(k.Instances)}
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

// encodeConfigSince returns what leads from a version of the configuration to the newest
// one. s.mu is held.
func (s *Cache) encodeConfigSince(from uint64) (*encodedConfigDelta, error) {
	if c := s.configDeltas[from]; c != nil {
		return c, nil
	}
	c := &encodedConfigDelta{version: s.routes.Version(), delta: &ConfigDelta{Routes: s.routes.Since(from), Services: s.services.Since(from), TransactionIdle: s.transactionIdle}}
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

// configPart returns a part of a configuration that is fetched on its own.
func (s *Cache) configPart(q configRequest) (configAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes.Version() <= q.From {
		return configAnswer{}, Class.New("no newer configuration")
	}
	c, err := s.encodeConfigSince(q.From)
	if err != nil {
		return configAnswer{}, err
	}
	if c.compressed == nil || q.Offset < 0 || q.Offset > len(c.compressed) {
		return configAnswer{}, Class.New("no part at %d", q.Offset)
	}
	return configAnswer{Version: c.version, Length: len(c.compressed), Part: c.compressed[q.Offset:min(q.Offset+configPartSize, len(c.compressed))]}, nil
}

// storeNow returns the bounds of the store's time; zeros if they are not known.
func (s *Cache) storeNow() (earliest, latest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.bounds.Known() {
		return 0, 0
	}
	return s.bounds.Now(s.clock())
}
