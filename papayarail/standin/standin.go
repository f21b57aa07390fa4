// Package standin is the subcommand that runs a stand-in for the platform or
// for one member of a database group as a process of its own.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/papayarail/papayarail/papayarail/cli"
	"github.com/papayarail/papayarail/standin/dbgroup"
	"github.com/papayarail/papayarail/standin/platformd"
)

// Command returns the subcommand.
func Command() cli.Command {
	return cli.Command{Name: "standin", Summary: "run a stand-in for the platform or a database", Run: run}
}

func run(ctx context.Context, env cli.Env, args []string) error {
	if len(args) == 0 {
		return cli.Usagef("want platform or member")
	}
	switch args[0] {
	case "platform":
		return runPlatform(ctx, env, args[1:])
	case "member":
		return runMember(ctx, env, args[1:])
	default:
		return cli.Usagef("%q is not a stand-in; want platform or member", args[0])
	}
}

func runPlatform(ctx context.Context, env cli.Env, args []string) error {
	fs := cli.NewFlagSet(env, "standin platform", "[flags]", "Serves a DynamoDB-style table and an S3-style object store in memory.")
	address := fs.String("address", "127.0.0.1:9000", "`address` of the table and object services")
	faults := fs.String("fault-address", "", "`address` of the fault interface")
	file := fs.String("instances", "", "JSON `file` with the instances to poll for the instance list")
	lag := fs.Duration("lag", platformd.DefaultInstanceLag, "`lag` of the instance list")
	if err := cli.Parse(fs, args, 0); err != nil {
		return err
	}
	instances, err := readInstances(*file)
	if err != nil {
		return err
	}
	s, err := platformd.New(platformd.Config{Address: *address, FaultAddress: *faults, Instances: instances, InstanceLag: *lag})
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	fmt.Fprintf(env.Stdout, "platform stand-in at %s, faults at %s\n", s.Addr(), s.FaultAddr())
	return s.Serve()
}

func readInstances(file string) ([]platformd.InstanceConfig, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var out []platformd.InstanceConfig
	if err := dec.Decode(&out); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return out, nil
}

func runMember(ctx context.Context, env cli.Env, args []string) error {
	fs := cli.NewFlagSet(env, "standin member", "-config FILE", "Serves one member of a database group in memory.")
	file := fs.String("config", "", "configuration `file` (JSON)")
	if err := cli.Parse(fs, args, 0); err != nil {
		return err
	}
	if *file == "" {
		return cli.Usagef("-config is missing")
	}
	c, err := dbgroup.LoadConfig(*file)
	if err != nil {
		return err
	}
	m, err := dbgroup.New(c)
	if err != nil {
		return err
	}
	fmt.Fprintf(env.Stdout, "member %s at %s, faults at %s\n", c.Name, m.Addr(), m.FaultAddr())
	return m.Serve(ctx)
}
