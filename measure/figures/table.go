package figures

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Print writes the report as a table, followed by the violations, the errors of the
// read-back and the interrupted requests.
func (r *Report) Print(w io.Writer) error {
	fmt.Fprintf(w, "scenario %s, seed %d\n", r.Scenario, r.Seed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "metric\tpapayarail\tbaseline\ttarget\tresult")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", row.Metric, row.Papayarail, orDash(row.Baseline), orDash(row.Target), row.Result)
	}
	for i, g := range r.Papayarail.Guarantees {
		var base string
		if r.Baseline != nil {
			base = violations(r.Baseline.Guarantees[i])
		}
		result := TargetResult(g.Violations == 0)
		if g.Checks == 0 && g.Violations == 0 {
			result = NotMeasured
		}
		fmt.Fprintf(t, "guarantee %d, %s\t%s\t%s\t0\t%s\n", g.Number, g.Name, violations(g), orDash(base), result)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, g := range r.Papayarail.Guarantees {
		for _, e := range g.Examples {
			fmt.Fprintf(w, "violation of guarantee %d: %s\n", g.Number, e)
		}
	}
	for _, e := range r.Papayarail.ReadBackErrors {
		fmt.Fprintf(w, "not read back: %s\n", e)
	}
	for _, c := range r.Papayarail.InterruptedExamples {
		fmt.Fprintf(w, "cut request: %s\n", c)
	}
	_, err := fmt.Fprintln(w)
	return err
}

func violations(g Guarantee) string { return fmt.Sprintf("%d of %d checks", g.Violations, g.Checks) }

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// FormatCodes returns counts by code on one line, sorted by code.
func FormatCodes(codes map[string]int) string {
	var out []string
	for _, c := range slices.Sorted(maps.Keys(codes)) {
		out = append(out, fmt.Sprintf("%s %d", c, codes[c]))
	}
	return strings.Join(out, ", ")
}

// PrintComparison writes the figures that differ between the reports of an earlier run
// and of this one.
func PrintComparison(w io.Writer, before, after []Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scenario\tmetric\tbefore\tnow")
	for _, now := range after {
		i := slices.IndexFunc(before, func(r Report) bool { return r.Scenario == now.Scenario })
		if i < 0 {
			fmt.Fprintf(t, "%s\t(not in the earlier file)\t\t\n", now.Scenario)
			continue
		}
		printChanges(t, before[i], now)
	}
	return t.Flush()
}

func printChanges(w io.Writer, before, now Report) {
	old := map[string]string{}
	for _, row := range before.Rows {
		old[row.Metric] = row.Papayarail
	}
	for _, row := range now.Rows {
		if was := old[row.Metric]; was != row.Papayarail {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", now.Scenario, row.Metric, orDash(was), row.Papayarail)
		}
	}
	if violationsBefore, violationsNow := before.Papayarail.Violations(), now.Papayarail.Violations(); violationsBefore != violationsNow {
		fmt.Fprintf(w, "%s\tviolations of guarantees\t%d\t%d\n", now.Scenario, violationsBefore, violationsNow)
	}
}
