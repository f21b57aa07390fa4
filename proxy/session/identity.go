package session

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/group"
)

// Client is the other end of a session.
type Client struct {
	Address    string
	Credential catalog.Credential
}

// Name returns the name of a client's session in logs and queues: the workspace and the
// address, the address alone if there is no workspace, or, where callers are not
// identified, the name that the client has given and the address.
func (c Client) Name(a catalog.Access) string {
	switch {
	case a.Workspace.Name != "":
		return a.Workspace.Name + "@" + c.Address
	case a.Identified || a.Decision == catalog.NotConfigured:
		return c.Address
	default:
		return c.Credential.Name(a.Identified) + "@" + c.Address
	}
}

// Refusal returns the error for a client to which access is not granted, or nil.
func Refusal(a catalog.Access, database string) error {
	switch a.Decision {
	case catalog.Granted:
		return nil
	case catalog.KeyMissing, catalog.KeyUnknown:
		return verdict.New(verdict.Denied, "the key belongs to no workspace")
	case catalog.DatabaseUnknown:
		return verdict.New(verdict.UnknownService, "database %q does not exist", database)
	default:
		return verdict.New(verdict.CutOff, "no configuration yet").WithRetryAfter(time.Second)
	}
}

// keyRevoked is the cause of the refusal of an operation of a session whose key was valid
// when the session was opened.
const keyRevoked = "key_revoked"

// authorize decides, by the configuration in force, whether the session may begin an
// operation: a single statement or a transaction. It returns the route and the group of
// the session's database, or the error for the caller. The session has the workspace of
// its key in this configuration from then on.
func (s *Session) authorize() (catalog.Route, *group.Group, error) {
	a, g := s.env.Directory.Access(s.database, s.client.Credential.Digest)
	s.workspace, s.name = a.Workspace, s.client.Name(a)
	if a.Identified {
		s.client.Credential = s.client.Credential.WithoutText()
	}
	err := Refusal(a, s.database)
	denied := a.Decision == catalog.KeyUnknown || a.Decision == catalog.KeyMissing
	if denied {
		s.env.Metrics.CountRefusal(keyRevoked)
	}
	if denied && !s.refused {
		s.env.Log.WithFields(logrus.Fields{"event": "session_refused", "cause": keyRevoked, "session": s.name, "database": s.database,
			"credential": s.client.Credential.String(), "config_version": a.Version}).Info("operation of an open session refused: the key is no longer valid")
	}
	s.refused = denied
	if err != nil {
		return a.Route, nil, err
	}
	if g == nil {
		return a.Route, nil, verdict.New(verdict.CutOff, "service %q of database %q is not known", a.Route.Service, s.database).WithRetryAfter(time.Second)
	}
	return a.Route, g, nil
}

// countStatement counts the outcome of a statement.
func (s *Session) countStatement(r catalog.Route, err error, took time.Duration) {
	s.env.Metrics.Statement(r.Consistency, outcomeName(err), took)
	if s.workspace.Name != "" {
		s.env.Metrics.WorkspaceStatement(s.workspace.Name, err == nil)
	}
}
