// Package dump is the subcommand that prints the state of one instance.
package dump

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/papayarail/cli"
)

const timeout = 5 * time.Second

// Command returns the subcommand.
func Command() cli.Command {
	return cli.Command{Name: "dump", Summary: "print the state of one instance as JSON", Run: run}
}

func run(ctx context.Context, env cli.Env, args []string) error {
	fs := cli.NewFlagSet(env, "dump", "OPERATOR-ADDRESS", "Prints the state of the instance at that operators' address (IP:port) as JSON.")
	if err := cli.Parse(fs, args, 1); err != nil {
		return err
	}
	body, err := Get(ctx, fs.Arg(0))
	if err != nil {
		return err
	}
	defer body.Close()
	_, err = io.Copy(env.Stdout, body)
	return err
}

// Get fetches the state dump of the instance at an operators' address.
func Get(ctx context.Context, address string) (io.ReadCloser, error) {
	client := http.Client{Timeout: timeout}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/dump", nil)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	answer, err := client.Do(r)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	if answer.StatusCode != http.StatusOK {
		answer.Body.Close()
		return nil, errs.New("instance at %s answered %s", address, answer.Status)
	}
	return answer.Body, nil
}
