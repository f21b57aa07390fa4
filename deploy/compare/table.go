package main

import (
	"fmt"
	"io"
	"slices"
)

// perDayMeasures lists the measures that are also printed separately for each day.
var perDayMeasures = []string{"worth", "refused", "late"}

// table collects the measures of pairs of trials with the same day and seed.
type table struct {
	pairs   int
	order   []string // names of the measures in the order of output
	samples map[string]*sample
}

func newTable() *table { return &table{samples: make(map[string]*sample)} }

func (t *table) add(before, after *trial) {
	t.pairs++
	measuresBefore := before.measures()
	for i, measured := range after.measures() {
		t.sample(measured.name).add(measuresBefore[i].value, measured.value)
		if slices.Contains(perDayMeasures, measured.name) {
			t.sample(after.day+" "+measured.name).add(measuresBefore[i].value, measured.value)
		}
	}
}

func (t *table) sample(name string) *sample {
	s := t.samples[name]
	if s == nil {
		s = &sample{}
		t.samples[name] = s
		t.order = append(t.order, name)
	}
	return s
}

func (t *table) print(out io.Writer) {
	fmt.Fprintf(out, "%d pairs\n%-34s %10s %10s %10s %10s\n", t.pairs, "measure", "before", "after", "difference", "std error")
	for _, name := range t.order {
		s := t.samples[name]
		mean, standardError := s.difference()
		fmt.Fprintf(out, "%-34s %10.4f %10.4f %+10.4f %10.4f\n", name, average(s.before), average(s.after), mean, standardError)
	}
}
