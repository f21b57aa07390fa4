//go:build !race

package hop

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"reflect"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/peer"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// countingConn counts the bytes in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// randomText returns text as the callers of deployment A send and read it.
func randomText(r *rand.Rand, n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte('a' + r.IntN(26))
	}
	return string(b)
}

// sizeCase is one kind of call, with the contents of deployment A: statements of 400 bytes
// and answers of 1,000 bytes.
type sizeCase struct {
	name   string
	job    upstream.Job
	result upstream.Result
	inTx   bool
	// maxBytes bounds the bytes of a call, in both directions together.
	maxBytes int64
}

func sizeCases(r *rand.Rand) []sizeCase {
	job := upstream.Job{Caller: "press-i17-3021", Workspace: "acme-press", Weight: 41.7, Rank: 1, Limit: time.Second,
		Statement: statement.Statement{ID: "q20931", Kind: statement.Read, Operands: "k3051 " + randomText(r, 394)}}
	answer := upstream.Result{Reply: statement.Reply{Rows: []string{"k3051 " + randomText(r, 994)}, Signature: "7.1f3a209bc4", Position: position.Position{Term: 3, Offset: 1209377}}}
	write, prepared, refused, next := job, job, answer, job
	write.Statement.Kind, write.CommitsWrites = statement.Write, true
	prepared.Statement.Kind, prepared.Statement.Name = statement.Execute, "p4"
	prepared.Values = map[string]string{"timezone": "utc", "search_path": "press"}
	prepared.Prepared = &upstream.Prepared{UpstreamName: "p9f3b2c11d0", Shape: "read " + randomText(r, 60)}
	refused = upstream.NotSent(verdict.New(verdict.Overloaded, "queue of the member is full").WithRetryAfter(340 * time.Millisecond))
	next.Statement.After = position.Position{Term: 3, Offset: 1209377}
	return []sizeCase{
		{name: "strict read", job: job, result: answer, maxBytes: 1100},
		{name: "write", job: write, result: answer, maxBytes: 1100},
		{name: "prepared", job: prepared, result: answer, maxBytes: 1190},
		{name: "refusal", job: job, result: refused, maxBytes: 450},
		{name: "transaction", job: next, result: answer, inTx: true, maxBytes: 1090},
	}
}

// sizeGateway answers each job with a result.
type sizeGateway struct {
	*fakeGroup
	tx sizeTx
}

type sizeTx struct{ result *upstream.Result }

func (t sizeTx) Run(upstream.Job) upstream.Result { return *t.result }
func (t sizeTx) Abandon()                         {}

func (g *sizeGateway) Executor(string) (Executor, bool) { return g, true }

func (g *sizeGateway) ExpectedWait(string, schedule.Rank) time.Duration {
	return 7*time.Millisecond + 123456
}

func (g *sizeGateway) OpenFor(string, bool, statement.Statement, upstream.Job) (upstream.Tx, upstream.OpenResult, bool) {
	return g.tx, upstream.OpenResult{}, true
}

// bytesPerCall returns the mean bytes of a call from the failure domain "a" to one in
// domain, in both directions, after the first ones of the connection.
func bytesPerCall(t *testing.T, domain string, c sizeCase) int64 {
	n := newNetwork()
	l := n.Listen("gate")
	defer func() { _ = l.Close() }() // nothing is left to do for a listener of the test
	server := peer.NewServer(silentLog())
	Register(server, &sizeGateway{&fakeGroup{known: true, result: c.result}, sizeTx{&c.result}}, n.Clock)
	go func() { _ = server.Serve(l) }() // ends with the listener
	var sent atomic.Int64
	r := NewRouter("self", "a", func(ctx context.Context, to string) (net.Conn, error) {
		conn, err := n.dial(ctx, to)
		return countingConn{conn, &sent}, err
	}, n.Clock, silentLog())
	// An earlier release announces an instance in the same way.
	var gate source.Candidate
	assert.NilError(t, json.Unmarshal(fmt.Appendf(nil, `{"name":"gate","address":"gate","failure_domain":%q,"weight":1}`, domain), &gate))
	client := r.connectTo(gate)
	defer client.Close()
	p := &path{router: r, gateway: "gate", client: client, target: target{"colle-avvisi-3", "colle-avvisi-3-b", true}}
	clock := rand.New(rand.NewPCG(3, 4))
	job := func() upstream.Job {
		j := c.job
		j.Deadline = r.clock() + 4*time.Second - time.Duration(clock.IntN(3e6))
		j.Due = r.clock() + 250*time.Millisecond - time.Duration(clock.IntN(3e6))
		return j
	}
	tx, _, reached := p.Open(statement.Statement{ID: "q1", Kind: statement.Begin}, job())
	assert.Assert(t, reached)
	synctest.Wait()
	const calls = 20
	sent.Store(0)
	for range calls {
		var got upstream.Result
		if c.inTx {
			got = tx.Run(job())
		} else {
			got, _ = p.Execute(job())
		}
		assert.DeepEqual(t, got.Reply, c.result.Reply)
		assert.Equal(t, got.Err == nil, c.result.Err == nil)
	}
	return sent.Load() / calls
}

// Guards requirement 12, the cost of calls between failure domains: the dictionary of the
// package peer must fit the names in the messages of this package. The log has the figures
// of docs/design/compression.md.
func TestBytesPerCall(t *testing.T) {
	for _, c := range sizeCases(rand.New(rand.NewPCG(1, 2))) {
		synctest.Test(t, func(t *testing.T) {
			plain, compressed := bytesPerCall(t, "a", c), bytesPerCall(t, "b", c)
			t.Logf("| %s | %d | %d |", c.name, plain, compressed)
			assert.Assert(t, compressed <= c.maxBytes, "%s: %d bytes", c.name, compressed)
		})
	}
}

// Guards a rolling upgrade: messages without the fields that are zero must mean the same to
// an earlier release, which always sends these fields, and messages of that release must
// mean the same here.
func TestEarlierMessages(t *testing.T) {
	earlier := `{"service":"s","member":"m","job":{"statement":{"ID":"","Kind":0,"Name":"","Writes":false,"Operands":"","After":{"term":0,"offset":0}},` +
		`"caller":"c","prepared":{"UpstreamName":"u","Writes":false,"Shape":"x"},"left":2999123456}}`
	var got executeRequest
	assert.NilError(t, json.Unmarshal([]byte(earlier), &got))
	want := executeRequest{target{Service: "s", Member: "m"}, wireJob{Caller: "c", Prepared: &upstream.Prepared{UpstreamName: "u", Shape: "x"}, TimeLeft: 2999123456}}
	assert.Assert(t, reflect.DeepEqual(got, want), "%+v", got)
	var result executeAnswer
	assert.NilError(t, json.Unmarshal([]byte(`{"result":{"position":{"term":0,"offset":0},"sent":true},"load":{}}`), &result))
	assert.Assert(t, reflect.DeepEqual(result, executeAnswer{Result: wireResult{Sent: true}}), "%+v", result)
	// The fields and their types in the earlier release, whose decoder sets absent ones to
	// zero.
	var earlierRequest struct {
		Job struct {
			Statement struct {
				ID       string
				Kind     uint8
				Name     string
				Writes   bool
				Operands string
				After    struct{ Term, Offset uint64 }
			} `json:"statement"`
			Left time.Duration `json:"left"`
		} `json:"job"`
	}
	j := upstream.Job{Statement: statement.Statement{ID: "q", Kind: statement.Execute, Name: "p", Operands: "o", After: position.Position{Term: 1, Offset: 2}}, Deadline: time.Second}
	raw, err := json.Marshal(executeRequest{Job: jobToWire(j, 0)})
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(raw, &earlierRequest))
	s := earlierRequest.Job.Statement
	assert.Equal(t, statement.Statement{ID: s.ID, Kind: statement.Kind(s.Kind), Name: s.Name, Operands: s.Operands, After: position.Position(s.After)}, j.Statement)
	assert.Equal(t, earlierRequest.Job.Left, time.Second)
	raw, err = json.Marshal(executeRequest{})
	assert.NilError(t, err)
	assert.Equal(t, string(raw), `{"service":"","member":"","job":{"statement":{},"caller":"","left":0}}`)
}

// Guards the deadline against rounding: a gateway must never have more time than its caller.
func TestTimesAreRoundedDown(t *testing.T) {
	for _, left := range []time.Duration{0, 1, 99_999, time.Second - 1, time.Second, time.Second + 1} {
		w := jobToWire(upstream.Job{Deadline: time.Hour + left, Due: time.Hour + left}, time.Hour)
		assert.Assert(t, w.TimeLeft <= left && left-w.TimeLeft < wirePrecision)
		assert.Equal(t, *w.TimeToDue, w.TimeLeft)
	}
}
