package hop

import (
	"errors"
	"time"
	"unicode/utf8"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// Methods of the calls between instances.
const (
	methodExecute = "execute"
	methodOpen    = "open"
	methodNext    = "next"
	methodAbandon = "abandon"
	methodConfirm = "confirm"
	methodPing    = "ping"
	methodCancel  = "cancel"
	// bytesSuffix is added to methods whose job has texts that are not UTF-8. An instance of
	// an earlier release would run changed texts; it does not know these methods, and
	// executes nothing.
	bytesSuffix = "_bytes"
)

// codeNotAccepted is the JSON-RPC error code of a gateway that did not accept a call:
// nothing was executed.
const codeNotAccepted = -32002

// codeNoRound is the JSON-RPC error code of a gateway whose quorum round did not end in
// time.
const codeNoRound = -32003

// codeStarting is the JSON-RPC error code of a gateway that did not accept a call because it
// has no configuration or no members yet: nothing was executed.
const codeStarting = -32004

// wirePrecision is the precision of times on the wire, which saves digits. Times left are
// rounded down, so that a gateway never takes longer than its caller waits.
const wirePrecision = 100 * time.Microsecond

// wireJob is the encoded form of an upstream.Job. It has the time left instead of the
// deadline, as the clocks of instances differ.
type wireJob struct {
	Statement statement.Statement `json:"statement"`
	Caller    string              `json:"caller"`
	Workspace string              `json:"workspace,omitempty"`
	Weight    float64             `json:"weight,omitempty"`
	Rank      schedule.Rank       `json:"rank,omitempty"`
	// Class is the class of service times, the same on all instances.
	Class schedule.ServiceClass `json:"class,omitempty"`
	// Call identifies the job on this connection in a cancelRequest; 0 if it cannot be
	// cancelled.
	Call     uint64             `json:"call,omitempty"`
	Values   map[string]string  `json:"values,omitempty"`
	Prepared *upstream.Prepared `json:"prepared,omitempty"`
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration `json:"left"`
	// TimeToDue is the time until the statement is due; nil if it has no such time.
	TimeToDue     *time.Duration `json:"due,omitempty"`
	Limit         time.Duration  `json:"limit,omitempty"`
	CommitsWrites bool           `json:"keeps,omitempty"`
	OnlyCandidate bool           `json:"alone,omitempty"`
	// Bytes replaces the texts from Statement, Caller, Workspace and Prepared, and ValueBytes
	// the names and values of Values, if one of them is not UTF-8.
	Bytes      byteTexts `json:"bytes,omitempty"`
	ValueBytes byteTexts `json:"value_bytes,omitempty"`
}

func jobToWire(j upstream.Job, now time.Duration) wireJob {
	w := wireJob{Statement: j.Statement, Caller: j.Caller, Workspace: j.Workspace, Weight: j.Weight, Rank: j.Rank, Class: j.Class, Values: j.Values, Prepared: j.Prepared,
		TimeLeft: (j.Deadline - now).Truncate(wirePrecision), Limit: j.Limit, CommitsWrites: j.CommitsWrites, OnlyCandidate: j.OnlyCandidate}
	if j.Due != 0 {
		left := (j.Due - now).Truncate(wirePrecision)
		w.TimeToDue = &left
	}
	w.takeTexts()
	return w
}

func (w wireJob) toJob(clock boottime.Clock) (upstream.Job, error) {
	if err := w.restoreTexts(); err != nil {
		return upstream.Job{}, err
	}
	now := clock()
	j := upstream.Job{Statement: w.Statement, Caller: w.Caller, Workspace: w.Workspace, Weight: w.Weight, Rank: w.Rank, Class: w.Class, Values: w.Values, Prepared: w.Prepared,
		Deadline: now + w.TimeLeft, Limit: w.Limit, CommitsWrites: w.CommitsWrites, OnlyCandidate: w.OnlyCandidate}
	if w.TimeToDue != nil {
		j.Due = now + *w.TimeToDue
	}
	return j, nil
}

// target is a member of a service. Primary means that the calling instance takes the
// member for the primary.
type target struct {
	Service string `json:"service"`
	Member  string `json:"member"`
	Primary bool   `json:"primary,omitempty"`
}

type executeRequest struct {
	target
	Job wireJob `json:"job"`
}

type openRequest struct {
	target
	// Tx identifies the transaction on this connection.
	Tx    uint64              `json:"tx"`
	Begin statement.Statement `json:"begin,omitzero"`
	// BeginBytes replaces the texts of Begin if one of them is not UTF-8.
	BeginBytes byteTexts `json:"begin_bytes,omitempty"`
	Job        wireJob   `json:"job"`
}

// txRequest runs a job in, or abandons, a transaction of the same connection.
type txRequest struct {
	Tx  uint64  `json:"tx"`
	Job wireJob `json:"job,omitzero"` // zero to abandon the transaction
}

// cancelRequest asks to remove the job of a call on the same connection from the queues of
// the gateway. A job that was sent to a member continues.
type cancelRequest struct {
	Call uint64 `json:"call"`
}

type confirmRequest struct {
	Service string `json:"service"`
}

// load is a gateway's report of its load, sent with each answer.
type load struct {
	// Waits is the expected queueing time of another statement, by rank; none if the
	// answer has no report.
	Waits []time.Duration `json:"waits,omitempty"`
	// RefuseFor is how long the gateway expects to refuse statements, by rank; none if it
	// refuses none.
	RefuseFor []time.Duration `json:"refuse,omitempty"`
	// Leaving means that the gateway is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}

func loadToWire(s schedule.Load, leaving bool) load {
	for r := range s.Wait {
		s.Wait[r], s.RefuseFor[r] = s.Wait[r].Round(wirePrecision), s.RefuseFor[r].Round(wirePrecision)
	}
	l := load{Waits: s.Wait[:], Leaving: leaving}
	if s.RefuseFor != [schedule.NumRanks]time.Duration{} {
		l.RefuseFor = s.RefuseFor[:]
	}
	return l
}

// known reports whether the answer has a report of the queue.
func (l load) known() bool { return len(l.Waits) > 0 }

func (l load) toSchedule() (s schedule.Load) {
	copy(s.Wait[:], l.Waits)
	copy(s.RefuseFor[:], l.RefuseFor)
	return s
}

type executeAnswer struct {
	Result wireResult `json:"result"`
	Load   load       `json:"load,omitzero"`
}

type openAnswer struct {
	Begin wireResult `json:"begin,omitzero"`
	First wireResult `json:"first,omitzero"`
	Load  load       `json:"load,omitzero"`
}

// wireResult is the encoded form of an upstream.Result.
type wireResult struct {
	Rows      []string          `json:"rows,omitempty"`
	Signature string            `json:"signature,omitempty"`
	ReplyErr  *wireError        `json:"reply_error,omitempty"`
	State     statement.State   `json:"state,omitempty"`
	Position  position.Position `json:"position,omitzero"`
	Err       *wireError        `json:"error,omitempty"`
	Sent      bool              `json:"sent,omitempty"`
	// Bytes replaces Signature and Rows if one of them is not UTF-8.
	Bytes byteTexts `json:"bytes,omitempty"`
}

func resultToWire(r upstream.Result) wireResult {
	w := wireResult{Rows: r.Reply.Rows, Signature: r.Reply.Signature, ReplyErr: errorToWire(r.Reply.Err), State: r.Reply.State, Position: r.Reply.Position, Err: errorToWire(r.Err), Sent: r.Sent}
	w.takeTexts()
	return w
}

func (w wireResult) toResult() upstream.Result {
	if err := w.restoreTexts(); err != nil {
		return upstream.Result{Err: &statement.ConnError{Sent: true, Err: err}, Sent: true}
	}
	return upstream.Result{
		Reply: statement.Reply{Rows: w.Rows, Signature: w.Signature, Err: w.ReplyErr.toError(), State: w.State, Position: w.Position},
		Err:   w.Err.toError(), Sent: w.Sent,
	}
}

// wireError is the encoded form of an error; exactly one field is set: the error of a
// member, of the connection to it, or a verdict.
type wireError struct {
	Upstream *statement.UpstreamError `json:"upstream,omitempty"`
	// UpstreamText replaces the text of Upstream if that is not UTF-8.
	UpstreamText []byte         `json:"upstream_text,omitempty"`
	Conn         *wireConnError `json:"link,omitempty"`
	Verdict      *verdict.Error `json:"verdict,omitempty"`
}

type wireConnError struct {
	Sent    bool   `json:"sent,omitempty"`
	Timeout bool   `json:"timeout,omitempty"`
	Refused bool   `json:"refused,omitempty"`
	Text    string `json:"text"`
}

func errorToWire(err error) *wireError {
	var u *statement.UpstreamError
	var connErr *statement.ConnError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &u):
		w := &wireError{Upstream: u}
		if !utf8.ValidString(u.Text) {
			w.UpstreamText = []byte(u.Text)
		}
		return w
	case errors.As(err, &connErr):
		return &wireError{Conn: &wireConnError{connErr.Sent, connErr.Timeout, connErr.Refused, connErr.Err.Error()}}
	default:
		return &wireError{Verdict: verdict.FromError(err)}
	}
}

func (w *wireError) toError() error {
	switch {
	case w == nil:
		return nil
	case w.Upstream != nil && w.UpstreamText != nil:
		return &statement.UpstreamError{Reason: w.Upstream.Reason, Text: string(w.UpstreamText)}
	case w.Upstream != nil:
		return w.Upstream
	case w.Conn != nil:
		return &statement.ConnError{Sent: w.Conn.Sent, Timeout: w.Conn.Timeout, Refused: w.Conn.Refused, Err: errors.New(w.Conn.Text)}
	case w.Verdict != nil:
		return w.Verdict
	default:
		return verdict.New(verdict.Internal, "gateway sent an error without content")
	}
}
