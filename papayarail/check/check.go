// Package check is the subcommand that checks an operators' document.
package check

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/papayarail/cli"
)

// Command returns the subcommand.
func Command() cli.Command {
	return cli.Command{Name: "check", Summary: "check a configuration document", Run: run}
}

func run(_ context.Context, env cli.Env, args []string) error {
	fs := cli.NewFlagSet(env, "check", "[-json] FILE", "Lists all findings with their places. Exit status 1 if there are any.")
	asJSON := fs.Bool("json", false, "print the findings as JSON")
	if err := cli.Parse(fs, args, 1); err != nil {
		return err
	}
	data, err := os.ReadFile(fs.Arg(0))
	if err != nil {
		return err
	}
	return PrintFindings(env, fs.Arg(0), fleet.Check(data), *asJSON)
}

// PrintFindings prints findings to standard error, or as JSON to standard output, and
// returns an error if there are any.
func PrintFindings(env cli.Env, file string, findings []fleet.Finding, asJSON bool) error {
	if asJSON {
		if findings == nil {
			findings = []fleet.Finding{}
		}
		if err := json.NewEncoder(env.Stdout).Encode(findings); err != nil {
			return err
		}
	} else {
		for _, f := range findings {
			fmt.Fprintf(env.Stderr, "%s: %s\n", file, f)
		}
	}
	if len(findings) > 0 {
		return errs.New("%s has %d findings", file, len(findings))
	}
	if !asJSON {
		fmt.Fprintf(env.Stdout, "%s is valid\n", file)
	}
	return nil
}
