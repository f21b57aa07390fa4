// Package demo implements the subcommand that demonstrates read-your-writes consistency
// across two instances with a standard PostgreSQL driver.
package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/jackc/pgx/v5"
	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/papayarail/cli"
)

// timeout bounds the whole demonstration.
const timeout = 20 * time.Second

// Command returns the subcommand.
func Command() cli.Command {
	return cli.Command{Name: "demo", Summary: "write through one instance and read through another", Run: run}
}

func run(ctx context.Context, env cli.Env, args []string) error {
	fs := cli.NewFlagSet(env, "demo", "CONNECTION-STRING CONNECTION-STRING",
		"Writes a row through the first instance with the PostgreSQL driver pgx and reads it\nthrough the second.")
	if err := cli.Parse(fs, args, 2); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	batch := uuid.NewString()
	if err := write(ctx, fs.Arg(0), batch); err != nil {
		return err
	}
	fmt.Fprintf(env.Stdout, "wrote batch %s through %s\n", batch, fs.Arg(0))
	state, err := read(ctx, fs.Arg(1), batch)
	if err != nil {
		return err
	}
	if state != "registered" {
		return errs.New("batch %s has state %q", batch, state)
	}
	fmt.Fprintf(env.Stdout, "read batch %s through %s: %s\n", batch, fs.Arg(1), state)
	return nil
}

func write(ctx context.Context, connString, batch string) error {
	conn, err := pgx.Connect(ctx, connString)
	if err != nil {
		return errs.Wrap(err)
	}
	defer conn.Close(ctx)
	if _, err := conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS batches (id text PRIMARY KEY, state text)"); err != nil {
		return errs.Wrap(err)
	}
	_, err = conn.Exec(ctx, "INSERT INTO batches (id, state) VALUES ($1, $2)", batch, "registered")
	return errs.Wrap(err)
}

func read(ctx context.Context, connString, batch string) (state string, err error) {
	conn, err := pgx.Connect(ctx, connString)
	if err != nil {
		return "", errs.Wrap(err)
	}
	defer conn.Close(ctx)
	err = conn.QueryRow(ctx, "SELECT state FROM batches WHERE id = $1", batch).Scan(&state)
	return state, errs.Wrap(err)
}
