//go:build !race

package hop

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/proxy/peer"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// latin1 is a text that is not UTF-8, and longer if its bytes were replaced.
const latin1 = "colle caff\xe8 \xff\xfe"

// text generates texts, most of which are UTF-8.
var text = rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{"", "x", "è", latin1, "\x80", "\xf0\x9f"}), rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string { return string(b) }))

// throughJSON encodes a message and decodes it again.
func throughJSON[T any](t assert.TestingT, message T) (decoded T) {
	raw, err := json.Marshal(message)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(raw, &decoded))
	return decoded
}

// Guards against texts of callers that change on the way to a gateway: a database ran another
// text than its caller had sent, and was told to keep it (review/5).
func TestJobKeepsItsBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := upstream.Job{Statement: statement.Statement{ID: text.Draw(t, "id"), Kind: statement.Execute, Name: text.Draw(t, "name"), Operands: text.Draw(t, "operands")},
			Caller: text.Draw(t, "caller"), Workspace: text.Draw(t, "workspace"), Deadline: 2 * time.Second}
		if rapid.Bool().Draw(t, "values") {
			want.Values = rapid.MapOfN(text, text, 1, 3).Draw(t, "of the session")
		}
		if rapid.Bool().Draw(t, "prepared") {
			want.Prepared = &upstream.Prepared{UpstreamName: text.Draw(t, "upstream name"), Shape: text.Draw(t, "shape")}
		}
		before := throughString(want)
		got, err := throughJSON(t, jobToWire(want, time.Second)).toJob(func() time.Duration { return time.Second })
		assert.NilError(t, err)
		assert.DeepEqual(t, got.Statement, want.Statement)
		assert.DeepEqual(t, got.Values, want.Values)
		assert.DeepEqual(t, got.Prepared, want.Prepared)
		assert.Equal(t, got.Caller+got.Workspace, want.Caller+want.Workspace)
		assert.Equal(t, throughString(want), before, "the job of the session has changed")
	})
}

// throughString formats what a session shares with a job.
func throughString(j upstream.Job) string {
	var b strings.Builder
	for name, value := range j.Values {
		if len(j.Values) == 1 {
			b.WriteString(name + value)
		}
	}
	if j.Prepared != nil {
		b.WriteString(j.Prepared.UpstreamName + j.Prepared.Shape)
	}
	return b.String()
}

// Guards against rows, signatures and error texts that change on the way from a gateway: a caller
// got other rows than the database had sent.
func TestResultKeepsItsBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := upstream.Result{Reply: statement.Reply{Rows: rapid.SliceOfN(text, 1, 3).Draw(t, "rows"), Signature: text.Draw(t, "signature")}}
		if rapid.Bool().Draw(t, "refused") {
			want = upstream.Result{Reply: statement.Reply{Err: &statement.UpstreamError{Reason: statement.Behind, Text: text.Draw(t, "text")}}}
		}
		got := throughJSON(t, resultToWire(want)).toResult()
		assert.NilError(t, got.Err)
		assert.DeepEqual(t, got.Reply.Rows, want.Reply.Rows)
		assert.Equal(t, got.Reply.Signature, want.Reply.Signature)
		if want.Reply.Err != nil {
			assert.Equal(t, got.Reply.Err.Error(), want.Reply.Err.Error())
		}
	})
}

// Guards the whole way to a gateway and back.
func TestBytesThroughGateway(t *testing.T) {
	g := &fakeGroup{known: true}
	r := start(t, g)
	j := r.job(statement.Write, time.Second)
	j.Statement.Operands = latin1
	tx, o, reached := r.mustGateway(t).Open(statement.Statement{ID: latin1, Kind: statement.Begin}, j)
	assert.Assert(t, reached && tx != nil, "%v", o.Begin.Err)
	assert.DeepEqual(t, o.First.Reply.Rows, []string{latin1})
	result := tx.Run(j)
	assert.NilError(t, result.Err)
	assert.DeepEqual(t, result.Reply.Rows, []string{latin1})
}

// Guards a rolling upgrade: a gateway of an earlier release must not run a changed text, and an
// instance of one must not take a result without its rows for a success.
func TestBytesBesideEarlierRelease(t *testing.T) {
	n := newNetwork()
	l := n.Listen("gate")
	defer func() { _ = l.Close() }()
	earlier := peer.NewServer(silentLog())
	s := &server{instance: &fakeGroup{known: true}, clock: n.Clock}
	earlier.Handle(methodExecute, s.execute)
	go func() { _ = earlier.Serve(l) }() // ends with the listener
	r := n.router(t)
	j := r.job(statement.Write, time.Second)
	j.Statement.Operands = latin1
	result, reached := r.mustGateway(t).Execute(j)
	assert.Assert(t, !reached && !result.Sent, "the gateway ran a changed text")

	raw, err := json.Marshal(resultToWire(upstream.Result{Reply: statement.Reply{Rows: []string{latin1}, Signature: "s"}, Sent: true}))
	assert.NilError(t, err)
	var known struct {
		Rows      []string   `json:"rows"`
		Signature string     `json:"signature"`
		Err       *wireError `json:"error"`
	}
	assert.NilError(t, json.Unmarshal(raw, &known))
	assert.Assert(t, known.Err != nil && known.Signature == "")
	var unknown *statement.ConnError
	assert.Assert(t, errors.As(known.Err.toError(), &unknown) && unknown.Sent)
}
