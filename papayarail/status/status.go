// Package status is the subcommand that shows the fleet in a table.
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

// instance is one row of the table.
type instance struct {
	Name     string     `json:"name"`
	Operator string     `json:"operator"`
	Error    string     `json:"error,omitempty"`
	Dump     *node.Dump `json:"dump,omitempty"`
}

func run(ctx context.Context, env cli.Env, args []string) error {
	fs := cli.NewFlagSet(env, "status", "[flags] OPERATOR-ADDRESS",
		"Asks the instance at that operators' address (IP:port) for its peers, and all of them for their state.")
	asJSON := fs.Bool("json", false, "print JSON")
	revision := fs.Uint64("wait", 0, "wait until this `revision` is in force on every live instance")
	limit := fs.Duration("timeout", 10*time.Second, "how long -wait waits")
	if err := cli.Parse(fs, args, 1); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, *limit)
	defer cancel()
	rows, err := collect(ctx, fs.Arg(0))
	for err == nil && len(lacking(rows, *revision)) > 0 {
		select {
		case <-ctx.Done():
			return errs.New("revision %d is not in force on: %s", *revision, strings.Join(lacking(rows, *revision), ", "))
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
	return table(env, rows)
}

func collect(ctx context.Context, address string) ([]instance, error) {
	first, err := fetch(ctx, address)
	if err != nil {
		return nil, err
	}
	rows := []instance{{Name: first.Instance.Name, Operator: address, Dump: first}}
	for _, p := range first.Peers {
		row := instance{Name: p.Name, Operator: p.OperatorAddress}
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

// lacking names the instances on which the revision is not in force.
func lacking(rows []instance, revision uint64) []string {
	var out []string
	for _, r := range rows {
		if revision > 0 && (r.Dump == nil || r.Dump.Revision < revision) {
			out = append(out, r.Name)
		}
	}
	return out
}

func table(env cli.Env, rows []instance) error {
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

func newestRoutes(rows []instance) map[string]route {
	out := make(map[string]route)
	for _, r := range rows {
		if r.Dump == nil {
			continue
		}
		for _, x := range r.Dump.Routes {
			if x.Term >= out[x.Service].term {
				out[x.Service] = route{term: x.Term, primary: string(x.Primary)}
			}
		}
	}
	return out
}
