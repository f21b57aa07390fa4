// Command papayarail runs and operates a PostgreSQL proxy that gives callers
// read-your-writes consistency across its instances. Each subcommand is a package.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/papayarail/papayarail/papayarail/apply"
	"github.com/papayarail/papayarail/papayarail/check"
	"github.com/papayarail/papayarail/papayarail/cli"
	"github.com/papayarail/papayarail/papayarail/demo"
	"github.com/papayarail/papayarail/papayarail/dev"
	"github.com/papayarail/papayarail/papayarail/drain"
	"github.com/papayarail/papayarail/papayarail/dump"
	"github.com/papayarail/papayarail/papayarail/measure"
	"github.com/papayarail/papayarail/papayarail/serve"
	"github.com/papayarail/papayarail/papayarail/show"
	"github.com/papayarail/papayarail/papayarail/standin"
	"github.com/papayarail/papayarail/papayarail/status"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx)
	stop()
	os.Exit(status)
}

func run(ctx context.Context) int {
	env := cli.Env{Stdout: os.Stdout, Stderr: os.Stderr}
	commands := []cli.Command{
		serve.Command(),
		dev.Command(),
		demo.Command(),
		standin.Command(),
		check.Command(),
		show.Command(),
		apply.Command(),
		status.Command(),
		dump.Command(),
		drain.Command(),
		measure.Command(),
	}
	return cli.Main(ctx, env, commands, os.Args[1:])
}
