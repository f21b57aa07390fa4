package session

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

const key = "secret-41c7"

// directory is a Directory without groups: an operation is refused as cut off once its
// access is granted, so that the decision is tested without members.
type directory struct{ config *catalog.Config }

func (d *directory) Access(database string, key catalog.KeyDigest) (catalog.Access, *group.Group) {
	return d.config.Access(database, key), nil
}

func (d *directory) TransactionIdle() time.Duration { return 0 }

// counts is a Metrics that counts refusals.
type counts struct{ refusals map[string]int }

func (counts) Statement(catalog.Consistency, string, time.Duration) {}
func (counts) WorkspaceStatement(string, bool)                      {}
func (counts) CountRetry(string)                                    {}
func (counts) CountCancelled(upstream.Stage)                        {}
func (c counts) CountRefusal(cause string)                          { c.refusals[cause]++ }

// connectedCaller is a caller that does not disconnect.
type connectedCaller struct{ statement.Caller }

// Gone implements statement.Caller.
func (connectedCaller) Gone() bool { return false }

func configOf(version int64, workspaces ...catalog.Workspace) *catalog.Config {
	c := &catalog.Config{Version: version, Routes: map[string]catalog.Route{"db": {Database: "db", Service: "s"}}}
	if workspaces != nil {
		c.Workspaces, _ = catalog.CheckWorkspaces(workspaces)
	}
	return c
}

func newSession(c *catalog.Config) (s *Session, d *directory, m counts, logged *bytes.Buffer) {
	d, m, logged = &directory{c}, counts{make(map[string]int)}, new(bytes.Buffer)
	log := logrus.New()
	log.SetOutput(logged)
	log.SetLevel(logrus.TraceLevel)
	env := Env{Directory: d, Clock: func() time.Duration { return time.Hour }, Log: logrus.NewEntry(log), Metrics: m}
	return New(env, connectedCaller{}, Client{Address: "10.1.0.9:4411", Credential: catalog.NewCredential([]byte(key))}, "db"), d, m, logged
}

// codeOf returns the code of the error of a reply.
func codeOf(t *testing.T, r statement.Reply) verdict.Code {
	t.Helper()
	var v *verdict.Error
	assert.Assert(t, errors.As(r.Err, &v), "%v", r.Err)
	assert.Equal(t, v.Verdict, verdict.NotRun)
	return v.Code
}

// Guards against an operation in the name of a workspace that the session has left, or
// with its weight: a new version moves the key to another workspace. An operation on an
// open deployment has neither.
func TestJobHasWorkspaceOfItsOperation(t *testing.T) {
	keys := []catalog.KeyDigest{catalog.DigestKey(key)}
	s, d, _, _ := newSession(configOf(1, catalog.Workspace{Name: "first", Keys: keys, Rate: 20}))
	for _, kind := range []statement.Kind{statement.Read, statement.Begin} {
		for i, w := range []catalog.Workspace{{Name: "first", Keys: keys, Rate: 20}, {Name: "second", Keys: keys}} {
			d.config = configOf(int64(i+1), w)
			assert.Equal(t, codeOf(t, s.handle(statement.Statement{Kind: kind})), verdict.CutOff)
			j := s.job(operation{}, schedule.Urgent, 0)
			assert.Equal(t, j.Workspace, w.Name)
			assert.Equal(t, j.Weight, w.Rate)
			assert.Equal(t, j.Caller, w.Name+"@10.1.0.9:4411")
		}
	}
	d.config = configOf(3)
	s.handle(statement.Statement{Kind: statement.Read})
	j := s.job(operation{}, schedule.Urgent, 0)
	assert.Equal(t, j.Workspace, "")
	assert.Equal(t, j.Weight, 0.0)
}

// Guards against a session that changes its workspace, its weight or its name inside a
// transaction, and against a refusal there: an open transaction may finish.
func TestOpenTransactionKeepsItsWorkspace(t *testing.T) {
	s, d, m, _ := newSession(configOf(1, catalog.Workspace{Name: "first", Keys: []catalog.KeyDigest{catalog.DigestKey(key)}, Rate: 20}))
	_, _, err := s.authorize()
	assert.Assert(t, err != nil)
	s.tx, s.state = &transaction{rollbackErr: verdict.New(verdict.TransactionRolledBack, "idle")}, statement.InTransaction
	d.config = configOf(2, catalog.Workspace{Name: "second"})
	reply := s.endTransaction(statement.Statement{Kind: statement.Commit})
	assert.Equal(t, codeOf(t, reply), verdict.TransactionRolledBack, "the key was checked in a transaction")
	assert.Equal(t, s.job(operation{}, schedule.Urgent, 0).Workspace, "first")
	assert.Equal(t, len(m.refusals), 0)
	assert.Equal(t, codeOf(t, s.handle(statement.Statement{Kind: statement.Begin})), verdict.Denied)
	assert.Equal(t, s.state, statement.Idle)
}

// Guards against a key in a log line or in the name of a session, which goes to other
// instances: callers come to be identified while a session is open, whose second field was
// a name before. A session that keeps trying must not fill the log.
func TestKeyIsNeverLogged(t *testing.T) {
	s, d, m, logged := newSession(configOf(1))
	s.handle(statement.Statement{Kind: statement.Read})
	assert.Equal(t, s.name, key+"@10.1.0.9:4411", "the name of the caller as before")
	d.config = configOf(2, catalog.Workspace{Name: "acme"})
	for range 5 {
		assert.Equal(t, codeOf(t, s.handle(statement.Statement{Kind: statement.Read})), verdict.Denied)
	}
	assert.Equal(t, s.name, "10.1.0.9:4411")
	assert.Equal(t, s.client.Credential.Name(false), "", "the text of the key is kept")
	assert.Equal(t, m.refusals[keyRevoked], 5)
	assert.Equal(t, bytes.Count(logged.Bytes(), []byte("session_refused")), 1, logged.String())
	assert.Assert(t, bytes.Contains(logged.Bytes(), []byte(catalog.DigestKey(key)[:8])))
	assert.Assert(t, !bytes.Contains(logged.Bytes(), []byte(key)), logged.String())
	d.config = configOf(3, catalog.Workspace{Name: "acme", Keys: []catalog.KeyDigest{catalog.DigestKey(key)}})
	assert.Equal(t, codeOf(t, s.handle(statement.Statement{Kind: statement.Read})), verdict.CutOff, "an added key is accepted")
}

// Guards the names of sessions, and that the error for the caller says whether it may
// retry: a caller without any configuration is cut off, not denied.
func TestNamesAndRefusals(t *testing.T) {
	client := Client{Address: "a:1", Credential: catalog.NewCredential([]byte(key))}
	for _, test := range []struct {
		access catalog.Access
		name   string
		code   verdict.Code
	}{
		{catalog.Access{Decision: catalog.NotConfigured}, "a:1", verdict.CutOff},
		{catalog.Access{Decision: catalog.KeyUnknown, Identified: true}, "a:1", verdict.Denied},
		{catalog.Access{Decision: catalog.KeyMissing, Identified: true}, "a:1", verdict.Denied},
		{catalog.Access{Decision: catalog.DatabaseUnknown, Identified: true}, "a:1", verdict.UnknownService},
		{catalog.Access{Decision: catalog.DatabaseUnknown}, key + "@a:1", verdict.UnknownService},
		{catalog.Access{Decision: catalog.Granted, Identified: true, Route: catalog.Route{Open: true}}, "a:1", 0},
		{catalog.Access{Decision: catalog.Granted, Identified: true, Workspace: catalog.Workspace{Name: "w"}}, "w@a:1", 0},
		{catalog.Access{Decision: catalog.Granted}, key + "@a:1", 0},
	} {
		assert.Equal(t, client.Name(test.access), test.name)
		err := Refusal(test.access, "db")
		if test.access.Decision == catalog.Granted {
			assert.NilError(t, err)
			continue
		}
		assert.Equal(t, verdict.FromError(err).Code, test.code)
		assert.Equal(t, verdict.FromError(err).RetryAfter > 0, test.code == verdict.CutOff)
	}
}
