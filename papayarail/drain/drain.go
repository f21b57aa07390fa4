// Package drain implements the subcommand that starts the planned stop of an instance,
// which interrupts no request.
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
	timeout      = 5 * time.Second // of each HTTP request
	pollInterval = 100 * time.Millisecond
)

// Command returns the subcommand.
func Command() cli.Command {
	return cli.Command{Name: "drain", Summary: "stop one instance without interrupting requests", Run: run}
}

func run(ctx context.Context, env cli.Env, args []string) error {
	fs := cli.NewFlagSet(env, "drain", "[-wait D] OPERATOR-ADDRESS", "Starts the planned stop of the instance with that operator address (IP:port).")
	wait := fs.Duration("wait", 0, "wait up to this `duration` until the instance has stopped")
	if err := cli.Parse(fs, args, 1); err != nil {
		return err
	}
	if err := requestDrain(ctx, fs.Arg(0)); err != nil {
		return err
	}
	if *wait == 0 {
		fmt.Fprintln(env.Stdout, "planned stop begun")
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, *wait)
	defer cancel()
	for isRunning(ctx, fs.Arg(0)) {
		select {
		case <-ctx.Done():
			return errs.New("the instance has not stopped within %s", *wait)
		case <-time.After(pollInterval):
		}
	}
	fmt.Fprintln(env.Stdout, "instance stopped")
	return nil
}

func requestDrain(ctx context.Context, address string) error {
	client := http.Client{Timeout: timeout}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/drain", nil)
	if err != nil {
		return errs.Wrap(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return errs.Wrap(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusAccepted {
		return errs.New("instance at %s answered %s", address, resp.Status)
	}
	return nil
}

// isRunning reports whether the instance answers on its operator address. It returns
// true if ctx has ended, because an error then says nothing about the instance.
func isRunning(ctx context.Context, address string) bool {
	client := http.Client{Timeout: timeout}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return ctx.Err() != nil
	}
	resp.Body.Close()
	return true
}
