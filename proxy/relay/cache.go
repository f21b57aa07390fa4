// Package relay replicates snapshots of the store between instances by long polls
// that return deltas, with a bound on the age of each snapshot. One instance reads
// the store; the others poll it or each other. core/source decides who polls whom.
package relay

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/core/mirror"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/core/storetime"
	"github.com/papayarail/papayarail/core/storeversion"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/catalog"
)

// Class groups the errors of this package.
var Class = errs.Class("relay")

// Known holds the versions of the polling instance's snapshot; zero means none. Those of
// Records, Members and Instances are of type storeversion.Version, that of Config is the
// operators'.
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
	RecordsAsOf time.Duration `json:"began"`
	// Era is the store's era of the records, and EraSeenAt the store's time of an answer
	// in that era: the earliest one that the polled instance knows of.
	Era       uint64                        `json:"era,omitempty"`
	EraSeenAt time.Duration                 `json:"era_seen,omitempty"`
	Records   *mirror.Delta[primacy.Record] `json:"records,omitempty"`
	// Left names those of the members that Members removes that are known to have left. An
	// instance of an earlier release does not send it.
	Left catalog.Departures `json:"left,omitempty"`
	// Leaving states since when the members that leave do, in the store's time. An instance of
	// an earlier release does not send it.
	Leaving catalog.Leaving `json:"leaving,omitempty"`
	// MembersAsOf is the same bound for the read of the members.
	MembersAsOf time.Duration                   `json:"members_began"`
	Members     *mirror.Delta[catalog.Member]   `json:"members,omitempty"`
	Instances   *mirror.Delta[source.Candidate] `json:"instances,omitempty"`
	// ConfigCursor is the version of the store up to which the configuration is known to be
	// the newest one, and ConfigAgeMs how much earlier than RecordsAsOf the store had it. The
	// cursor is 0 if none is known, and from an instance of an earlier release.
	ConfigCursor uint64 `json:"config_cursor,omitempty"`
	ConfigAgeMs  int64  `json:"config_age,omitempty"`
	// ConfigVersion is the newest version of the configuration. Config is the change
	// to it; if nil although the version is newer, the change exceeds maxInlineConfig
	// and is fetched with Client.FetchConfig.
	ConfigVersion uint64       `json:"config_version,omitempty"`
	Config        *ConfigDelta `json:"config,omitempty"`
}

// ConfigConfirmed returns the cursor up to which the configuration is known to be the newest
// one; zero if none is known.
func (d Delta) ConfigConfirmed() catalog.ConfigCursor {
	if d.ConfigCursor == 0 {
		return catalog.ConfigCursor{}
	}
	return catalog.ConfigCursor{Version: storeversion.Version(d.ConfigCursor), StoreNow: d.RecordsAsOf - time.Duration(d.ConfigAgeMs)*time.Millisecond}
}

// ConfigDelta is a change of the configuration. Routes, Services and Workspaces have the
// same version, that of the configuration.
type ConfigDelta struct {
	Routes   *mirror.Delta[catalog.Route]   `json:"routes"`
	Services *mirror.Delta[catalog.Service] `json:"services"`
	// Identified states whether the configuration identifies callers. It is nil in a
	// change from an instance of an earlier release, which does not know workspaces; such
	// a change is incomplete and is not applied.
	Identified *bool `json:"identified,omitempty"`
	// Workspaces is empty, but not nil, if callers are not identified.
	Workspaces      *mirror.Delta[catalog.Workspace] `json:"workspaces,omitempty"`
	TransactionIdle time.Duration                    `json:"transaction_idle"`

	// compressed is the encoded change from the version from, as another instance sent it
	// in parts; nil if it was not.
	compressed []byte
	from       uint64
}

// Complete reports whether the change holds all parts of a configuration, at one version.
func (d *ConfigDelta) Complete() bool {
	return d != nil && d.Routes != nil && d.Services != nil && d.Workspaces != nil && d.Identified != nil &&
		d.Routes.Version == d.Services.Version && d.Routes.Version == d.Workspaces.Version
}

// Changes says which parts of a Cache an update has changed.
type Changes struct {
	// RecordsRead and MembersRead mean that there is a newer read of the records or
	// the members, whether or not their rows changed.
	RecordsRead, MembersRead                        bool
	MembersChanged, InstancesChanged, ConfigChanged bool
	// LeavingChanged means that there is news of since when members leave.
	LeavingChanged bool
	// Restored means that the records are of a later era of the store than before.
	Restored bool
}

// Cache holds an instance's newest snapshot of the store, read by itself or received
// from a peer. It is safe for concurrent use.
type Cache struct {
	clock boottime.Clock

	mu              sync.Mutex
	clockOffset     storetime.ClockOffset
	recordsAsOf     time.Duration
	membersAsOf     time.Duration
	eraSeenAt       time.Duration // see RecordsSnapshot
	records         *mirror.Table[primacy.Record]
	members         *mirror.Table[catalog.Member]
	instances       *mirror.Table[source.Candidate]
	routes          *mirror.Table[catalog.Route]
	services        *mirror.Table[catalog.Service]
	workspaces      *mirror.Table[catalog.Workspace]
	identified      bool // callers are identified; otherwise workspaces is empty
	transactionIdle time.Duration
	// configCursor is that up to which the configuration is known to be the newest one.
	configCursor catalog.ConfigCursor
	// leaving holds the reports of the members in the list that leave, in the store's time.
	leaving catalog.Leaving
	// left holds the departures that are no older than departureRetention, and leftSeenAt when
	// this instance learned of each.
	left          catalog.Departures
	leftSeenAt    map[string]time.Duration
	updated       chan struct{}           // closed and replaced when there is a newer read
	encodedDeltas map[Known]*encodedDelta // answers encoded since then
	// configDeltas holds the encoded changes of the configuration, by the version from
	// which they start.
	configDeltas map[uint64]*encodedConfigDelta
}

// encodedConfigDelta is a change of the configuration to a version, ready to be sent.
type encodedConfigDelta struct {
	version uint64
	delta   *ConfigDelta
	// compressed replaces delta if delta exceeds maxInlineConfig when encoded.
	compressed []byte
}

func same[T comparable](a, b T) bool { return a == b }

// NewCache returns an empty Cache.
func NewCache(clock boottime.Clock) *Cache {
	return &Cache{clock: clock, leaving: make(catalog.Leaving), left: make(catalog.Departures), leftSeenAt: make(map[string]time.Duration), updated: make(chan struct{}), encodedDeltas: make(map[Known]*encodedDelta), configDeltas: make(map[uint64]*encodedConfigDelta),
		records:   mirror.New(func(a, b primacy.Record) bool { return a.Version == b.Version }),
		members:   mirror.New(catalog.SameMember),
		instances: mirror.New(same[source.Candidate]),
		routes:    mirror.New(same[catalog.Route]),
		services:  mirror.New(same[catalog.Service]),

		workspaces: mirror.New(catalog.Workspace.Equal),
	}
}

// Known returns the versions of the present snapshot.
func (cache *Cache) Known() Known {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return cache.known()
}

func (cache *Cache) known() Known {
	return Known{RecordsAsOf: cache.recordsAsOf, Records: cache.records.Version(), Members: cache.members.Version(), Instances: cache.instances.Version(), Config: cache.routes.Version()}
}

// notify wakes the polls that wait for a newer read. cache.mu is held.
func (cache *Cache) notify() {
	close(cache.updated)
	cache.updated = make(chan struct{})
	clear(cache.encodedDeltas)
}

// storeTimeUnit is the resolution of the store's time, which is rounded down.
const storeTimeUnit = time.Millisecond

// setTable stores a table that this instance read from the store. prevAsOf is the
// store's time of the table's previous read and is updated. newer is false if the table
// already has a newer read. cache.mu is held.
func setTable[T any](cache *Cache, table *mirror.Table[T], prevAsOf *time.Duration, snapshot catalog.Snapshot[T], sentAt, answeredAt time.Duration) (changed, newer bool) {
	asOf := cache.asOf(snapshot.StoreNow, sentAt, answeredAt)
	if uint64(snapshot.Version) < table.Version() || asOf <= *prevAsOf {
		return false, false
	}
	*prevAsOf = asOf
	return table.ApplySnapshot(snapshot.Rows, uint64(snapshot.Version)), true
}

// asOf tightens the bounds of the store's clock with a call of this instance, which the
// store answered with its time now, and returns a lower bound of the store's time when
// the call was sent. The rows in the answer are no older than that, even if the store
// read them long before it put its time into the answer. cache.mu is held.
func (cache *Cache) asOf(now, sentAt, answeredAt time.Duration) time.Duration {
	cache.clockOffset.AddExchange(now, now+storeTimeUnit, sentAt, answeredAt)
	earliest, _ := cache.clockOffset.StoreTime(sentAt)
	return min(earliest, now)
}

// SetRecords stores the records that this instance read from the store by a call that
// was sent at sentAt and answered at answeredAt, on the local clock. It drops them if
// the cache has a newer version or a newer read.
func (cache *Cache) SetRecords(snapshot catalog.Snapshot[primacy.Record], sentAt, answeredAt time.Duration) Changes {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	before := storeversion.Version(cache.records.Version())
	if _, newer := setTable(cache, cache.records, &cache.recordsAsOf, snapshot, sentAt, answeredAt); !newer {
		return Changes{}
	}
	if before == 0 || snapshot.Version.Era() > before.Era() {
		cache.eraSeenAt = snapshot.StoreNow
	}
	cache.notify()
	return Changes{RecordsRead: true, Restored: before > 0 && snapshot.Version.Era() > before.Era()}
}

// SetMembers does for the members what SetRecords does for the records.
func (cache *Cache) SetMembers(snapshot catalog.Snapshot[catalog.Member], sentAt, answeredAt time.Duration) Changes {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	reports := cache.reportsIn(snapshot.Rows, cache.asOf(snapshot.StoreNow, sentAt, answeredAt))
	changed, newer := setTable(cache, cache.members, &cache.membersAsOf, snapshot, sentAt, answeredAt)
	cache.addDepartures(snapshot.Left)
	c := Changes{MembersRead: newer, MembersChanged: changed}
	if newer {
		c.LeavingChanged = cache.mergeLeaving(reports)
	}
	return c
}

// departureRetention is how long a departure is passed on; all instances poll more often.
const departureRetention = 30 * time.Second

// addDepartures adds those of members that are not registered. cache.mu is held.
func (cache *Cache) addDepartures(left catalog.Departures) {
	now := cache.clock()
	maps.DeleteFunc(cache.left, func(id string, _ int64) bool {
		_, registered := cache.members.Get(id)
		return registered || now-cache.leftSeenAt[id] > departureRetention
	})
	for id, started := range left {
		if _, registered := cache.members.Get(id); !registered && cache.left[id] != started {
			cache.left[id], cache.leftSeenAt[id] = started, now
		}
	}
	maps.DeleteFunc(cache.leftSeenAt, func(id string, _ time.Duration) bool {
		_, ok := cache.left[id]
		return !ok
	})
}

// departuresIn returns the departures of the members that a delta removes. cache.mu is held.
func (cache *Cache) departuresIn(d *mirror.Delta[catalog.Member]) catalog.Departures {
	if d == nil || len(cache.left) == 0 {
		return nil
	}
	if d.Full {
		return cache.left
	}
	left := make(catalog.Departures)
	for _, id := range d.Removed {
		if started, ok := cache.left[id]; ok {
			left[id] = started
		}
	}
	return left
}

// Departures returns the latest departures of members.
func (cache *Cache) Departures() catalog.Departures {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return maps.Clone(cache.left)
}

// SetInstances stores the announced instances that this instance read from the store.
func (cache *Cache) SetInstances(snapshot catalog.Snapshot[source.Candidate]) Changes {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return Changes{InstancesChanged: cache.instances.ApplySnapshot(snapshot.Rows, uint64(snapshot.Version))}
}

// SetConfig stores a configuration that this instance read from the store, unless it
// is not newer than that in the cache.
func (cache *Cache) SetConfig(c *catalog.Config) Changes {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	version := uint64(c.Version)
	if version <= cache.routes.Version() {
		return Changes{}
	}
	cache.routes.ApplySnapshot(c.Routes, version)
	cache.services.ApplySnapshot(c.Services, version)
	cache.workspaces.ApplySnapshot(c.Workspaces, version)
	cache.identified = c.Identified()
	cache.transactionIdle = c.TransactionIdle
	clear(cache.configDeltas)
	cache.notify()
	return Changes{ConfigChanged: true}
}

// ConfirmConfig notes that the store had no newer configuration than that of the cache up to a
// cursor.
func (cache *Cache) ConfirmConfig(at catalog.ConfigCursor) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	cache.confirmConfig(cache.routes.Version(), at)
}

// confirmConfig does what ConfirmConfig does for a cursor up to which a version of the
// configuration is the newest one. The cursor means nothing for an older version. cache.mu is
// held.
func (cache *Cache) confirmConfig(version uint64, at catalog.ConfigCursor) {
	if at.Version > 0 && version > 0 && cache.routes.Version() >= version && at.StoreNow > cache.configCursor.StoreNow {
		cache.configCursor = at
	}
}

// confirmFrom handles a cursor that another instance has sent for its version of the
// configuration.
func (cache *Cache) confirmFrom(version uint64, at catalog.ConfigCursor) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.clockOffset.Known() && cache.hasPassed(at.StoreNow, cache.clock()) {
		cache.confirmConfig(version, at)
	}
}

// ConfigCursor returns the cursor up to which the configuration is known to be the newest one.
func (cache *Cache) ConfigCursor() catalog.ConfigCursor {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return cache.configCursor
}

// ConfirmedBeyond returns the cursor up to which the configuration is known to be the newest one
// if that is later than another one; otherwise zero. Cursors that were passed on are up to
// storeTimeUnit too early.
func (cache *Cache) ConfirmedBeyond(other catalog.ConfigCursor) catalog.ConfigCursor {
	if at := cache.ConfigCursor(); at.StoreNow > other.StoreNow+storeTimeUnit {
		return at
	}
	return catalog.ConfigCursor{}
}

// ConfigAge returns an upper bound of the time since the configuration was known to be the
// newest one; ok is false if it never was.
func (cache *Cache) ConfigAge() (age time.Duration, ok bool) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.configCursor.Version == 0 || !cache.clockOffset.Known() {
		return 0, false
	}
	now := cache.clock()
	return now - cache.clockOffset.LocalTime(cache.configCursor.StoreNow, now).Earliest, true
}

// Apply merges a peer's answer to a poll that was sent at sentAt and answered at
// answeredAt, on the local clock. Of an answer whose age cannot be bounded or that claims to
// be from the future, it uses only the configuration, which has no age.
func (cache *Cache) Apply(a Answer, sentAt, answeredAt time.Duration) Changes {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	var c Changes
	if a.Latest != 0 {
		cache.clockOffset.AddExchange(a.Earliest, a.Latest, sentAt, answeredAt)
	}
	if c.ConfigChanged = cache.applyConfig(a.Delta.Config); c.ConfigChanged {
		cache.notify()
	}
	if !cache.clockOffset.Known() || !cache.hasPassed(a.Delta.RecordsAsOf, answeredAt) || !cache.hasPassed(a.Delta.MembersAsOf, answeredAt) {
		return c
	}
	if confirmed := a.Delta.ConfigConfirmed(); cache.hasPassed(confirmed.StoreNow, answeredAt) {
		cache.confirmConfig(a.Delta.ConfigVersion, confirmed)
	}
	if d := a.Delta.Instances; d != nil {
		leaveOut(d, func(name string, i source.Candidate) bool { return i.Check() != nil || i.Name != name })
		c.InstancesChanged = cache.instances.ApplyDelta(*d)
	}
	membersCurrent := true
	if d := a.Delta.Members; d != nil {
		leaveOut(d, func(id string, m catalog.Member) bool { return m.Check() != nil || m.ID != id })
		var reports catalog.Leaving
		if cache.members.Applies(*d) {
			reports = cache.reportsIn(d.Set, a.Delta.MembersAsOf)
		}
		c.MembersChanged = cache.members.ApplyDelta(*d)
		membersCurrent = cache.members.Version() >= d.Version
		cache.addDepartures(a.Delta.Left)
		c.LeavingChanged = cache.mergeLeaving(reports)
	}
	if cache.mergeLeaving(a.Delta.Leaving) {
		c.LeavingChanged = true
	}
	if membersCurrent && a.Delta.MembersAsOf > cache.membersAsOf {
		cache.membersAsOf = a.Delta.MembersAsOf
		c.MembersRead = true
	}
	before := cache.era()
	recordsCurrent := true
	if d := a.Delta.Records; d != nil {
		cache.records.ApplyDelta(*d)
		recordsCurrent = cache.records.Version() >= d.Version
	}
	if cache.era() == a.Delta.Era {
		if cache.eraSeenAt == 0 || cache.era() > before {
			cache.eraSeenAt = a.Delta.EraSeenAt
		}
		cache.eraSeenAt = min(cache.eraSeenAt, a.Delta.EraSeenAt)
	}
	if recordsCurrent && a.Delta.RecordsAsOf > cache.recordsAsOf {
		cache.recordsAsOf = a.Delta.RecordsAsOf
		c.RecordsRead = true
	}
	if c != (Changes{}) {
		cache.notify()
	}
	return c
}

// leaveOut removes invalid rows from a delta, so that they are neither used nor passed on.
// An instance of an earlier release does not check what it has read.
func leaveOut[T any](d *mirror.Delta[T], invalid func(key string, row T) bool) {
	for key, row := range d.Set {
		if invalid(key, row) {
			delete(d.Set, key)
			d.Removed = append(d.Removed, key)
		}
	}
}

// ApplyConfig applies a change of the configuration that FetchConfig returned.
func (cache *Cache) ApplyConfig(d *ConfigDelta) Changes {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	c := Changes{ConfigChanged: cache.applyConfig(d)}
	if c.ConfigChanged {
		// Encoding it again would take a small machine 0.1 s at each level of the
		// distribution tree.
		if d.compressed != nil {
			cache.configDeltas[d.from] = &encodedConfigDelta{version: d.Routes.Version, compressed: d.compressed}
		}
		cache.notify()
	}
	return c
}

// applyConfig applies a change and reports whether it led to a newer version. s.mu is
// held.
func (cache *Cache) applyConfig(d *ConfigDelta) bool {
	if !d.Complete() {
		return false
	}
	// One table may be sent in full and another as a change from a version that this
	// cache no longer has. Applied in part, keys could stay valid that the version revokes.
	if !cache.routes.Applies(*d.Routes) || !cache.services.Applies(*d.Services) || !cache.workspaces.Applies(*d.Workspaces) {
		return false
	}
	cache.routes.ApplyDelta(*d.Routes)
	cache.services.ApplyDelta(*d.Services)
	cache.workspaces.ApplyDelta(*d.Workspaces)
	cache.identified = *d.Identified
	cache.transactionIdle = d.TransactionIdle
	clear(cache.configDeltas)
	return true
}

// hasPassed reports whether the store's time at has passed. A read that claims to be
// from the future would keep out all later ones. cache.mu is held.
func (cache *Cache) hasPassed(at, now time.Duration) bool {
	_, latest := cache.clockOffset.StoreTime(now)
	return at <= latest
}

// RecordsSnapshot is the newest read of the records.
type RecordsSnapshot struct {
	Records map[string]primacy.Record // by service
	Version storeversion.Version      // of the whole store
	// ReadAt is the time of the read: a lower bound in the store's time, and its bounds on
	// the local clock.
	ReadAt storetime.Timestamp
	// EraSeenAt is the store's time of the earliest answer in the era of Version that this
	// instance or those that it polled know of. The store was restored before it.
	EraSeenAt time.Duration
}

// Records returns the newest read of the records.
func (cache *Cache) Records() RecordsSnapshot {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return RecordsSnapshot{cache.records.All(), storeversion.Version(cache.records.Version()), cache.clockOffset.LocalTime(cache.recordsAsOf, cache.clock()), cache.eraSeenAt}
}

// era returns the era of the records. cache.mu is held.
func (cache *Cache) era() uint64 { return storeversion.Version(cache.records.Version()).Era() }

// Age returns an upper bound of the age of the records; ok is false if there are none.
func (cache *Cache) Age() (age time.Duration, ok bool) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.recordsAsOf == 0 {
		return 0, false
	}
	now := cache.clock()
	return now - cache.clockOffset.LocalTime(cache.recordsAsOf, now).Earliest, true
}

// Members returns the members and the time at which they were read, as Records does.
func (cache *Cache) Members() (members catalog.Members, at storetime.Timestamp) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return cache.members.All(), cache.clockOffset.LocalTime(cache.membersAsOf, cache.clock())
}

// HasMembers reports whether the members have been read at least once.
func (cache *Cache) HasMembers() bool {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return cache.members.Version() > 0
}

// Instances returns the announced instances.
func (cache *Cache) Instances() []source.Candidate {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	all := make([]source.Candidate, 0, cache.instances.Len())
	for _, c := range cache.instances.All() {
		all = append(all, c)
	}
	return all
}

// Announced reports whether an instance is announced with exactly these properties.
func (cache *Cache) Announced(c source.Candidate) bool {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	known, ok := cache.instances.Get(c.Name)
	return ok && known == c
}

// Config returns the newest configuration, or nil if there is none.
func (cache *Cache) Config() *catalog.Config {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.routes.Version() == 0 {
		return nil
	}
	c := &catalog.Config{Version: int64(cache.routes.Version()), Routes: cache.routes.All(), Services: cache.services.All(), TransactionIdle: cache.transactionIdle}
	if cache.identified {
		c.Workspaces = cache.workspaces.All()
	}
	return c
}

// awaitNewer returns the answer to the poll of an instance that has k. It waits until
// there is a newer read of the records, or a newer configuration than configSeen, or until
// ctx ends.
func (cache *Cache) awaitNewer(ctx context.Context, k Known, configSeen *uint64) (*encodedDelta, error) {
	for {
		cache.mu.Lock()
		changed := cache.updated
		if cache.recordsAsOf > k.RecordsAsOf || configSeen != nil && cache.routes.Version() > *configSeen {
			defer cache.mu.Unlock()
			return cache.encodeSince(k)
		}
		cache.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			cache.mu.Lock()
			defer cache.mu.Unlock()
			return cache.encodeSince(k)
		}
	}
}

// encodeSince returns the encoded answer for an instance that has k. cache.mu is held.
func (cache *Cache) encodeSince(k Known) (*encodedDelta, error) {
	if encoded := cache.encodedDeltas[k]; encoded != nil {
		return encoded, nil
	}
	d := Delta{RecordsAsOf: cache.recordsAsOf, Era: cache.era(), EraSeenAt: cache.eraSeenAt, MembersAsOf: cache.membersAsOf, Records: cache.records.DeltaSince(k.Records), Members: cache.members.DeltaSince(k.Members),
		Instances: cache.instances.DeltaSince(k.Instances)}
	d.Left, d.Leaving = cache.departuresIn(d.Members), maps.Clone(cache.leaving)
	if at := cache.configCursor; at.Version > 0 {
		d.ConfigCursor, d.ConfigAgeMs = uint64(at.Version), ceilMilliseconds(cache.recordsAsOf-at.StoreNow)
	}
	d.ConfigVersion = cache.routes.Version()
	if d.ConfigVersion > k.Config {
		c, err := cache.encodeConfigSince(k.Config)
		if err != nil {
			return nil, err
		}
		if c.compressed == nil {
			d.Config = c.delta
		}
	}
	encoded, err := encodeDelta(d)
	if err != nil {
		return nil, err
	}
	cache.encodedDeltas[k] = encoded
	return encoded, nil
}

// ceilMilliseconds returns d in ms, rounded up.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1).Truncate(time.Millisecond) / time.Millisecond)
}

// encodeConfigSince returns the encoded change of the configuration from a version to
// the newest one. cache.mu is held.
func (cache *Cache) encodeConfigSince(from uint64) (*encodedConfigDelta, error) {
	if c := cache.configDeltas[from]; c != nil {
		return c, nil
	}
	c := &encodedConfigDelta{version: cache.routes.Version(), delta: cache.configSince(from)}
	raw, err := json.Marshal(c.delta)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if len(raw) > maxInlineConfig {
		if c.compressed, err = deflate(raw, configCompression); err != nil {
			return nil, err
		}
		c.delta = nil
	}
	cache.configDeltas[from] = c
	return c, nil
}

// configSince returns the change of the configuration from a version to the newest one.
// cache.mu is held.
func (cache *Cache) configSince(from uint64) *ConfigDelta {
	identified := cache.identified
	return &ConfigDelta{Routes: cache.routes.DeltaSince(from), Services: cache.services.DeltaSince(from), Workspaces: cache.workspaces.DeltaSince(from),
		Identified: &identified, TransactionIdle: cache.transactionIdle}
}

// configPart returns one part of a change of the configuration. It fails if there is no
// newer version than req.From or the offset is out of range.
func (cache *Cache) configPart(req configRequest) (configAnswer, error) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.routes.Version() <= req.From {
		return configAnswer{}, Class.New("no newer configuration")
	}
	c, err := cache.encodeConfigSince(req.From)
	if err != nil {
		return configAnswer{}, err
	}
	compressed := c.compressed
	if compressed == nil {
		raw, err := json.Marshal(c.delta)
		if err != nil {
			return configAnswer{}, Class.Wrap(err)
		}
		if compressed, err = deflate(raw, configCompression); err != nil {
			return configAnswer{}, err
		}
	}
	if req.Offset < 0 || req.Offset > len(compressed) {
		return configAnswer{}, Class.New("no part at %d", req.Offset)
	}
	return configAnswer{Version: c.version, Length: len(compressed), Part: compressed[req.Offset:min(req.Offset+configPartSize, len(compressed))]}, nil
}

// storeNow returns the bounds of the store's present time; zeros if they are not known.
func (cache *Cache) storeNow() (earliest, latest time.Duration) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if !cache.clockOffset.Known() {
		return 0, 0
	}
	return cache.clockOffset.StoreTime(cache.clock())
}
