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

	"github.com/papayarail/papayarail/core/leadership"
	"github.com/papayarail/papayarail/core/mirror"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/core/storetime"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/catalog"
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
	RecordsAsOf time.Duration                    `json:"began"`
	Records     *mirror.Delta[leadership.Record] `json:"records,omitempty"`
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
	clock boottime.Clock

	mu           sync.Mutex
	bounds       storetime.ClockOffset
	began        time.Duration
	membersBegan time.Duration
	records      *mirror.Table[leadership.Record]
	members      *mirror.Table[catalog.Member]
	instances    *mirror.Table[source.Candidate]
	routes       *mirror.Table[catalog.Route]
	services     *mirror.Table[catalog.Service]
	idle         time.Duration
	changed      chan struct{}      // closed whenever there is a newer reading
	encoded      map[Known]*message // answers made since then
	// configs are the encoded changes of the configuration from other versions.
	configs map[uint64]*encodedConfig
}

// encodedConfig is what leads from one version of the configuration to another.
type encodedConfig struct {
	version uint64
	delta   *ConfigDelta
	// packed is set if the delta is too large for an answer.
	packed []byte
}

func same[T comparable](a, b T) bool { return a == b }

// NewCache returns a Cache without a reading.
func NewCache(clock boottime.Clock) *Cache {
	return &Cache{clock: clock, changed: make(chan struct{}), encoded: make(map[Known]*message), configs: make(map[uint64]*encodedConfig),
		records:   mirror.New(func(a, b leadership.Record) bool { return a.Version == b.Version }),
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
	return Known{RecordsAsOf: s.began, Records: s.records.Version(), Members: s.members.Version(), Instances: s.instances.Version(), Config: s.routes.Version()}
}

// news lets those that wait for a newer reading look again. s.mu is held.
func (s *Cache) news() {
	close(s.changed)
	s.changed = make(chan struct{})
	clear(s.encoded)
}

// storeRounding is the unit of the store's time, which is rounded down.
const storeRounding = time.Millisecond

// read takes in an own reading of a table that was last read at last, in the store's
// time. newer is false if the table has a newer one. s.mu is held.
func read[T any](s *Cache, table *mirror.Table[T], last *time.Duration, r catalog.Snapshot[T], sentAt, answeredAt time.Duration) (changed, newer bool) {
	began := s.reading(r.StoreNow, sentAt, answeredAt)
	if r.Version < table.Version() || began <= *last {
		return false, false
	}
	*last = began
	return table.ApplySnapshot(r.Rows, r.Version), true
}

// reading takes in the times of an own call and returns the store's time, at the
// earliest, when the call was sent. What it read is no older than that, also if
// the store read it long before it put its time into the answer. s.mu is held.
func (s *Cache) reading(now, sentAt, answeredAt time.Duration) time.Duration {
	s.bounds.AddExchange(now, now+storeRounding, sentAt, answeredAt)
	earliest, _ := s.bounds.StoreTime(sentAt)
	return min(earliest, now)
}

// SetRecords takes in an own reading of the records.
func (s *Cache) SetRecords(r catalog.Snapshot[leadership.Record], sentAt, answeredAt time.Duration) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, newer := read(s, s.records, &s.began, r, sentAt, answeredAt); !newer {
		return Changes{}
	}
	s.news()
	return Changes{RecordsRead: true}
}

// SetMembers takes in an own reading of the members.
func (s *Cache) SetMembers(r catalog.Snapshot[catalog.Member], sentAt, answeredAt time.Duration) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, newer := read(s, s.members, &s.membersBegan, r, sentAt, answeredAt)
	return Changes{MembersRead: newer, MembersChanged: changed}
}

// SetInstances takes in an own reading of the announced instances.
func (s *Cache) SetInstances(r catalog.Snapshot[source.Candidate]) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Changes{InstancesChanged: s.instances.ApplySnapshot(r.Rows, r.Version)}
}

// SetConfig takes in a configuration that was read from the store.
func (s *Cache) SetConfig(c *catalog.Config) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := uint64(c.Version)
	if version <= s.routes.Version() {
		return Changes{}
	}
	s.routes.ApplySnapshot(c.Routes, version)
	s.services.ApplySnapshot(c.Services, version)
	s.idle = c.TransactionIdle
	clear(s.configs)
	s.news()
	return Changes{ConfigChanged: true}
}

// Apply takes in another instance's answer to a call that was sent at sentAt and
// answered at answeredAt.
func (s *Cache) Apply(a Answer, sentAt, answeredAt time.Duration) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	var c Changes
	if a.Latest != 0 {
		s.bounds.AddExchange(a.Earliest, a.Latest, sentAt, answeredAt)
	}
	if !s.bounds.Known() || !s.past(a.Delta.RecordsAsOf, answeredAt) || !s.past(a.Delta.MembersAsOf, answeredAt) {
		return c // nothing shows how old it is
	}
	c.ConfigChanged = s.applyConfig(a.Delta.Config)
	if d := a.Delta.Instances; d != nil {
		c.InstancesChanged = s.instances.ApplyDelta(*d)
	}
	if d := a.Delta.Members; d != nil {
		c.MembersChanged = s.members.ApplyDelta(*d)
	}
	if a.Delta.MembersAsOf > s.membersBegan {
		s.membersBegan = a.Delta.MembersAsOf
		c.MembersRead = true
	}
	if d := a.Delta.Records; d != nil {
		s.records.ApplyDelta(*d)
	}
	if a.Delta.RecordsAsOf > s.began {
		s.began = a.Delta.RecordsAsOf
		c.RecordsRead = true
	}
	if c != (Changes{}) {
		s.news()
	}
	return c
}

// ApplyConfig takes in a change of the configuration that was fetched on its own.
func (s *Cache) ApplyConfig(d *ConfigDelta) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Changes{ConfigChanged: s.applyConfig(d)}
	if c.ConfigChanged {
		s.news()
	}
	return c
}

// applyConfig reports whether a change leads to a newer version. s.mu is held.
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
	s.idle = d.TransactionIdle
	clear(s.configs)
	return true
}

// past reports whether the store's time at has passed. A reading from the future
// would keep all later ones out. s.mu is held.
func (s *Cache) past(at, now time.Duration) bool {
	_, latest := s.bounds.StoreTime(now)
	return at <= latest
}

// RecordsRead returns the records, the moment at which they were read, and the
// store's time at the earliest now.
func (s *Cache) Records() (records map[string]leadership.Record, at storetime.Timestamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.All(), s.bounds.LocalTime(s.began, s.clock())
}

// Age returns how old the newest reading of the records is at most; ok is false
// if there is none.
func (s *Cache) Age() (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.began == 0 {
		return 0, false
	}
	now := s.clock()
	return now - s.bounds.LocalTime(s.began, now).Earliest, true
}

// MembersRead returns the members and the moment at which they were read.
func (s *Cache) Members() (members catalog.Members, at storetime.Timestamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.All(), s.bounds.LocalTime(s.membersBegan, s.clock())
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
	return &catalog.Config{Version: int64(s.routes.Version()), Routes: s.routes.All(), Services: s.services.All(), TransactionIdle: s.idle}
}

// await returns the answer for an instance that has less than this one. Without
// a newer reading of the records it waits for one until ctx ends.
func (s *Cache) await(ctx context.Context, k Known) (*message, error) {
	for {
		s.mu.Lock()
		changed := s.changed
		if s.began > k.RecordsAsOf {
			defer s.mu.Unlock()
			return s.encode(k)
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.encode(k)
		}
	}
}

// encode returns the encoded answer for an instance that has k. s.mu is held.
func (s *Cache) encode(k Known) (*message, error) {
	if m := s.encoded[k]; m != nil {
		return m, nil
	}
	d := Delta{RecordsAsOf: s.began, MembersAsOf: s.membersBegan, Records: s.records.DeltaSince(k.Records), Members: s.members.DeltaSince(k.Members),
		Instances: s.instances.DeltaSince(k.Instances)}
	d.ConfigVersion = s.routes.Version()
	if d.ConfigVersion > k.Config {
		c, err := s.encodeConfig(k.Config)
		if err != nil {
			return nil, err
		}
		if c.packed == nil {
			d.Config = c.delta
		}
	}
	m, err := pack(d)
	if err != nil {
		return nil, err
	}
	s.encoded[k] = m
	return m, nil
}

// encodeConfig returns what leads from a version of the configuration to the newest
// one. s.mu is held.
func (s *Cache) encodeConfig(from uint64) (*encodedConfig, error) {
	if c := s.configs[from]; c != nil {
		return c, nil
	}
	c := &encodedConfig{version: s.routes.Version(), delta: &ConfigDelta{Routes: s.routes.DeltaSince(from), Services: s.services.DeltaSince(from), TransactionIdle: s.idle}}
	raw, err := json.Marshal(c.delta)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if len(raw) > inlineConfig {
		if c.packed, err = deflate(raw); err != nil {
			return nil, err
		}
		c.delta = nil
	}
	s.configs[from] = c
	return c, nil
}

// configPart returns a part of a configuration that is fetched on its own.
func (s *Cache) configPart(q configQuestion) (configAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes.Version() <= q.From {
		return configAnswer{}, Class.New("no newer configuration")
	}
	c, err := s.encodeConfig(q.From)
	if err != nil {
		return configAnswer{}, err
	}
	if c.packed == nil || q.Offset < 0 || q.Offset > len(c.packed) {
		return configAnswer{}, Class.New("no part at %d", q.Offset)
	}
	return configAnswer{Version: c.version, Length: len(c.packed), Part: c.packed[q.Offset:min(q.Offset+configPartSize, len(c.packed))]}, nil
}

// storeNow returns the bounds of the store's time; zeros if they are not known.
func (s *Cache) storeNow() (earliest, latest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.bounds.Known() {
		return 0, 0
	}
	return s.bounds.StoreTime(s.clock())
}
