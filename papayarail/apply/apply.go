// Package apply is the subcommand that puts a configuration document in force.
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
		"Shows the difference to the revision in force and replaces it, on condition that\nno other revision has come in between.")
	url := fs.String("platform", "", "`URL` of the platform's table and object services")
	table := fs.String("table", "papayarail", "table `name`")
	bucket := fs.String("bucket", "papayarail", "bucket `name`")
	revision := fs.Int64("revision", -1, "the `revision` that you edited; -1 takes the one in force")
	dryRun := fs.Bool("n", false, "show the difference and change nothing")
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

func (o operation) run(ctx context.Context, raw []byte, edited int64) error {
	next, err := fleet.Parse(raw)
	if err != nil {
		return err
	}
	current, before, _, err := o.store.Read(ctx)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	expected := current
	if edited >= 0 {
		expected = configstore.Revision(edited)
	}
	out := result{Revision: uint64(current), Changes: fleet.Diff(before, next)}
	o.show(out)
	if o.dryRun || (before != nil && len(out.Changes) == 0 && expected == current) {
		return o.finish(out)
	}
	applied, err := o.store.Apply(ctx, expected, raw, uuid.NewString())
	if err != nil {
		return o.explain(err)
	}
	out.Applied, out.Revision = true, uint64(applied)
	return o.finish(out)
}

func (o operation) show(r result) {
	if o.asJSON {
		return
	}
	for _, c := range r.Changes {
		fmt.Fprintln(o.env.Stdout, c)
	}
}

func (o operation) finish(r result) error {
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

// explain adds to a conflict what the other operator changed.
func (o operation) explain(err error) error {
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
