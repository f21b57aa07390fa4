package relay

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/fixedseed"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/storeversion"
	"github.com/papayarail/papayarail/proxy/catalog"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// storeState is the content of the modelled store from a time on. Members and records change
// together, so that one list of IDs stands for both.
type storeState struct {
	since time.Duration
	ids   map[string]bool
}

// cacheModel is a store and instances that read it or poll each other. Version v is states[v].
type cacheModel struct {
	now     time.Duration // of the store
	states  []storeState
	caches  []*Cache
	offsets []time.Duration // local time minus that of the store
}

func (m *cacheModel) local(i int) time.Duration { return m.now + m.offsets[i] }

func (m *cacheModel) change(id string) {
	ids := maps.Clone(m.states[len(m.states)-1].ids)
	if ids[id] {
		delete(ids, id)
	} else {
		ids[id] = true
	}
	m.states = append(m.states, storeState{m.now, ids})
}

// readStore returns what applies the answer to a read by an instance that begins now.
func (m *cacheModel) readStore(i int, members bool) func() {
	sentAt, version := m.local(i), len(m.states)-1
	rows, records := make(catalog.Members), make(map[string]primacy.Record)
	for id := range m.states[version].ids {
		rows[id] = catalog.Member{ID: id, Service: "s", FailureDomain: "z", Address: "10.1.0.9:80", Slots: 2}
		records[id] = primacy.Record{Service: id, Version: storeversion.Version(version)}
	}
	return func() {
		answeredBy := m.now.Truncate(storeTimeUnit)
		if members {
			m.caches[i].SetMembers(catalog.Snapshot[catalog.Member]{Rows: rows, Version: storeversion.Version(version), StoreNow: answeredBy}, sentAt, m.local(i))
		} else {
			m.caches[i].SetRecords(catalog.Snapshot[primacy.Record]{Rows: records, Version: storeversion.Version(version), StoreNow: answeredBy}, sentAt, m.local(i))
		}
	}
}

// poll returns what answers a poll of instance j by instance i that begins now, which returns what
// applies the answer.
func (m *cacheModel) poll(t *rapid.T, i, j int) func() func() {
	sentAt, known := m.local(i), m.caches[i].Known()
	answer := Answer{}
	_, answer.Latest = m.caches[j].storeNow()
	return func() func() {
		m.caches[j].mu.Lock()
		encoded, err := m.caches[j].encodeSince(known)
		m.caches[j].mu.Unlock()
		if err == nil {
			answer.Delta, err = encoded.decode()
		}
		if err != nil {
			t.Fatal(err)
		}
		if answer.Latest != 0 {
			answer.Earliest, _ = m.caches[j].storeNow()
		}
		return func() { m.caches[i].Apply(answer, sentAt, m.local(i)) }
	}
}

// check fails if a copy is not a state of the store, or is older than its time claims.
func (m *cacheModel) check(t *rapid.T) {
	for i, c := range m.caches {
		members, at := c.Members()
		snapshot := c.Records()
		m.checkTable(t, i, "members", c.members.Version(), members, c.membersAsOf, at.Earliest)
		m.checkTable(t, i, "records", c.records.Version(), snapshot.Records, c.recordsAsOf, snapshot.ReadAt.Earliest)
	}
}

func (m *cacheModel) checkTable(t *rapid.T, i int, table string, version uint64, rows any, asOf, earliest time.Duration) {
	if version == 0 {
		return
	}
	ids := make(map[string]bool)
	switch rows := rows.(type) {
	case catalog.Members:
		for id := range rows {
			ids[id] = true
		}
	case map[string]primacy.Record:
		for id := range rows {
			ids[id] = true
		}
	}
	if !maps.Equal(ids, m.states[version].ids) {
		t.Fatalf("instance %d has %v as version %d of the %s, which is %v", i, ids, version, table, m.states[version].ids)
	}
	if next := int(version) + 1; next < len(m.states) && m.states[next].since < asOf {
		t.Fatalf("instance %d has version %d of the %s as of %s, and version %d began at %s", i, version, table, asOf, next, m.states[next].since)
	}
	if earliest > asOf+m.offsets[i] {
		t.Fatalf("instance %d has the %s as of %s, which is %s on its clock, from %s on", i, table, asOf, asOf+m.offsets[i], earliest)
	}
}

// Guards against a list of members or records that lack a change from before the time as of which
// they count: reads of the store and answers of several instances arrive late and out of order.
func TestNoCopyIsOlderThanItsTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &cacheModel{now: time.Hour, states: []storeState{{}, {time.Hour, map[string]bool{"a": true}}}}
		for i := range 3 {
			m.offsets = append(m.offsets, time.Duration(rapid.Int64Range(int64(-time.Minute), int64(time.Minute)).Draw(t, "offset")))
			m.caches = append(m.caches, NewCache(func() time.Duration { return m.local(i) }))
		}
		var answers []func() func() // of polls that are on their way
		var applies []func()        // answers that are on their way back
		take := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "which") }
		for range rapid.IntRange(1, 1000).Draw(t, "events") {
			m.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "later")) * time.Millisecond
			i := take(len(m.caches))
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				m.change(fmt.Sprint(take(5)))
			case 1:
				applies = append(applies, m.readStore(i, true))
			case 2:
				applies = append(applies, m.readStore(i, false))
			case 3:
				answers = append(answers, m.poll(t, i, take(len(m.caches))))
			case 4:
				if len(answers) > 0 {
					k := take(len(answers))
					applies = append(applies, answers[k]())
					answers = append(answers[:k:k], answers[k+1:]...)
				}
			default:
				if len(applies) > 0 {
					k := take(len(applies))
					applies[k]()
					applies = append(applies[:k:k], applies[k+1:]...)
				}
			}
			m.check(t)
		}
	})
}
