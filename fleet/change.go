package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is one difference between two documents.
type Change struct {
	// Path is a path in which list members are given by name, such as
	// /services/registro-lotti-1/default_rank.
	Path   string `json:"place"`
	Before string `json:"before,omitempty"` // JSON; empty if added
	After  string `json:"after,omitempty"`  // JSON; empty if removed
}

// String returns the change on one line.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Before, c.After)
	}
}

// Diff returns the differences between two documents, ordered by place. List
// members are matched by name; their order in a list has no meaning.
func Diff(before, after *Document) []Change {
	var out []Change
	diffValues(nil, tree(before), tree(after), &out)
	return out
}

// tree converts a document to nested maps keyed by field or member name.
func tree(d *Document) any {
	if d == nil {
		return map[string]any{}
	}
	data, err := json.Marshal(d)
	if err != nil {
		panic(err) // the types of Document always marshal
	}
	var value any
	if err := json.Unmarshal(data, &value); err != nil {
		panic(err)
	}
	return keyed(value)
}

// keyed replaces lists by maps from the member's name to the member.
func keyed(value any) any {
	out := map[string]any{}
	switch v := value.(type) {
	case map[string]any:
		for key, member := range v {
			out[key] = keyed(member)
		}
	case []any:
		for _, member := range v {
			if object, ok := member.(map[string]any); ok {
				out[fmt.Sprint(object["name"])] = keyed(member)
			} else {
				out[fmt.Sprint(member)] = member
			}
		}
	default:
		return value
	}
	return out
}

func diffValues(path []string, before, after any, out *[]Change) {
	b, okBefore := before.(map[string]any)
	a, okAfter := after.(map[string]any)
	if !okBefore || !okAfter {
		if text(before) != text(after) {
			*out = append(*out, Change{pointer(path...), text(before), text(after)})
		}
		return
	}
	keys := maps.Clone(b)
	maps.Copy(keys, a)
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		diffValues(append(path[:len(path):len(path)], key), b[key], a[key], out)
	}
}

// text returns a value as compact JSON, or an empty string for an absent one.
func text(value any) string {
	if value == nil {
		return ""
	}
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the value came from JSON
	}
	return string(data)
}

// CheckChange returns the findings of a change that each document alone does
// not show. The place of a finding refers to the new document.
func CheckChange(before, after *Document) []Finding {
	var out []Finding
	for i := range after.Services {
		old, ok := before.Service(after.Services[i].Name)
		if ok {
			out = append(out, checkReplaced(old, &after.Services[i], i)...)
		}
	}
	return append(out, checkLastInstances(before, after)...)
}

// checkReplaced refuses a change after which more than one database of the
// service is gone, moved or leaving. A quorum of the databases that hold the
// acknowledged writes must stay in place. Databases that an earlier revision
// set to leaving count too, but a change that touches none passes.
func checkReplaced(before, after *Service, index int) []Finding {
	var affected []string
	fresh := false
	for _, was := range before.Databases {
		is, ok := after.Database(was.Name)
		moved := !ok || is.Address != was.Address || is.FailureDomain != was.FailureDomain
		if moved || is.State == Leaving {
			affected = append(affected, was.Name)
			fresh = fresh || moved || was.State == Active
		}
	}
	if len(affected) < 2 || !fresh {
		return nil
	}
	return []Finding{{at("services", index, "databases"),
		fmt.Sprintf("replaces %d databases of service %q at once (%s); replace one at a time", len(affected), after.Name, strings.Join(affected, ", "))}}
}

// checkLastInstances refuses to remove the last active instance of a failure
// domain that has databases before or after the change. The databases go
// first, in a change of their own.
func checkLastInstances(before, after *Document) []Finding {
	var out []Finding
	domains := before.databaseDomains()
	maps.Copy(domains, after.databaseDomains())
	had, has := before.activeInstances(), after.activeInstances()
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		if had[name] > 0 && has[name] == 0 {
			out = append(out, Finding{at("instances"), fmt.Sprintf("removes the last active instance of failure domain %q, which still has databases", name)})
		}
	}
	return out
}
