// Package show is the subcommand that prints the document in force.
package show

import (
	"context"
	"fmt"

	"github.com/papayarail/papayarail/papayarail/cli"
	"github.com/papayarail/papayarail/store/awsstore"
	"github.com/papayarail/papayarail/store/configstore"
)

// Command returns the subcommand.
func Command() cli.Command {
	return cli.Command{Name: "show", Summary: "print the configuration document in force", Run: run}
}

func run(ctx context.Context, env cli.Env, args []string) error {
	fs := cli.NewFlagSet(env, "show", "-platform URL [flags]",
		"Prints the document on standard output and its revision on standard error. Edit the\ndocument and apply it with -revision.")
	url := fs.String("platform", "", "`URL` of the platform's table and object services")
	table := fs.String("table", "papayarail", "table `name`")
	bucket := fs.String("bucket", "papayarail", "bucket `name`")
	if err := cli.Parse(fs, args, 0); err != nil {
		return err
	}
	if *url == "" {
		return cli.Usagef("-platform is missing")
	}
	store, err := awsstore.New(awsstore.Settings{TableURL: *url, ObjectURL: *url, Table: *table, Bucket: *bucket})
	if err != nil {
		return err
	}
	revision, _, raw, err := configstore.New(store.Table, store.Objects).Read(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(env.Stderr, "revision %d\n", revision)
	_, err = env.Stdout.Write(raw)
	return err
}
