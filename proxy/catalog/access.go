package catalog

import "sync"

// keyIndex holds the name of the workspace of each key digest. It is built at the first
// lookup and serves every later one, because a configuration may have 2,000 workspaces
// with several keys each and is consulted for each statement.
type keyIndex struct {
	once   sync.Once
	byName map[KeyDigest]string
}

func (i *keyIndex) build(workspaces map[string]Workspace) {
	i.byName = make(map[KeyDigest]string, len(workspaces))
	shared := make(map[KeyDigest]bool)
	for name, w := range workspaces {
		for _, key := range w.Keys {
			if owner, taken := i.byName[key]; taken && owner != name {
				shared[key] = true
			}
			i.byName[key] = name
		}
	}
	for key := range shared {
		delete(i.byName, key)
	}
	delete(i.byName, "")
	delete(i.byName, emptyKey)
}

// Identified reports whether callers are identified by keys.
func (c *Config) Identified() bool { return c != nil && c.Workspaces != nil }

// WorkspaceOf returns the workspace that a key identifies. A key that several workspaces
// list identifies none of them: statements of one must not run in the name of another.
func (c *Config) WorkspaceOf(key KeyDigest) (Workspace, bool) {
	if !c.Identified() {
		return Workspace{}, false
	}
	c.keyIndex.once.Do(func() { c.keyIndex.build(c.Workspaces) })
	name, ok := c.keyIndex.byName[key]
	if !ok {
		return Workspace{}, false
	}
	return c.Workspaces[name], true
}

// Decision is whether a caller may use a database.
type Decision uint8

const (
	// NotConfigured means that there is no configuration yet to decide by.
	NotConfigured Decision = iota
	// Granted means that the caller may use the database.
	Granted
	// KeyMissing means that the caller has sent no key.
	KeyMissing
	// KeyUnknown means that the caller's key belongs to no workspace.
	KeyUnknown
	// DatabaseUnknown means that there is no route to the database.
	DatabaseUnknown
)

var decisionNames = [...]string{"not_configured", "granted", "key_missing", "key_unknown", "database_unknown"}

// String returns the name of the decision as it appears in logs and metrics.
func (d Decision) String() string { return decisionNames[d] }

// Access is what a configuration grants to a caller.
type Access struct {
	Decision Decision
	// Version is that of the configuration; 0 if there is none.
	Version int64
	// Route is the route to the database, if there is one.
	Route Route
	// Identified means that the configuration identifies callers.
	Identified bool
	// Workspace is that of the caller. It has no name if callers are not identified, on
	// an open route and if access is not granted.
	Workspace Workspace
}

// Access decides whether the caller with a key may use a database. Without a valid key, a
// missing database is reported like an existing one, so that a caller without a key
// does not learn which databases exist.
func (c *Config) Access(database string, key KeyDigest) Access {
	if c == nil {
		return Access{}
	}
	a := Access{Version: c.Version, Identified: c.Identified()}
	var found bool
	a.Route, found = c.Routes[database]
	if a.Identified && !a.Route.Open {
		w, ok := c.WorkspaceOf(key)
		if !ok {
			a.Decision = KeyUnknown
			if key == emptyKey || key == "" {
				a.Decision = KeyMissing
			}
			return a
		}
		a.Workspace = w
	}
	a.Decision = Granted
	if !found {
		a.Decision, a.Workspace = DatabaseUnknown, Workspace{}
	}
	return a
}
