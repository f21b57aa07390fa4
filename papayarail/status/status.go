// Package status implements the subcommand that prints the state of all instances,
// services and upstreams as tables.
package status

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/instance/node"
	"github.com/papayarail/papayarail/papayarail/cli"
	"github.com/papayarail/papayarail/papayarail/dump"
)

const pollInterval = 100 * time.Millisecond

// Command returns the subcommand.
func Command() cli.Command {
	return cli.Command{Name: "status", Summary: "show instances, services and the revision in force", Run: run}
}

// instanceRow is the state of one instance, or the error of the request for it.
type instanceRow struct {
	Name     string     `json:"name"`
	Operator string     `json:"operator"`
	Error    string     `json:"error,omitempty"`
	Dump     *node.Dump `json:"dump,omitempty"`
}

func run(ctx context.Context, env cli.Env, args []string) error {
	fs := cli.NewFlagSet(env, "status", "[flags] OPERATOR-ADDRESS",
		"Requests the state of the instance with that operator address (IP:port) and of all\nits peers.")
	asJSON := fs.Bool("json", false, "print JSON")
	revision := fs.Uint64("wait", 0, "wait until this `revision` is in force on all live instances")
	limit := fs.Duration("timeout", 10*time.Second, "time limit of the command, including -wait")
	if err := cli.Parse(fs, args, 1); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, *limit)
	defer cancel()
	rows, err := collect(ctx, fs.Arg(0))
	for err == nil && len(instancesBehind(rows, *revision)) > 0 {
		select {
		case <-ctx.Done():
			return errs.New("revision %d is not in force on: %s", *revision, strings.Join(instancesBehind(rows, *revision), ", "))
		case <-time.After(pollInterval):
		}
		rows, err = collect(ctx, fs.Arg(0))
	}
	if err != nil {
		return err
	}
	if *asJSON {
		return json.NewEncoder(env.Stdout).Encode(rows)
	}
	return printTable(env, rows)
}

func collect(ctx context.Context, address string) ([]instanceRow, error) {
	first, err := fetch(ctx, address)
	if err != nil {
		return nil, err
	}
	rows := []instanceRow{{Name: first.Instance.Name, Operator: address, Dump: first}}
	for _, p := range first.Peers {
		row := instanceRow{Name: p.Name, Operator: p.OperatorAddress}
		d, err := fetch(ctx, p.OperatorAddress)
		if err != nil {
			row.Error = err.Error()
		}
		row.Dump = d
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	return rows, nil
}

func fetch(ctx context.Context, address string) (*node.Dump, error) {
	body, err := dump.Get(ctx, address)
	if err != nil {
		return nil, err
	}
	defer body.Close()
	d := &node.Dump{}
	return d, errs.Wrap(json.NewDecoder(body).Decode(d))
}

// instancesBehind returns the names of the instances on which the revision is not in
// force, or whose state is unknown. Revision 0 is in force everywhere.
func instancesBehind(rows []instanceRow, revision uint64) []string {
	var out []string
	for _, r := range rows {
		if revision > 0 && (r.Dump == nil || r.Dump.Revision < revision) {
			out = append(out, r.Name)
		}
	}
	return out
}

func printTable(env cli.Env, rows []instanceRow) error {
	w := tabwriter.NewWriter(env.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tDOMAIN\tSTATE\tREVISION\tCALLERS\tUPSTREAMS")
	for _, r := range rows {
		if r.Dump == nil {
			fmt.Fprintf(w, "%s\t\t%s\t\t\t\n", r.Name, "unreachable")
			continue
		}
		state := "active"
		if r.Dump.Leaving {
			state = "leaving"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\n", r.Name, r.Dump.Instance.FailureDomain, state,
			r.Dump.Revision, r.Dump.Router.Callers, len(r.Dump.Upstreams))
	}
	fmt.Fprintln(w, "\nSERVICE\tPRIMARY\tTERM")
	for service, route := range newestRoutes(rows) {
		fmt.Fprintf(w, "%s\t%s\t%d\n", service, route.primary, route.term)
	}
	fmt.Fprintln(w, "\nUPSTREAM\tOWNER\tROLE\tTERM\tLAST\tCONNECTIONS\tWAITING")
	for _, r := range rows {
		if r.Dump == nil {
			continue
		}
		for _, u := range r.Dump.Upstreams {
			waiting := 0
			for _, n := range u.Waiting {
				waiting += n
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d/%d\t%d\n", u.Upstream, r.Name, u.Role, u.Term, u.LastPosition, u.Connections, u.Budget, waiting)
		}
	}
	return w.Flush()
}

type route struct {
	term    uint64
	primary string
}

// newestRoutes returns, by service, the route with the highest term that any instance
// reports.
func newestRoutes(rows []instanceRow) map[string]route {
	out := make(map[string]route)
	for _, r := range rows {
		if r.Dump == nil {
			continue
		}
		for _, rt := range r.Dump.Routes {
			if rt.Term >= out[rt.Service].term {
				out[rt.Service] = route{term: rt.Term, primary: string(rt.Primary)}
			}
		}
	}
	return out
}
