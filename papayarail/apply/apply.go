// Package apply implements the subcommand that puts a configuration document in force.
package apply

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/papayarail/check"
	"github.com/papayarail/papayarail/papayarail/cli"
	"github.com/papayarail/papayarail/store"
	"github.com/papayarail/papayarail/store/awsstore"
	"github.com/papayarail/papayarail/store/configstore"
)

// Command returns the subcommand.
func Command() cli.Command {
	return cli.Command{Name: "apply", Summary: "put a configuration document in force", Run: run}
}

type result struct {
	Applied  bool           `json:"applied"`
	Revision uint64         `json:"revision"`
	Changes  []fleet.Change `json:"changes"`
}

func run(ctx context.Context, env cli.Env, args []string) error {
	fs := cli.NewFlagSet(env, "apply", "-platform URL [flags] FILE",
		"Prints the difference from the revision in force and replaces that revision, unless\nanother one has been applied in the meantime.")
	url := fs.String("platform", "", "`URL` of the platform's table and object services")
	table := fs.String("table", "papayarail", "table `name`")
	bucket := fs.String("bucket", "papayarail", "bucket `name`")
	revision := fs.Int64("revision", -1, "the `revision` that the edit is based on; -1 means the one in force")
	dryRun := fs.Bool("n", false, "print the difference without applying the document")
	asJSON := fs.Bool("json", false, "print the result as JSON")
	if err := cli.Parse(fs, args, 1); err != nil {
		return err
	}
	if *url == "" {
		return cli.Usagef("-platform is missing")
	}
	raw, err := os.ReadFile(fs.Arg(0))
	if err != nil {
		return err
	}
	if findings := fleet.Check(raw); len(findings) > 0 {
		return check.PrintFindings(env, fs.Arg(0), findings, *asJSON)
	}
	store, err := awsstore.New(awsstore.Settings{TableURL: *url, ObjectURL: *url, Table: *table, Bucket: *bucket})
	if err != nil {
		return err
	}
	op := operation{env: env, asJSON: *asJSON, dryRun: *dryRun, store: configstore.New(store.Table, store.Objects)}
	return op.run(ctx, raw, *revision)
}

type operation struct {
	env    cli.Env
	asJSON bool
	dryRun bool
	store  *configstore.Store
}

// run compares the document with the one in force, which is nil before the first apply,
// and replaces it. baseRevision is the revision that the edit is based on; a negative one
// means the revision in force.
func (o operation) run(ctx context.Context, raw []byte, baseRevision int64) error {
	next, err := fleet.Parse(raw)
	if err != nil {
		return err
	}
	currentRevision, inForce, _, err := o.store.Read(ctx)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	expected := currentRevision
	if baseRevision >= 0 {
		expected = configstore.Revision(baseRevision)
	}
	res := result{Revision: uint64(currentRevision), Changes: fleet.Diff(inForce, next)}
	o.printChanges(res)
	if o.dryRun || (inForce != nil && len(res.Changes) == 0 && expected == currentRevision) {
		return o.printResult(res)
	}
	applied, err := o.store.Apply(ctx, expected, raw, uuid.NewString())
	if err != nil {
		return o.explainFailure(err)
	}
	res.Applied, res.Revision = true, uint64(applied)
	return o.printResult(res)
}

func (o operation) printChanges(r result) {
	if o.asJSON {
		return
	}
	for _, c := range r.Changes {
		fmt.Fprintln(o.env.Stdout, c)
	}
}

func (o operation) printResult(r result) error {
	switch {
	case o.asJSON:
		return json.NewEncoder(o.env.Stdout).Encode(r)
	case r.Applied:
		fmt.Fprintf(o.env.Stdout, "revision %d is accepted\n", r.Revision)
	default:
		fmt.Fprintf(o.env.Stdout, "nothing applied; revision %d stays in force\n", r.Revision)
	}
	return nil
}

// explainFailure returns the error of a failed apply. It prints the findings on a refused
// document, and adds to a conflict which revision to edit next.
func (o operation) explainFailure(err error) error {
	var refused *configstore.ValidationError
	if errors.As(err, &refused) {
		for _, f := range refused.Findings {
			fmt.Fprintln(o.env.Stderr, f)
		}
		return err
	}
	var conflict *configstore.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	return errs.New("conflict: %w; fetch revision %d, repeat your edit on it and apply again with -revision %d",
		conflict, conflict.Current, conflict.Current)
}
