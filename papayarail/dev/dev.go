// Package dev is the subcommand that runs a whole deployment in one process.
package dev

import (
	"context"
	_ "embed"
	"fmt"
	"os"
	"time"

	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/measure/local"
	"github.com/papayarail/papayarail/papayarail/check"
	"github.com/papayarail/papayarail/papayarail/cli"
	"github.com/papayarail/papayarail/papayarail/serve"
)

//go:embed default.json
var defaultDocument []byte

const readyTimeout = 20 * time.Second

// Command returns the subcommand.
func Command() cli.Command {
	return cli.Command{Name: "dev", Summary: "run a whole deployment with stand-ins on loopback", Run: run}
}

func run(ctx context.Context, env cli.Env, args []string) error {
	fs := cli.NewFlagSet(env, "dev", "[-config FILE]",
		"Runs the instances of a deployment, stand-in databases and a stand-in platform in\none process on loopback, until SIGINT or SIGTERM. Data is kept in memory only.")
	file := fs.String("config", "", "configuration document `file`; without it, that of Colle Trinacria Adesivi")
	level := fs.String("log", "warn", "log `level`")
	if err := cli.Parse(fs, args, 0); err != nil {
		return err
	}
	raw, name := defaultDocument, "the built-in document"
	if *file != "" {
		data, err := os.ReadFile(*file)
		if err != nil {
			return err
		}
		raw, name = data, *file
	}
	if findings := fleet.Check(raw); len(findings) > 0 {
		return check.PrintFindings(env, name, findings, false)
	}
	doc, err := fleet.Parse(raw)
	if err != nil {
		return err
	}
	log, err := serve.NewLogger(env, *level)
	if err != nil {
		return err
	}
	f, err := local.Start(ctx, local.Config{Document: doc, FixedPorts: true, Log: log})
	if err != nil {
		return err
	}
	defer f.Close()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.WaitReady(readyCtx); err != nil {
		return err
	}
	introduce(env, f)
	<-ctx.Done()
	fmt.Fprintln(env.Stdout, "stopping")
	return nil
}

// introduce prints how to use the deployment.
func introduce(env cli.Env, f *local.Fleet) {
	service := f.Document.Services[0].Name
	fmt.Fprintf(env.Stdout, "%s is up: %d instances, %d services, platform at %s\n\n",
		f.Document.Deployment, len(f.Instances), len(f.Document.Services), f.Platform.URL())
	for i, instance := range f.Instances {
		fmt.Fprintf(env.Stdout, "  %-14s callers %s  operators %s\n", instance.Name,
			f.Instances[i].Settings.CallerAddress, instance.Settings.OperatorAddress)
	}
	fmt.Fprintf(env.Stdout, `
Connect to any instance with a PostgreSQL driver:
  %s
Write at one instance and read at another:
  papayarail demo %s %s
See the fleet:
  papayarail status %s
Change it:
  papayarail apply -platform %s FILE
Stop with Ctrl-C.
`, f.ConnString(0, service), f.ConnString(0, service), f.ConnString(len(f.Instances)-1, service),
		f.Instances[0].Settings.OperatorAddress, f.Platform.URL())
}
