// Command compare plays the same days with the same seeds on two source trees and
// prints the mean difference of each measure with its standard error. It is not
// part of CI, which has no bench.
//
//	compare -bench BENCH -site SITE -days trouble-1,scale-1 -seeds 11-18 BASE NEW...
//
// BASE and each NEW are checkouts of this repository; the plays of BASE serve all
// comparisons. With one tree only, its figures are printed.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/zeebo/errs"
)

// Class groups the errors of this command.
var Class = errs.Class("compare")

// defaultJobs leaves a core of a machine with six to everything else.
const defaultJobs = 5

type options struct {
	bench, site, reason string
	days                []string
	seeds               []uint64
	jobs                int
	trees               []string
	extra               []string
}

func main() {
	o, err := parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if err := run(o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func parse(args []string) (options, error) {
	var o options
	flags := flag.NewFlagSet("compare", flag.ContinueOnError)
	flags.StringVar(&o.bench, "bench", "", "the bench's program")
	flags.StringVar(&o.site, "site", "", "the site file")
	flags.StringVar(&o.reason, "why", "paired comparison", "the reason, for the journal")
	days := flags.String("days", "trouble-1,scale-1,trouble-2,scale-2,trouble-3", "days, separated by commas")
	seeds := flags.String("seeds", "1-4", "seeds, as 1-4 or 3,5")
	extra := flags.String("extra", "", "further options of the bench, separated by commas")
	flags.IntVar(&o.jobs, "jobs", defaultJobs, "plays at a time")
	if err := flags.Parse(args); err != nil {
		return o, Class.Wrap(err)
	}
	o.trees = flags.Args()
	if o.bench == "" || o.site == "" || len(o.trees) < 1 || o.jobs < 1 {
		return o, Class.New("usage: compare -bench BENCH -site SITE [-days A,B] [-seeds 1-4] [-jobs N] [-why TEXT] BASE [NEW...]")
	}
	o.days = strings.Split(*days, ",")
	if *extra != "" {
		o.extra = strings.Split(*extra, ",")
	}
	var err error
	o.seeds, err = parseSeeds(*seeds)
	return o, err
}

// parseSeeds reads numbers and ranges separated by commas.
func parseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for part := range strings.SplitSeq(text, ",") {
		first, last, isRange := strings.Cut(part, "-")
		if !isRange {
			last = first
		}
		from, err := strconv.ParseUint(first, 10, 63)
		if err != nil {
			return nil, Class.New("%q is not a seed", part)
		}
		to, err := strconv.ParseUint(last, 10, 63)
		if err != nil || to < from {
			return nil, Class.New("%q is not a range of seeds", part)
		}
		for seed := from; seed <= to; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}

// play is one day with one seed on one tree.
type trial struct {
	tree int
	day  string
	seed uint64
	report
	err error
}

// broken reports whether a rule was broken or the day counts for nothing.
func (p *trial) invalid() bool {
	return len(p.Violations) > 0 || len(p.Fault) > 0 && string(p.Fault) != "null"
}

func run(o options, out io.Writer) error {
	for _, tree := range o.trees {
		build := exec.Command(o.bench, "build")
		build.Dir = tree
		if text, err := build.CombinedOutput(); err != nil {
			return Class.New("%s does not build: %v\n%s", tree, err, text)
		}
	}
	reports, err := os.MkdirTemp("", "compare")
	if err != nil {
		return Class.Wrap(err)
	}
	defer os.RemoveAll(reports)
	var plays []*trial
	for _, day := range o.days {
		for _, seed := range o.seeds {
			for tree := range o.trees {
				plays = append(plays, &trial{tree: tree, day: day, seed: seed})
			}
		}
	}
	var running sync.WaitGroup
	slots := make(chan struct{}, o.jobs)
	for i, p := range plays {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			p.report, p.err = o.runTrial(p, filepath.Join(reports, strconv.Itoa(i)))
		})
	}
	running.Wait()
	return o.print(out, plays)
}

func (o options) runTrial(p *trial, path string) (report, error) {
	args := []string{"run", o.site, p.day, "--seed", strconv.FormatUint(p.seed, 10), "--report", path, "--why", o.reason}
	cmd := exec.Command(o.bench, append(args, o.extra...)...)
	cmd.Dir = o.trees[p.tree]
	// The bench also fails after a broken rule; the report then says which.
	text, err := cmd.CombinedOutput()
	r, unread := readReport(path)
	if unread != nil {
		return r, Class.New("%s seed %d on %s: %v: %s", p.day, p.seed, o.trees[p.tree], err, lastLines(text))
	}
	return r, nil
}

func lastLines(text []byte) string {
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(len(lines)-3, 0):], "; ")
}

// print prints a table for each tree after the first, against the first; for one
// tree, its figures.
func (o options) print(out io.Writer, plays []*trial) error {
	failed := 0
	for _, p := range plays {
		if p.err != nil {
			failed++
			fmt.Fprintf(out, "not played: %v\n", p.err)
		} else if p.invalid() {
			fmt.Fprintf(out, "RULE BROKEN on %s: %s seed %d: %v %s\n", o.trees[p.tree], p.day, p.seed, p.Violations, p.Fault)
		}
	}
	for tree := min(1, len(o.trees)-1); tree < len(o.trees); tree++ {
		t := newTable()
		for group := range slices.Chunk(plays, len(o.trees)) {
			if group[0].err == nil && group[tree].err == nil {
				t.add(group[0], group[tree])
			}
		}
		fmt.Fprintf(out, "%s against %s: ", o.trees[tree], o.trees[0])
		t.print(out)
	}
	if failed > 0 {
		return Class.New("%d of %d plays have no figures", failed, len(plays))
	}
	return nil
}
