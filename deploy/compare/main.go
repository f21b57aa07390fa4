// Command compare runs the bench with the same scenarios and seeds on two or more
// source trees, and prints the mean paired difference of each measure with its standard
// error. The bench is a separate program, which CI does not have, so that compare is not
// part of CI. The bench calls a scenario a day.
//
//	compare -bench BENCH -site SITE -days trouble-1,scale-1 -seeds 11-18 BASE NEW...
//
// BASE and each NEW are checkouts of this repository. Each NEW is compared with the
// same trials of BASE. With BASE only, its measures are printed.
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

// defaultJobs is the default number of concurrent trials. It leaves one core of a
// machine with six to other processes.
const defaultJobs = 5

type options struct {
	bench, site, reason string   // paths of the bench and its site file; reason for the trials
	days                []string // scenarios of the bench
	seeds               []uint64
	jobs                int      // number of concurrent trials
	trees               []string // source trees, the base first
	extra               []string // further options of the bench
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
	flags.StringVar(&o.bench, "bench", "", "path of the bench program")
	flags.StringVar(&o.site, "site", "", "path of the site file")
	flags.StringVar(&o.reason, "why", "paired comparison", "reason for the trials, for the journal of the bench")
	days := flags.String("days", "trouble-1,scale-1,trouble-2,scale-2,trouble-3", "days (scenarios of the bench), separated by commas")
	seeds := flags.String("seeds", "1-4", "seeds, as 1-4 or 3,5")
	extra := flags.String("extra", "", "further options of the bench, separated by commas")
	flags.IntVar(&o.jobs, "jobs", defaultJobs, "number of concurrent trials")
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

// parseSeeds parses numbers and ranges of numbers, separated by commas.
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

// trial is one run of the bench: one day with one seed on one source tree.
type trial struct {
	tree int // index in options.trees
	day  string
	seed uint64
	report
	err error
}

// invalid reports whether a rule of the bench was broken or the bench reported a fault
// that voids the run.
func (t *trial) invalid() bool {
	return len(t.Violations) > 0 || len(t.Fault) > 0 && string(t.Fault) != "null"
}

// run builds all trees, runs all trials and prints the comparison.
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
	var trials []*trial
	for _, day := range o.days {
		for _, seed := range o.seeds {
			for tree := range o.trees {
				trials = append(trials, &trial{tree: tree, day: day, seed: seed})
			}
		}
	}
	var running sync.WaitGroup
	slots := make(chan struct{}, o.jobs)
	for i, t := range trials {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			t.report, t.err = o.runTrial(t, filepath.Join(reports, strconv.Itoa(i)))
		})
	}
	running.Wait()
	return o.print(out, trials)
}

// runTrial runs the bench, which writes its report to path, and reads the report.
func (o options) runTrial(t *trial, path string) (report, error) {
	args := []string{"run", o.site, t.day, "--seed", strconv.FormatUint(t.seed, 10), "--report", path, "--why", o.reason}
	cmd := exec.Command(o.bench, append(args, o.extra...)...)
	cmd.Dir = o.trees[t.tree]
	// The bench also exits with a failure after a broken rule. The report then says
	// which, so only a missing report is an error.
	text, err := cmd.CombinedOutput()
	r, readErr := readReport(path)
	if readErr != nil {
		return r, Class.New("%s seed %d on %s: %v: %s", t.day, t.seed, o.trees[t.tree], err, lastLines(text))
	}
	return r, nil
}

// lastLines returns the last three lines of text, separated by semicolons.
func lastLines(text []byte) string {
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(len(lines)-3, 0):], "; ")
}

// print prints, for each tree after the first, a table that compares it with the
// first. With one tree only, the table compares it with itself.
func (o options) print(out io.Writer, trials []*trial) error {
	failed := 0
	for _, t := range trials {
		if t.err != nil {
			failed++
			fmt.Fprintf(out, "no report: %v\n", t.err)
		} else if t.invalid() {
			fmt.Fprintf(out, "RULE BROKEN on %s: %s seed %d: %v %s\n", o.trees[t.tree], t.day, t.seed, t.Violations, t.Fault)
		}
	}
	for tree := min(1, len(o.trees)-1); tree < len(o.trees); tree++ {
		t := newTable()
		// The trials of one day and seed follow each other, one per tree.
		for sameTrial := range slices.Chunk(trials, len(o.trees)) {
			if sameTrial[0].err == nil && sameTrial[tree].err == nil {
				t.add(sameTrial[0], sameTrial[tree])
			}
		}
		fmt.Fprintf(out, "%s against %s: ", o.trees[tree], o.trees[0])
		t.print(out)
	}
	if failed > 0 {
		return Class.New("%d of %d trials have no report", failed, len(trials))
	}
	return nil
}
