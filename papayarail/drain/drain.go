// Package drain is the subcommand that stops one instance as planned.
package drain

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/papayarail/cli"
)

const (
	timeout      = 5 * time.Second
	pollInterval = 100 * time.Millisecond
)

// Command returns the subcommand.
func Command() cli.Command {
	return cli.Command{Name: "drain", Summary: "stop one instance without cutting a request", Run: run}
}

func run(ctx context.Context, env cli.Env, args []string) error {
	fs := cli.NewFlagSet(env, "drain", "[-wait D] OPERATOR-ADDRESS", "Starts the planned stop of the instance at that operators' address (IP:port).")
	wait := fs.Duration("wait", 0, "wait up to this `duration` until the instance has stopped")
	if err := cli.Parse(fs, args, 1); err != nil {
		return err
	}
	if err := post(ctx, fs.Arg(0)); err != nil {
		return err
	}
	if *wait == 0 {
		fmt.Fprintln(env.Stdout, "planned stop begun")
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, *wait)
	defer cancel()
	for running(ctx, fs.Arg(0)) {
		select {
		case <-ctx.Done():
			return errs.New("the instance has not stopped within %s", *wait)
		case <-time.After(pollInterval):
		}
	}
	fmt.Fprintln(env.Stdout, "instance stopped")
	return nil
}

func post(ctx context.Context, address string) error {
	client := http.Client{Timeout: timeout}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/drain", nil)
	if err != nil {
		return errs.Wrap(err)
	}
	answer, err := client.Do(r)
	if err != nil {
		return errs.Wrap(err)
	}
	answer.Body.Close()
	if answer.StatusCode != http.StatusAccepted {
		return errs.New("instance at %s answered %s", address, answer.Status)
	}
	return nil
}

func running(ctx context.Context, address string) bool {
	client := http.Client{Timeout: timeout}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return false
	}
	answer, err := client.Do(r)
	if err != nil {
		return ctx.Err() != nil
	}
	answer.Body.Close()
	return true
}
