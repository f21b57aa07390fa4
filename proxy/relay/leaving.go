package relay

import (
	"maps"
	"time"

	"github.com/papayarail/papayarail/proxy/catalog"
)

// maxReportAge bounds the time between two lists of members for which the report of a member
// that the second one shows is taken to be as early as the first one. Beyond it, the store
// could not be read.
const maxReportAge = 1300 * time.Millisecond

// reportsIn returns the reports that a newer list shows for the first time: the members were
// in the list that the cache has, and did not leave then. Of a member that is new in it, nobody
// knows since when it leaves. cache.mu is held.
func (cache *Cache) reportsIn(newer catalog.Members, asOf time.Duration) catalog.Leaving {
	var reports catalog.Leaving
	for id, m := range newer {
		before, known := cache.members.Get(id)
		if !m.Draining || !known || before.Draining || before.Started != m.Started {
			continue
		}
		if reports == nil {
			reports = make(catalog.Leaving)
		}
		reports[id] = catalog.LeavingSince{Started: m.Started, Since: max(cache.membersAsOf, asOf-maxReportAge)}
	}
	return reports
}

// leavingRetention is how long the report of a member that is not in the list is kept, from the
// report on: entries that have expired during an outage of the store return.
const leavingRetention = time.Minute

// mergeLeaving adds reports, of which it keeps the earliest for each member, and removes those
// of earlier incarnations and of members that have been missing for long. It reports whether any
// has changed. cache.mu is held.
func (cache *Cache) mergeLeaving(reports catalog.Leaving) (changed bool) {
	now := cache.clock()
	for id, report := range reports {
		known, ok := cache.leaving[id]
		earlier := !ok || known.Started != report.Started || report.Since < known.Since
		if earlier && !cache.outdatedReport(id, report, now) && cache.hasPassed(report.Since, now) {
			cache.leaving[id] = report
			changed = true
		}
	}
	maps.DeleteFunc(cache.leaving, func(id string, report catalog.LeavingSince) bool { return cache.outdatedReport(id, report, now) })
	return changed
}

// outdatedReport reports whether a report is that of an earlier incarnation of a member, or of
// one that has been missing for long. cache.mu is held.
func (cache *Cache) outdatedReport(id string, report catalog.LeavingSince, now time.Duration) bool {
	if m, registered := cache.members.Get(id); registered {
		return m.Started != report.Started
	}
	return now-cache.clockOffset.LocalTime(report.Since, now).Earliest > leavingRetention
}

// leavingFrom handles the reports that another instance has sent.
func (cache *Cache) leavingFrom(reports catalog.Leaving) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.clockOffset.Known() {
		cache.mergeLeaving(reports)
	}
}

// Leaving returns the reports of the members in the list, with times of this instance.
func (cache *Cache) Leaving() catalog.Leaving {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	all := make(catalog.Leaving, len(cache.leaving))
	now := cache.clock()
	for id, report := range cache.leaving {
		all[id] = catalog.LeavingSince{Started: report.Started, Since: cache.clockOffset.LocalTime(report.Since, now).Earliest}
	}
	return all
}

// LeavingBeyond returns the reports, with times of the store, that are missing among others or
// are earlier than there.
func (cache *Cache) LeavingBeyond(others catalog.Leaving) catalog.Leaving {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	var beyond catalog.Leaving
	for id, report := range cache.leaving {
		if other, ok := others[id]; ok && other.Started == report.Started && other.Since <= report.Since {
			continue
		}
		if beyond == nil {
			beyond = make(catalog.Leaving)
		}
		beyond[id] = report
	}
	return beyond
}
