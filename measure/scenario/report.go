package scenario

import (
	"fmt"
	"maps"
	"slices"

	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/measure/figures"
	"github.com/papayarail/papayarail/measure/load"
)

var ranks = []string{load.Urgent, load.Middle, load.Least}

// addCommonRows adds the rows that all scenarios have, and the extra rows of the scenario.
func addCommonRows(r *figures.Report) {
	for _, p := range r.Papayarail.Phases {
		addPhaseRows(r, p)
	}
	if len(r.Papayarail.WriteGaps) > 0 || r.Papayarail.FaultsWithoutWrite > 0 {
		addWriteGaps(r)
	}
	addRow(r, "cut requests, all phases", func(s *figures.SystemFigures) string { return fmt.Sprint(s.InterruptedRequests) })
	if r.Papayarail.ServicesNotReadBack > 0 || r.Baseline != nil && r.Baseline.ServicesNotReadBack > 0 {
		addTargetRow(r, "services not read back", "0", "%.0f", func(s *figures.SystemFigures) (float64, bool) { return float64(s.ServicesNotReadBack), true }, atMost(0))
	}
	r.Rows = append(r.Rows, r.Papayarail.ExtraRows...)
}

// addRow appends a row without a target.
func addRow(r *figures.Report, metric string, value func(*figures.SystemFigures) string) {
	row := figures.Row{Metric: metric, Papayarail: value(&r.Papayarail), Result: figures.NoTarget}
	if r.Baseline != nil {
		row.Baseline = value(r.Baseline)
	}
	r.Rows = append(r.Rows, row)
}

func addPhaseRows(r *figures.Report, p figures.Phase) {
	for _, rank := range ranks {
		if _, ok := p.Ranks[rank]; !ok {
			continue
		}
		addRankRows(r, p.Name, rank)
	}
	addRow(r, p.Name+": replica share of reads (/metrics)", phaseValue(p.Name, func(p *figures.Phase) string { return formatPercent(p.ReplicaShare) }))
	addRow(r, p.Name+": Jain's index, urgent", phaseValue(p.Name, func(p *figures.Phase) string { return formatIndex(p.Jain) }))
	addRow(r, p.Name+": cut requests", phaseValue(p.Name, func(p *figures.Phase) string { return fmt.Sprint(p.InterruptedRequests) }))
	addRow(r, p.Name+": longest write pause", phaseValue(p.Name, longestWritePause))
}

func phaseValue(name string, value func(*figures.Phase) string) func(*figures.SystemFigures) string {
	return func(s *figures.SystemFigures) string {
		p := s.Phase(name)
		if p == nil {
			return ""
		}
		return value(p)
	}
}

func addRankRows(r *figures.Report, phase, rank string) {
	rankValue := func(value func(figures.RankFigures) string) func(*figures.SystemFigures) string {
		return phaseValue(phase, func(p *figures.Phase) string { return value(p.Ranks[rank]) })
	}
	addRow(r, phase+" "+rank+": offered/answered/refused/failed", rankValue(func(stats figures.RankFigures) string {
		return fmt.Sprintf("%d/%d/%d/%d", stats.Offered, stats.Answered, stats.Refused, stats.Failed)
	}))
	addRow(r, phase+" "+rank+": p50/p90/p99/max ms", rankValue(func(stats figures.RankFigures) string {
		return fmt.Sprintf("%.0f/%.0f/%.0f/%.0f", stats.P50, stats.P90, stats.P99, stats.Max)
	}))
	if hasErrorCodes(r, phase, rank) {
		addRow(r, phase+" "+rank+": errors by code", rankValue(func(stats figures.RankFigures) string { return figures.FormatCodes(stats.Codes) }))
	}
}

func hasErrorCodes(r *figures.Report, phase, rank string) bool {
	for _, s := range []*figures.SystemFigures{&r.Papayarail, r.Baseline} {
		if p := s.Phase(phase); p != nil && len(p.Ranks[rank].Codes) > 0 {
			return true
		}
	}
	return false
}

func formatPercent(x *float64) string {
	if x == nil {
		return ""
	}
	return fmt.Sprintf("%.1f%%", *x*100)
}

func formatIndex(x *float64) string {
	if x == nil {
		return ""
	}
	return fmt.Sprintf("%.3f", *x)
}

func longestWritePause(p *figures.Phase) string {
	longest := figures.Millis(0)
	for _, d := range p.LongestWritePause {
		longest = max(longest, d)
	}
	return fmt.Sprintf("%.0f ms", longest)
}

// addWriteGaps adds a row per service with its write gaps, and the number of faults
// without a later write.
func addWriteGaps(r *figures.Report) {
	for _, service := range slices.Sorted(maps.Keys(r.Papayarail.WriteGaps)) {
		addRow(r, "write gap "+service, func(s *figures.SystemFigures) string { return formatGaps(s.WriteGaps[service]) })
	}
	addRow(r, "faults without a later write", func(s *figures.SystemFigures) string { return fmt.Sprint(s.FaultsWithoutWrite) })
}

func formatGaps(gaps []figures.Millis) string {
	if len(gaps) == 0 {
		return "none"
	}
	sorted := slices.Sorted(slices.Values(gaps))
	return fmt.Sprintf("n=%d min %.0f median %.0f max %.0f ms", len(sorted), sorted[0], sorted[len(sorted)/2], sorted[len(sorted)-1])
}

// allGaps returns the write gaps of all services in ascending order.
func allGaps(s *figures.SystemFigures) (all []figures.Millis) {
	if s == nil {
		return nil
	}
	for _, gaps := range s.WriteGaps {
		all = append(all, gaps...)
	}
	slices.Sort(all)
	return all
}

// retainedShare returns the share of the offered requests that are answered in a phase
// divided by that share in the phase "quiet". Unlike answered requests per second,
// shares do not vary with the random arrivals.
func retainedShare(s *figures.SystemFigures, phase, rank string) (float64, bool) {
	before, current := s.Phase("quiet"), s.Phase(phase)
	if before == nil || current == nil {
		return 0, false
	}
	quietShare, phaseShare := answeredShare(before.Ranks[rank]), answeredShare(current.Ranks[rank])
	if quietShare == 0 {
		return 0, false
	}
	return phaseShare / quietShare, true
}

func answeredShare(r figures.RankFigures) float64 {
	if r.Offered == 0 {
		return 0
	}
	return float64(r.Answered) / float64(r.Offered)
}

// addTargetRow adds a row that is compared with a target. target is its text,
// format the format of the value.
func addTargetRow(r *figures.Report, metric, target, format string, value func(*figures.SystemFigures) (float64, bool), met func(float64) bool) {
	row := figures.Row{Metric: metric, Target: target, Result: figures.NotMeasured}
	if x, ok := value(&r.Papayarail); ok {
		row.Papayarail = fmt.Sprintf(format, x)
		row.Result = figures.TargetResult(met(x))
	}
	if r.Baseline != nil {
		if x, ok := value(r.Baseline); ok {
			row.Baseline = fmt.Sprintf(format, x)
		}
	}
	r.Rows = append(r.Rows, row)
}

func atLeast(least float64) func(float64) bool { return func(x float64) bool { return x >= least } }
func atMost(most float64) func(float64) bool   { return func(x float64) bool { return x <= most } }

func floodLookupsTargets(r *figures.Report, _ *fleet.Document) {
	retainedPercent := func(rank string) func(*figures.SystemFigures) (float64, bool) {
		return func(s *figures.SystemFigures) (float64, bool) {
			x, ok := retainedShare(s, "flood", rank)
			return x * 100, ok
		}
	}
	addTargetRow(r, "urgent keeps of its quiet rate", ">= 99%", "%.1f%%", retainedPercent(load.Urgent), atLeast(99))
	addTargetRow(r, "middle keeps of its quiet rate", ">= 95%", "%.1f%%", retainedPercent(load.Middle), atLeast(95))
	addTargetRow(r, "urgent p99 against quiet", "<= 1.5", "%.2f", func(s *figures.SystemFigures) (float64, bool) {
		quiet, flood := s.Phase("quiet"), s.Phase("flood")
		if quiet == nil || flood == nil || quiet.Ranks[load.Urgent].P99 == 0 {
			return 0, false
		}
		return float64(flood.Ranks[load.Urgent].P99 / quiet.Ranks[load.Urgent].P99), true
	}, atMost(1.5))
}

// floorRate returns the rate, in requests per second, that the document guarantees to a
// rank on the primaries.
func floorRate(doc *fleet.Document, rank string) (rate float64) {
	share := float64(doc.Ranks[fleet.Rank(rank)].FloorPercent) / 100
	for _, s := range doc.Services {
		rate += share * databaseRate(s.Databases[0])
	}
	return rate
}

func floodUrgentTargets(r *figures.Report, doc *fleet.Document) {
	if b := r.Baseline; b != nil && b.Phase("flood") != nil {
		least := float64(b.Phase("flood").Ranks[load.Urgent].Answered)
		addTargetRow(r, "urgent requests answered in the flood", fmt.Sprintf(">= %.0f, the baseline's", least), "%.0f", func(s *figures.SystemFigures) (float64, bool) {
			p := s.Phase("flood")
			if p == nil {
				return 0, false
			}
			return float64(p.Ranks[load.Urgent].Answered), true
		}, atLeast(least))
	}
	addTargetRow(r, "Jain's index among urgent callers", ">= 0.95", "%.3f", func(s *figures.SystemFigures) (float64, bool) {
		p := s.Phase("flood")
		if p == nil || p.Jain == nil {
			return 0, false
		}
		return *p.Jain, true
	}, atLeast(0.95))
	for _, rank := range []string{load.Middle, load.Least} {
		p := r.Papayarail.Phase("flood")
		floor := floorRate(doc, rank)
		if p != nil {
			floor = min(floor, float64(p.Ranks[rank].Offered)/p.Seconds)
		}
		addTargetRow(r, rank+" keeps its floor, answered/s", fmt.Sprintf(">= %.1f/s", floor), "%.1f/s", func(s *figures.SystemFigures) (float64, bool) {
			p := s.Phase("flood")
			if p == nil {
				return 0, false
			}
			return float64(p.Ranks[rank].Answered) / p.Seconds, true
		}, atLeast(floor))
	}
}

// writeGapTargets compares the 99th percentile of the write gaps, which for fewer
// than 100 faults is the maximum.
func writeGapTargets(r *figures.Report, _ *fleet.Document) {
	addTargetRow(r, "write gap p99", "<= 3000 ms", "%.0f ms", func(s *figures.SystemFigures) (float64, bool) {
		all := allGaps(s)
		if len(all) == 0 || s.FaultsWithoutWrite > 0 {
			return 0, false
		}
		return float64(all[(len(all)*99-1)/100]), true
	}, atMost(3000))
}
