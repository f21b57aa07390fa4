package catalog

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// OwnName is the name in which papayarail opens connections for open routes and for its
// own commands. No workspace may have it.
const OwnName = "papayarail"

// emptyKey is the digest of the empty text, which callers without a key send.
var emptyKey = DigestKey("")

// Problem is an invalid part of the list of workspaces in a configuration.
type Problem struct {
	// Place is the position in the list, from 0, and Workspace the name found there.
	Place     int
	Workspace string
	Text      string
}

// String returns the place and the text of the problem.
func (p Problem) String() string {
	return fmt.Sprintf("entry %d (%q): %s", p.Place, p.Workspace, p.Text)
}

// CheckWorkspaces returns the valid workspaces of a list, by name, and the problems of the
// others. The result is never nil, so that callers are identified even if no workspace
// is valid. An invalid workspace is left out and grants access to nobody:
//
//   - one without a name, with a name that is not a single field of a protocol message,
//     or with the name that papayarail uses itself;
//   - one with the name of an earlier valid workspace in the list, which stays in force;
//   - one with a negative or infinite rate, burst or rank.
//
// An empty key is left out, as it would admit every caller without a key. A key that
// several workspaces list identifies none of them (see Config.WorkspaceOf); their other
// keys stay valid. Invalid workspaces count here, as the key of one of them may be the
// result of a wrong copy.
func CheckWorkspaces(all []Workspace) (map[string]Workspace, []Problem) {
	valid := make(map[string]Workspace, len(all))
	var problems []Problem
	places := make(map[KeyDigest]map[int]bool)
	for place, w := range all {
		for _, key := range w.Keys {
			if places[key] == nil {
				places[key] = make(map[int]bool, 1)
			}
			places[key][place] = true
		}
	}
	for place, w := range all {
		note := func(format string, args ...any) {
			problems = append(problems, Problem{place, w.Name, fmt.Sprintf(format, args...)})
		}
		if text := w.invalid(); text != "" {
			note("%s; workspace left out", text)
			continue
		}
		if _, taken := valid[w.Name]; taken {
			note("an earlier entry has the same name; workspace left out")
			continue
		}
		var keys []KeyDigest
		for i, key := range w.Keys {
			switch {
			case key == "" || key == emptyKey:
				note("key %d is empty or not a text; key left out", i)
			case len(places[key]) > 1:
				note("key %d is also in another entry; it identifies no workspace", i)
			case !slices.Contains(keys, key):
				keys = append(keys, key)
			}
		}
		w.Keys = keys
		valid[w.Name] = w
	}
	return valid, problems
}

// invalid returns why the workspace cannot be used; an empty text if it can.
func (w Workspace) invalid() string {
	switch {
	case w.Name == "":
		return "the name is missing"
	case w.Name == OwnName:
		return "the name is reserved"
	case !ValidName(w.Name):
		return "the name has a blank or a control character"
	case !finite(w.Rate) || !finite(w.Burst):
		return "a rate or burst is negative or not a number"
	case w.Priority < 0:
		return "the priority is negative"
	}
	return ""
}

func finite(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// ValidName reports whether a workspace's name can be one field of a startup message to a
// database. A blank or a line end in it would change the message.
func ValidName(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// HighestLimits returns the names of at most n workspaces with the highest limits, those
// without a limit first.
func HighestLimits(all map[string]Workspace, n int) []string {
	names := slices.SortedFunc(maps.Keys(all), func(a, b string) int {
		return cmp.Or(cmp.Compare(limit(all[b]), limit(all[a])), cmp.Compare(a, b))
	})
	return names[:min(n, len(names))]
}

// limit returns the rate of a workspace, infinite if it has none.
func limit(w Workspace) float64 {
	if w.Rate == 0 {
		return math.Inf(1)
	}
	return w.Rate
}
