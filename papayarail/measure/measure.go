// Package measure is the subcommand that runs load scenarios and compares the
// figures with the naive baseline and the stated targets.
package measure

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/measure/figures"
	"github.com/papayarail/papayarail/measure/scenario"
	"github.com/papayarail/papayarail/papayarail/check"
	"github.com/papayarail/papayarail/papayarail/cli"
)

// defaultDocument equals that of the dev command.
//
//go:embed default.json
var defaultDocument []byte

// Command returns the subcommand.
func Command() cli.Command {
	return cli.Command{Name: "measure", Summary: "measure a local deployment under load, beside a naive baseline", Run: run}
}

const all = "all"

func run(ctx context.Context, env cli.Env, args []string) error {
	fs := cli.NewFlagSet(env, "measure", "-scenario NAME [flags]",
		"Runs a load scenario on a deployment in this process. Exit status 1 means that a\nguarantee was violated; a missed target is only printed.\n\nScenarios: "+
			strings.Join(scenario.Names(), ", ")+", all.")
	name := fs.String("scenario", "", "scenario `name`")
	seed := fs.Uint64("seed", 1, "`seed` of the arrivals")
	duration := fs.Duration("duration", scenario.DefaultDuration, "`length` of each phase")
	jsonFile := fs.String("json", "", "write the figures to `file`")
	history := fs.String("history", "", "compare with the figures of an earlier run in `file`")
	config := fs.String("config", "", "configuration document `file`; without it, that of Colle Trinacria Adesivi")
	if err := cli.Parse(fs, args, 0); err != nil {
		return err
	}
	if *name == "" {
		return cli.Usagef("-scenario is missing")
	}
	doc, err := document(env, *config)
	if err != nil {
		return err
	}
	before, err := load(*history)
	if err != nil {
		return err
	}
	// Half of the machine is left to others, so that parallel work on it
	// disturbs neither side.
	runtime.GOMAXPROCS(max(runtime.NumCPU()/2, 1))
	reports, err := measure(ctx, env, *name, scenario.Options{Document: doc, Seed: *seed, Duration: *duration})
	if err != nil {
		return err
	}
	if *history != "" {
		if err := figures.PrintComparison(env.Stdout, before, reports); err != nil {
			return err
		}
	}
	if err := save(*jsonFile, reports); err != nil {
		return err
	}
	return verdict(reports)
}

// document reads the configuration, by default the one that dev runs.
func document(env cli.Env, file string) (*fleet.Document, error) {
	raw, name := defaultDocument, "the built-in document"
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		raw, name = data, file
	}
	if findings := fleet.Check(raw); len(findings) > 0 {
		return nil, check.PrintFindings(env, name, findings, false)
	}
	return fleet.Parse(raw)
}

func measure(ctx context.Context, env cli.Env, name string, o scenario.Options) ([]figures.Report, error) {
	names := []string{name}
	if name == all {
		names = scenario.Names()
	}
	var reports []figures.Report
	for _, n := range names {
		began := time.Now()
		r, err := scenario.Run(ctx, n, o)
		if err != nil {
			return nil, err
		}
		if err := r.Print(env.Stdout); err != nil {
			return nil, err
		}
		fmt.Fprintf(env.Stderr, "%s took %s\n", n, time.Since(began).Round(time.Second/10))
		reports = append(reports, *r)
	}
	return reports, nil
}

func load(file string) (reports []figures.Report, err error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return reports, errs.Wrap(json.Unmarshal(data, &reports))
}

func save(file string, reports []figures.Report) error {
	if file == "" {
		return nil
	}
	data, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}

func verdict(reports []figures.Report) error {
	violations := 0
	for _, r := range reports {
		violations += r.Papayarail.Violations()
	}
	if violations > 0 {
		return errs.New("%d violations of guarantees", violations)
	}
	return nil
}
