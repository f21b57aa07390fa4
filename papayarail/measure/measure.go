// Package measure implements the subcommand that runs load scenarios against a local
// deployment and compares the figures with the targets and with those of a minimal proxy
// (package naive).
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

// defaultDocument is a copy of the default document of the dev subcommand.
//
//go:embed default.json
var defaultDocument []byte

// Command returns the subcommand.
func Command() cli.Command {
	return cli.Command{Name: "measure", Summary: "measure a local deployment under load and compare it with a naive proxy", Run: run}
}

// all is the scenario name that selects all scenarios.
const all = "all"

func run(ctx context.Context, env cli.Env, args []string) error {
	fs := cli.NewFlagSet(env, "measure", "-scenario NAME [flags]",
		"Runs a load scenario against a deployment in this process. Exits with status 1 if a\nguarantee was violated; a missed target is only reported.\n\nScenarios: "+
			strings.Join(scenario.Names(), ", ")+", all.")
	name := fs.String("scenario", "", "scenario `name`")
	seed := fs.Uint64("seed", 1, "`seed` of the random request arrivals")
	duration := fs.Duration("duration", scenario.DefaultDuration, "`length` of each phase")
	jsonFile := fs.String("json", "", "write the figures to `file`")
	history := fs.String("history", "", "compare with the figures of an earlier run in `file`")
	config := fs.String("config", "", "configuration document `file`; default: the built-in example of Colle Trinacria Adesivi")
	if err := cli.Parse(fs, args, 0); err != nil {
		return err
	}
	if *name == "" {
		return cli.Usagef("-scenario is missing")
	}
	doc, err := loadDocument(env, *config)
	if err != nil {
		return err
	}
	earlier, err := loadReports(*history)
	if err != nil {
		return err
	}
	// Uses at most half of the processors, so that the measurement and other
	// processes on the machine do not disturb each other.
	runtime.GOMAXPROCS(max(runtime.NumCPU()/2, 1))
	reports, err := measure(ctx, env, *name, scenario.Options{Document: doc, Seed: *seed, Duration: *duration})
	if err != nil {
		return err
	}
	if *history != "" {
		if err := figures.PrintComparison(env.Stdout, earlier, reports); err != nil {
			return err
		}
	}
	if err := saveReports(*jsonFile, reports); err != nil {
		return err
	}
	return checkGuarantees(reports)
}

// loadDocument reads and validates a configuration document, by default that of the dev
// subcommand.
func loadDocument(env cli.Env, file string) (*fleet.Document, error) {
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

func loadReports(file string) (reports []figures.Report, err error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return reports, errs.Wrap(json.Unmarshal(data, &reports))
}

func saveReports(file string, reports []figures.Report) error {
	if file == "" {
		return nil
	}
	data, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}

func checkGuarantees(reports []figures.Report) error {
	violations := 0
	for _, r := range reports {
		violations += r.Papayarail.Violations()
	}
	if violations > 0 {
		return errs.New("guarantees were violated %d times", violations)
	}
	return nil
}
