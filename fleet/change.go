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
	// Path is a JSON pointer in which elements of lists are given by name instead
	// of by index, such as /services/registro-lotti-1/default_rank.
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

// Diff returns the differences between two documents, ordered by path. List elements
// are matched by name; their order has no meaning. A nil document counts as empty.
func Diff(before, after *Document) []Change {
	var changes []Change
	diffValues(nil, nestedMap(before), nestedMap(after), &changes)
	return changes
}

// nestedMap converts a document to nested maps whose keys are names of fields and of
// list elements.
func nestedMap(d *Document) any {
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
	return keyByName(value)
}

// keyByName replaces each list in a JSON value by a map from the name of an element to
// the element.
func keyByName(value any) any {
	byName := map[string]any{}
	switch v := value.(type) {
	case map[string]any:
		for key, member := range v {
			byName[key] = keyByName(member)
		}
	case []any:
		for _, member := range v {
			if object, ok := member.(map[string]any); ok {
				byName[fmt.Sprint(object["name"])] = keyByName(member)
			} else {
				byName[fmt.Sprint(member)] = member
			}
		}
	default:
		return value
	}
	return byName
}

// diffValues appends the differences between two values at the path.
func diffValues(path []string, before, after any, changes *[]Change) {
	beforeMap, okBefore := before.(map[string]any)
	afterMap, okAfter := after.(map[string]any)
	if !okBefore || !okAfter {
		if compactJSON(before) != compactJSON(after) {
			*changes = append(*changes, Change{jsonPointer(path...), compactJSON(before), compactJSON(after)})
		}
		return
	}
	keys := maps.Clone(beforeMap)
	maps.Copy(keys, afterMap)
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		diffValues(append(path[:len(path):len(path)], key), beforeMap[key], afterMap[key], changes)
	}
}

// compactJSON encodes a value, or returns an empty string for nil.
func compactJSON(value any) string {
	if value == nil {
		return ""
	}
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the value came from JSON
	}
	return string(data)
}

// CheckChange returns the reasons why a change from one valid document to another is not
// allowed, and none if it is. The path of a finding refers to the new document.
func CheckChange(before, after *Document) []Finding {
	var findings []Finding
	for i := range after.Services {
		oldService, ok := before.Service(after.Services[i].Name)
		if ok {
			findings = append(findings, checkReplacements(oldService, &after.Services[i], i)...)
		}
	}
	return append(findings, checkLastInstances(before, after)...)
}

// checkReplacements reports a change after which more than one database of the service
// is removed, moved (to another address or failure domain) or leaving, because a quorum
// of the databases that hold the acknowledged writes must stay in place. Databases that
// were leaving before the change count too, but a change that affects no further database is allowed.
// serviceIndex is the index of the service in the new document.
func checkReplacements(before, after *Service, serviceIndex int) []Finding {
	var affected []string
	newlyAffected := false
	for _, oldDB := range before.Databases {
		newDB, ok := after.Database(oldDB.Name)
		moved := !ok || newDB.Address != oldDB.Address || newDB.FailureDomain != oldDB.FailureDomain
		if moved || newDB.State == Leaving {
			affected = append(affected, oldDB.Name)
			newlyAffected = newlyAffected || moved || oldDB.State == Active
		}
	}
	if len(affected) < 2 || !newlyAffected {
		return nil
	}
	return []Finding{{pointerTo("services", serviceIndex, "databases"),
		fmt.Sprintf("replaces %d databases of service %q at once (%s); replace one at a time", len(affected), after.Name, strings.Join(affected, ", "))}}
}

// checkLastInstances reports failure domains that lose their last active instance but
// have databases before or after the change. The databases must be removed first, in
// a separate change.
func checkLastInstances(before, after *Document) []Finding {
	var findings []Finding
	domains := before.databaseDomains()
	maps.Copy(domains, after.databaseDomains())
	activeBefore, activeAfter := before.activeInstances(), after.activeInstances()
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		if activeBefore[name] > 0 && activeAfter[name] == 0 {
			findings = append(findings, Finding{pointerTo("instances"), fmt.Sprintf("removes the last active instance of failure domain %q, which still has databases", name)})
		}
	}
	return findings
}
