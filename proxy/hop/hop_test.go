//go:build !race

// The race detector of Go 1.26.8 ends tests in synctest bubbles with a segmentation
// violation in the runtime; see proxy/node/simulated_test.go.

package hop

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/peer"
	"github.com/papayarail/papayarail/proxy/simulator"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// fakeGroup is both the Executor and the Instance of a gateway.
type fakeGroup struct {
	result  upstream.Result
	known   bool
	block   chan struct{} // jobs wait until it is closed; nil means no wait
	queued  bool          // jobs wait in a queue until they are cancelled
	load    schedule.Load
	openErr error // why no transaction is opened
	// starting is closed when the instance has started; nil means that it has.
	starting chan struct{}

	mu   sync.Mutex
	jobs []upstream.Job
	txs  []*fakeTx
}

func (g *fakeGroup) ExecuteFor(_ string, _ bool, j upstream.Job) (upstream.Result, bool) {
	g.mu.Lock()
	g.jobs = append(g.jobs, j)
	g.mu.Unlock()
	if g.block != nil {
		<-g.block
	}
	for g.queued {
		time.Sleep(20 * time.Millisecond)
		if j.Gone() {
			return upstream.NotSent(upstream.ErrCancelled()), true
		}
	}
	return g.result, g.known
}

func (g *fakeGroup) OpenFor(_ string, _ bool, _ statement.Statement, j upstream.Job) (upstream.Tx, upstream.OpenResult, bool) {
	if g.block != nil {
		<-g.block
	}
	if g.openErr != nil {
		return nil, upstream.OpenResult{Begin: upstream.NotSent(g.openErr)}, g.known
	}
	tx := &fakeTx{abandoned: make(chan struct{})}
	g.mu.Lock()
	g.txs = append(g.txs, tx)
	g.mu.Unlock()
	return tx, upstream.OpenResult{First: tx.Run(j)}, g.known
}

func (g *fakeGroup) Confirm(context.Context) (group.Confirmation, error) {
	return group.Confirmation{Confirmed: true}, nil
}

func (g *fakeGroup) Load(string) schedule.Load { return g.load }

// Executor implements Instance.
func (g *fakeGroup) Executor(string) (Executor, bool) { return g, true }

// Leaving implements Instance.
func (g *fakeGroup) Leaving() bool { return false }

// AwaitStart implements Instance.
func (g *fakeGroup) AwaitStart(timeout time.Duration) bool {
	if g.starting == nil {
		return true
	}
	select {
	case <-g.starting:
		return true
	case <-time.After(timeout):
		return false
	}
}

type fakeTx struct {
	once      sync.Once
	abandoned chan struct{}
}

func (t *fakeTx) Run(j upstream.Job) upstream.Result {
	reply := statement.Reply{Rows: []string{j.Statement.Operands}, State: statement.InTransaction}
	if j.Statement.Kind == statement.Commit {
		reply.State = statement.Idle
	}
	return upstream.Result{Reply: reply}
}

func (t *fakeTx) Abandon() { t.once.Do(func() { close(t.abandoned) }) }

func silentLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// limit is a connection limit at which two instances use gateways.
const limit = 3

// network is a simulated network with the instance "self" and the gateway "gate".
type network struct {
	*simulator.Cluster
	dial peer.DialFunc
	*simulator.Network
}

func newNetwork() network {
	sim := simulator.NewCluster("m")
	n := sim.NewNetwork()
	return network{sim, func(ctx context.Context, to string) (net.Conn, error) { return n.Dial(ctx, "self", to) }, n}
}

func (n network) router(t *testing.T) *Router {
	r := NewRouter("self", "a", n.dial, n.Clock, silentLog())
	r.SetInstances([]source.Candidate{{Name: "gate", Address: "gate", FailureDomain: "a"}, {Name: "self", FailureDomain: "b"}})
	t.Cleanup(r.Close)
	return r
}

// start serves g as the gateway "gate" and returns the router of another instance.
func start(t *testing.T, g *fakeGroup) *Router {
	n := newNetwork()
	l := n.Listen("gate")
	server := peer.NewServer(silentLog())
	Register(server, g, n.Clock)
	go func() { _ = server.Serve(l) }() // ends with the listener
	t.Cleanup(func() { _ = l.Close() })
	return n.router(t)
}

func (r *Router) mustGateway(t *testing.T) group.Gateway {
	gw, err := r.Gateway("s", catalog.Member{ID: "m"}, false, limit)
	assert.NilError(t, err)
	assert.Assert(t, gw != nil, "no gateway")
	return gw
}

func (r *Router) job(kind statement.Kind, left time.Duration) upstream.Job {
	return upstream.Job{Statement: statement.Statement{ID: "1", Kind: kind, Operands: "x"}, Caller: "c", Deadline: r.clock() + left}
}

// Guards against losing parts of a member's answer on the way through a gateway: the
// verdict, connection errors and the position decide whether the caller's instance
// retries.
func TestResultSurvivesTheHop(t *testing.T) {
	for name, want := range map[string]upstream.Result{
		"answer":  {Reply: statement.Reply{Rows: []string{"r"}, Signature: "s", Position: position.Position{Term: 2, Offset: 9}}},
		"behind":  {Reply: statement.Reply{Err: &statement.UpstreamError{Reason: statement.Behind, Text: "t"}}},
		"link":    {Err: &statement.ConnError{Sent: true, Timeout: true, Err: errors.New("broken")}, Sent: true},
		"verdict": {Err: verdict.New(verdict.Overloaded, "full").WithRetryAfter(time.Second)},
	} {
		raw, err := json.Marshal(resultToWire(want))
		assert.NilError(t, err)
		var w wireResult
		assert.NilError(t, json.Unmarshal(raw, &w))
		got := w.toResult()
		assert.DeepEqual(t, got.Reply.Rows, want.Reply.Rows)
		assert.Equal(t, got.Reply.Position, want.Reply.Position, name)
		assert.Equal(t, got.Sent, want.Sent, name)
		for _, pair := range [][2]error{{got.Err, want.Err}, {got.Reply.Err, want.Reply.Err}} {
			if pair[1] == nil {
				assert.NilError(t, pair[0], name)
				continue
			}
			assert.Equal(t, pair[0].Error(), pair[1].Error(), name)
		}
		if v := verdict.FromError(want.Err); want.Err != nil && v.RetryAfter > 0 {
			assert.Equal(t, verdict.FromError(got.Err).RetryAfter, v.RetryAfter, name)
		}
	}
}

// Guards against a read that hangs while its gateway waits for a silent member: the read
// must end with its attempt, whose limit the session sets (a limit in this package ended
// the read but left the gateway running it), and the gateway must stay in use because it
// answers pings.
func TestSlowReadLeavesGatewayInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{known: true, block: make(chan struct{})}
		defer close(g.block)
		r := start(t, g)
		began := time.Now()
		const attempt = 400 * time.Millisecond
		result, reached := r.mustGateway(t).Execute(r.job(statement.Read, attempt))
		assert.Assert(t, reached && result.Err != nil && result.Sent)
		assert.Assert(t, time.Since(began) <= attempt, "a read waited %s", time.Since(began))
		r.mustGateway(t)
	})
}

// Guards the outcome of a write: the answer of a slow gateway must be awaited until the
// deadline.
func TestLateAnswerToWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{known: true, block: make(chan struct{}), result: upstream.Result{Reply: statement.Reply{Rows: []string{"done"}}}}
		r := start(t, g)
		time.AfterFunc(700*time.Millisecond, func() { close(g.block) })
		j := r.job(statement.Write, 20*time.Second)
		j.CommitsWrites = true
		result, reached := r.mustGateway(t).Execute(j)
		assert.Assert(t, reached)
		assert.NilError(t, result.Err)
		assert.DeepEqual(t, result.Reply.Rows, []string{"done"})
	})
}

// Guards against using a gateway that is down: its jobs must count as not sent. Without
// another gateway, the next ones must be refused as cut off with a time to come back, and
// must not go directly to the member, whose connections do not suffice for all instances.
func TestUnreachableGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newNetwork().router(t)
		j := r.job(statement.Write, time.Second)
		j.CommitsWrites = true
		result, reached := r.mustGateway(t).Execute(j)
		assert.Assert(t, !reached && !result.Sent)
		result, reached = r.mustGateway(t).Execute(j)
		assert.Assert(t, reached && !result.Sent, "the refusal is final")
		v := verdict.FromError(result.Err)
		assert.Equal(t, v.Code, verdict.CutOff)
		assert.Assert(t, v.RetryAfter > 0 && v.RetryAfter <= 1500*time.Millisecond, "retry after %s", v.RetryAfter)
	})
}

// Guards against a gateway that is excluded because it has just started and does not know
// its services yet: after a loss of power, every instance excluded both gateways of a member
// and connected to it directly. The statement must wait there for half of its time at most.
func TestStartingGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{known: true, starting: make(chan struct{})}
		r := start(t, g)
		began := time.Now()
		_, reached := r.mustGateway(t).Execute(r.job(statement.Read, 400*time.Millisecond))
		assert.Assert(t, !reached)
		assert.Assert(t, time.Since(began) <= 200*time.Millisecond, "the statement waited %s of 400 ms", time.Since(began))
		time.AfterFunc(300*time.Millisecond, func() { close(g.starting) })
		result, reached := r.mustGateway(t).Execute(r.job(statement.Read, 800*time.Millisecond))
		assert.Assert(t, reached)
		assert.NilError(t, result.Err)
		c, err := r.mustGateway(t).Confirm("s")
		assert.NilError(t, err)
		assert.Assert(t, c.Confirmed)
	})
}

// Guards against jobs lost at a gateway that does not know the member: they must count
// as not accepted.
func TestUnknownMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := start(t, &fakeGroup{result: upstream.NotSent(errors.New("not here"))})
		_, reached := r.mustGateway(t).Execute(r.job(statement.Read, time.Second))
		assert.Assert(t, !reached)
	})
}

// Guards against transactions that stay open at a gateway: they must end when the caller
// commits or abandons them or its connection ends, also if the call that began them
// timed out.
func TestTransactionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{known: true}
		r := start(t, g)
		tx, o, reached := r.mustGateway(t).Open(statement.Statement{Kind: statement.Begin}, r.job(statement.Write, time.Second))
		assert.Assert(t, reached && o.Begun())
		assert.NilError(t, tx.Run(r.job(statement.Read, time.Second)).Err)
		assert.NilError(t, tx.Run(r.job(statement.Commit, time.Second)).Err)
		assert.Assert(t, tx.Run(r.job(statement.Read, time.Second)).Err != nil, "the transaction has ended")
		tx, _, _ = r.mustGateway(t).Open(statement.Statement{Kind: statement.Begin}, r.job(statement.Write, time.Second))
		tx.Abandon()
		<-g.txs[1].abandoned
		_, _, _ = r.mustGateway(t).Open(statement.Statement{Kind: statement.Begin}, r.job(statement.Write, time.Second))
		r.Close()
		<-g.txs[2].abandoned
		g.block = make(chan struct{})
		_, o, _ = r.mustGateway(t).Open(statement.Statement{Kind: statement.Begin}, r.job(statement.Write, 300*time.Millisecond))
		assert.Assert(t, !o.Begun())
		close(g.block)
		synctest.Wait()
		<-g.txs[3].abandoned
	})
}

// Guards against a simulated clock that stops: a request to abandon a transaction must wait
// in a way that testing/synctest recognises while the transaction is being begun.
func TestAbandonDuringBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{known: true, block: make(chan struct{})}
		r := start(t, g)
		time.AfterFunc(600*time.Millisecond, func() { close(g.block) })
		_, o, _ := r.mustGateway(t).Open(statement.Statement{Kind: statement.Begin}, r.job(statement.Write, 300*time.Millisecond))
		assert.Assert(t, !o.Begun())
		time.Sleep(time.Second)
		<-g.txs[0].abandoned
	})
}

// Guards against a transaction that stays open at a gateway because it was abandoned while
// the call that begins it waited for the start of the gateway.
func TestAbandonAtStartingGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{known: true, starting: make(chan struct{})}
		r := start(t, g)
		p := r.mustGateway(t).(*path)
		go func() {
			request := openRequest{target: p.target, Tx: 7, Begin: statement.Statement{Kind: statement.Begin}, Job: p.encode(r.job(statement.Write, 2*time.Second))}
			_ = p.client.Call(t.Context(), methodOpen, request, nil) // nobody reads the answer
		}()
		time.Sleep(100 * time.Millisecond)
		time.AfterFunc(200*time.Millisecond, func() { close(g.starting) })
		assert.NilError(t, p.client.Call(t.Context(), methodAbandon, txRequest{Tx: 7}, nil))
		time.Sleep(time.Second)
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, tx := range g.txs {
			select {
			case <-tx.abandoned:
			default:
				t.Error("the transaction is still open")
			}
		}
	})
}

// workspaceNetwork is a network with instances in two failure domains whose callers have
// workspaces. "self" and three others are in domain "a", four far gateways in "b".
func workspaceNetwork(t *testing.T, g *fakeGroup) (network, *Router) {
	n := newNetwork()
	all := []source.Candidate{{Name: "self", Address: "self", FailureDomain: "a"}}
	for _, name := range []string{"near0", "near1", "near2"} {
		all = append(all, source.Candidate{Name: name, Address: name, FailureDomain: "a"})
	}
	for _, name := range farGateways {
		all = append(all, source.Candidate{Name: name, Address: name, FailureDomain: "b"})
	}
	for _, c := range all[1:] {
		l := n.Listen(c.Name)
		server := peer.NewServer(silentLog())
		Register(server, g, n.Clock)
		go func() { _ = server.Serve(l) }() // ends with the listener
		t.Cleanup(func() { _ = l.Close() })
	}
	r := NewRouter("self", "a", n.dial, n.Clock, silentLog())
	r.SetWorkspaces(true)
	r.SetInstances(all)
	t.Cleanup(r.Close)
	return n, r
}

var farGateways = []string{"far0", "far1", "far2", "far3"}

func farMember(i int) catalog.Member {
	return catalog.Member{ID: fmt.Sprint("m", i), FailureDomain: "b", Slots: 2}
}

// Guards against 200 ms of silence at each gateway of a failure domain that is cut off: the
// domain must be recognised once for all members, the caller's domain serves meanwhile, and
// the gateways of the domain must be used again after the partition.
func TestSilentDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := workspaceNetwork(t, &fakeGroup{known: true})
		member := 0
		for ; ; member++ { // a member that self does not serve
			if gw, err := r.Gateway("s", farMember(member), false, limit); err == nil && gw != nil {
				break
			}
		}
		gw, err := r.Gateway("s", farMember(member), false, limit)
		assert.NilError(t, err)
		assert.Assert(t, gw.Outside())
		_, reached := gw.Execute(r.job(statement.Read, time.Second))
		assert.Assert(t, reached)
		for _, name := range farGateways {
			n.Partition("self", name)
		}
		began := time.Now()
		gw.Execute(r.job(statement.Read, 5*time.Second))
		for i := range 12 {
			gw, err := r.Gateway("s", farMember(i), false, limit)
			assert.NilError(t, err)
			assert.Assert(t, gw == nil || !gw.Outside(), "a gateway of the silent domain is used for member %d", i)
		}
		assert.Assert(t, time.Since(began) <= 250*time.Millisecond, "recognised after %s", time.Since(began))
		for _, name := range farGateways {
			n.Heal("self", name)
		}
		time.Sleep(3 * time.Second)
		gw, err = r.Gateway("s", farMember(member), false, limit)
		assert.NilError(t, err)
		assert.Assert(t, gw.Outside())
	})
}

// Guards against a domain that is taken for silent because one of its gateways dies: the
// second one must serve.
func TestOneFarGatewayDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := workspaceNetwork(t, &fakeGroup{known: true})
		gw, err := r.Gateway("s", farMember(0), false, limit)
		assert.NilError(t, err)
		first := gw.(*path).gateway
		_, reached := gw.Execute(r.job(statement.Read, time.Second))
		assert.Assert(t, reached)
		n.Partition("self", first)
		gw.Execute(r.job(statement.Read, 5*time.Second))
		gw, err = r.Gateway("s", farMember(0), false, limit)
		assert.NilError(t, err)
		assert.Assert(t, gw.Outside() && gw.(*path).gateway != first)
	})
}

// Guards against every instance connecting by itself while no gateway is available: the
// job must be refused as cut off, with a time to come back.
func TestNoGatewayAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, r := workspaceNetwork(t, &fakeGroup{known: false, result: upstream.NotSent(errors.New("not here"))})
		refused := 0
		for i := range 12 {
			for range 6 {
				gw, err := r.Gateway("s", farMember(i), false, limit)
				if err != nil {
					v := verdict.FromError(err)
					assert.Equal(t, v.Code, verdict.CutOff)
					assert.Assert(t, v.RetryAfter > 0)
					refused++
					break
				}
				if gw == nil {
					break // self is a spare gateway
				}
				_, reached := gw.Execute(r.job(statement.Read, time.Second))
				assert.Assert(t, !reached)
			}
		}
		assert.Assert(t, refused > 0, "self must not connect to all members")
	})
}

// recorder is a group.Reachability that records what is reported.
type recorder struct {
	mu       sync.Mutex
	requests []string
	answers  int
}

func (r *recorder) RecordRequest(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, name)
}

func (r *recorder) RecordAnswer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers++
}

// Guards against an instance that takes itself for isolated because members behind gateways
// outside do not answer: an answer of the gateway shows that it is not.
func TestGatewayOutsideIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, r := workspaceNetwork(t, &fakeGroup{known: true, result: upstream.NotSent(verdict.New(verdict.CutOff, "member is silent"))})
		var reported recorder
		r.SetReachability(&reported)
		gw, err := r.Gateway("s", farMember(0), false, limit)
		assert.NilError(t, err)
		result, reached := gw.Execute(r.job(statement.Read, time.Second))
		assert.Assert(t, reached && result.Err != nil)
		assert.DeepEqual(t, reported.requests, []string{gw.(*path).gateway})
		assert.Assert(t, reported.answers > 0)
	})
}

// Guards against a gateway outside that is excluded like a failed one because it is still
// starting, and against an instance that takes itself for isolated although it answers.
func TestFarGatewayIsStarting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{known: true, starting: make(chan struct{})}
		_, r := workspaceNetwork(t, g)
		var reported recorder
		r.SetReachability(&reported)
		gw, err := r.Gateway("s", farMember(0), false, limit)
		assert.NilError(t, err)
		first := gw.(*path).gateway
		_, err = gw.Confirm("s")
		assert.Assert(t, err != nil)
		assert.Assert(t, reported.answers > 0)
		gw, err = r.Gateway("s", farMember(0), false, limit)
		assert.NilError(t, err)
		assert.Assert(t, gw.Outside() && gw.(*path).gateway != first)
		_, reached := gw.Execute(r.job(statement.Read, 300*time.Millisecond))
		assert.Assert(t, !reached, "another gateway may have started")
		close(g.starting)
		time.Sleep(250 * time.Millisecond)
		gw, err = r.Gateway("s", farMember(0), false, limit)
		assert.NilError(t, err)
		assert.Equal(t, gw.(*path).gateway, first)
		_, reached = gw.Execute(r.job(statement.Read, 300*time.Millisecond))
		assert.Assert(t, reached)
	})
}

// Guards against the queued work of a disconnected caller that stays in the queue of the
// gateway: it must leave within 50 ms, also if the connection to the gateway ends.
func TestGatewayCancelsJobOfDepartedCaller(t *testing.T) {
	for _, closes := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := &fakeGroup{known: true, queued: true}
			r := start(t, g)
			var gone atomic.Bool
			j := r.job(statement.Write, 5*time.Second)
			j.CommitsWrites = true
			j.Gone = gone.Load
			var leftAt time.Time
			time.AfterFunc(time.Second, func() {
				leftAt = time.Now()
				if closes {
					r.Close()
				} else {
					gone.Store(true)
				}
			})
			result, reached := r.mustGateway(t).Execute(j)
			assert.Assert(t, reached && result.Err != nil)
			assert.Assert(t, time.Since(leftAt) <= 50*time.Millisecond, "the job waited %s", time.Since(leftAt))
			if !closes {
				assert.Equal(t, verdict.FromError(result.Err).Code, verdict.Cancelled)
				assert.Assert(t, !result.Sent)
			}
			time.Sleep(50 * time.Millisecond)
			g.mu.Lock()
			defer g.mu.Unlock()
			assert.Assert(t, g.jobs[0].Gone())
		})
	}
}

// Guards the outcome of a job that was sent to a member: its answer must be awaited although
// the caller has disconnected.
func TestSentJobIsNotCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{known: true, block: make(chan struct{}), result: upstream.Result{Reply: statement.Reply{Rows: []string{"done"}}}}
		r := start(t, g)
		time.AfterFunc(time.Second, func() { close(g.block) })
		j := r.job(statement.Write, 5*time.Second)
		j.CommitsWrites = true
		j.Gone = func() bool { return true }
		result, _ := r.mustGateway(t).Execute(j)
		assert.DeepEqual(t, result.Reply.Rows, []string{"done"})
	})
}

// Guards against jobs that cross to a gateway which refuses them: an instance must refuse
// them itself as not run, let a few through to detect the recovery, and still send jobs of
// other ranks and those that the choice of the primary depends on.
func TestEntryRefusesWhatGatewayRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{known: true, load: schedule.Load{RefuseFor: [schedule.NumRanks]time.Duration{schedule.Least: 100 * time.Millisecond}}}
		r := start(t, g)
		run := func(rank schedule.Rank, only bool) upstream.Result {
			j := r.job(statement.Read, time.Second)
			j.Rank, j.OnlyCandidate = rank, only
			result, reached := r.mustGateway(t).Execute(j)
			assert.Assert(t, reached)
			return result
		}
		assert.NilError(t, run(schedule.Least, false).Err)
		refused, delays := 0, map[time.Duration]bool{}
		for range 320 {
			if result := run(schedule.Least, false); result.Err != nil {
				v := verdict.FromError(result.Err)
				assert.Assert(t, !result.Sent && v.Verdict == verdict.NotRun && v.RetryAfter > 0)
				refused, delays[v.RetryAfter] = refused+1, true
			}
			assert.NilError(t, run(schedule.Urgent, false).Err)
			assert.NilError(t, run(schedule.Least, true).Err)
		}
		assert.Assert(t, refused > 280 && refused < 320, "%d refused", refused)
		assert.Assert(t, len(delays) > refused/2, "retries collide")
		g.load = schedule.Load{}
		assert.NilError(t, run(schedule.Urgent, false).Err)
		assert.NilError(t, run(schedule.Least, false).Err)
	})
}

// Guards against single statements of a workspace that are refused at the entry because its
// open transactions use up the connections that the gateway keeps for transactions, and
// against transactions that cross to the gateway meanwhile.
func TestRefusedTransactionsDoNotStopSingleStatements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := verdict.New(verdict.Overloaded, "too many open transactions").WithRetryAfter(400 * time.Millisecond)
		g := &fakeGroup{known: true, openErr: full}
		r := start(t, g)
		gw, crossed, begin := r.mustGateway(t), 0, statement.Statement{Kind: statement.Begin}
		j := r.job(statement.Read, time.Second)
		j.Workspace = "w"
		for range 64 {
			_, o, _ := gw.Open(begin, j)
			assert.Assert(t, o.Begin.Err != nil && !o.Begin.Sent)
			if o.Begin.Gateway != "" {
				crossed++
			}
			result, _ := gw.Execute(j)
			assert.NilError(t, result.Err)
		}
		assert.Assert(t, crossed < 16, "%d transactions", crossed)
		other := j
		other.Workspace = "x"
		_, o, _ := gw.Open(begin, other)
		assert.Assert(t, o.Begin.Gateway != "", "another workspace must reach the gateway")
	})
}

// Guards against routing reads of one rank by the wait of another: the report of a gateway
// must keep the ranks apart, and an answer without report must not count as an idle queue.
func TestExpectedWaitByRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{known: true, load: schedule.Load{Wait: [schedule.NumRanks]time.Duration{time.Millisecond, 5 * time.Millisecond, 70 * time.Millisecond}}}
		r := start(t, g)
		gw := r.mustGateway(t)
		tx, _, _ := gw.Open(statement.Statement{Kind: statement.Begin}, r.job(statement.Write, time.Second))
		assert.NilError(t, tx.Run(r.job(statement.Read, time.Second)).Err)
		assert.Equal(t, gw.ExpectedWait(schedule.Urgent), time.Millisecond)
		assert.Equal(t, gw.ExpectedWait(schedule.Least), 70*time.Millisecond)
	})
}
