// Package serve is the subcommand that runs one instance.
package serve

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/instance/node"
	"github.com/papayarail/papayarail/instance/settings"
	"github.com/papayarail/papayarail/papayarail/cli"
)

// Command returns the subcommand.
func Command() cli.Command {
	return cli.Command{Name: "serve", Summary: "run one instance", Run: run}
}

func run(ctx context.Context, env cli.Env, args []string) error {
	fs := cli.NewFlagSet(env, "serve", "-config FILE", "Runs one instance until SIGTERM or SIGINT, and then stops as planned.")
	file := fs.String("config", "", "settings `file` (JSON)")
	if err := cli.Parse(fs, args, 0); err != nil {
		return err
	}
	if *file == "" {
		return cli.Usagef("-config is missing")
	}
	s, err := settings.Load(*file)
	if err != nil {
		return err
	}
	log, err := NewLogger(env, s.LogLevel)
	if err != nil {
		return err
	}
	n, err := node.New(s, log)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// NewLogger returns a logger that writes JSON lines to standard error.
func NewLogger(env cli.Env, level string) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(env.Stderr)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	if level == "" {
		return log, nil
	}
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	log.SetLevel(parsed)
	return log, nil
}
