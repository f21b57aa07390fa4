// Package peer defines the messages between instances and the links that
// carry them as JSON-RPC 2.0 over TCP.
package peer

import (
	"time"

	"github.com/papayarail/papayarail/core/configgossip"
	"github.com/papayarail/papayarail/core/failover"
	"github.com/papayarail/papayarail/core/membership"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/wire/statement"
)

// Method names of the protocol between instances.
const (
	MethodHello          = "hello"
	MethodPing           = "ping"
	MethodExchange       = "exchange"
	MethodEndTransaction = "end_transaction"
	MethodCancel         = "cancel"
	MethodBarrier        = "barrier"
	MethodQuiesce        = "quiesce"
	MethodProbe          = "probe"
	MethodProbeThrough   = "probe_through"
	MethodMembers        = "members"
	MethodRoutes         = "routes"
	MethodRevision       = "revision"
	MethodFetchConfig    = "fetch_config"
	MethodAdviseLeaving  = "advise_leaving"
)

// FreshnessProof says what the owner must establish before it answers.
type FreshnessProof string

const (
	// ProofNone answers as soon as the upstream has answered; it serves statements
	// inside a transaction whose commit is confirmed later.
	ProofNone FreshnessProof = "none"
	// ProofConfirm waits until a quorum has confirmed a commit, or a barrier for a read.
	ProofConfirm FreshnessProof = "confirm"
	// ProofPosition requires the replica to be at or past MinPosition.
	ProofPosition FreshnessProof = "position"
	// ProofBarrier requires the replica to be at or past a barrier that is not
	// older than the request.
	ProofBarrier FreshnessProof = "barrier"
	// ProofAge requires the replica's data to be no older than MaxStaleness.
	ProofAge FreshnessProof = "age"
)

// ExchangeRequest asks an owner to run protocol messages on one of its upstreams.
type ExchangeRequest struct {
	ID          string               `json:"id"`
	Service     string               `json:"service"`
	Upstream    string               `json:"upstream"`
	Term        uint64               `json:"term,omitempty"`
	Rank        schedule.Rank        `json:"rank"`
	Caller      string               `json:"caller"`
	Deadline    time.Duration        `json:"deadline_ns"` // time left when the request was sent
	Proof       FreshnessProof       `json:"proof"`
	Executes    bool                 `json:"executes"`         // false: the exchange only parses and describes
	Writes      bool                 `json:"writes,omitempty"` // may change data: its outcome can be unknown
	MinPosition position.Position    `json:"min"`
	MaxAge      time.Duration        `json:"max_age_ns,omitempty"`
	Tx          string               `json:"tx,omitempty"`     // transaction this exchange belongs to
	Begins      bool                 `json:"begins,omitempty"` // the exchange may open transaction Tx
	Commits     bool                 `json:"commits,omitempty"`
	ReadOnly    bool                 `json:"read_only,omitempty"` // the caller declared transaction Tx read-only
	RequestKey  string               `json:"key,omitempty"`       // request key for work that may not be repeated
	Prepared    []statement.Prepared `json:"need,omitempty"`
	Messages    []byte               `json:"messages"`
}

// ExchangeAnswer is the whole answer of the upstream.
type ExchangeAnswer struct {
	// Refused is set if the owner did not run the exchange because of its load.
	// Only Load is valid beside it: entry instances need it most when they are
	// refused.
	Refused *verdict.Error `json:"refused,omitempty"`

	Messages []byte            `json:"messages"`
	TxStatus byte              `json:"tx_status"`
	Position position.Position `json:"position"`
	Load     schedule.Load     `json:"load"`
	// Applied, Lag, ConfirmTime, Age and AgeKnown describe the upstream: its last
	// position, the usual wait for a barrier on a replica and for a confirmation
	// on a primary, and the proven age of a replica's data.
	Applied     position.Position `json:"applied"`
	Lag         time.Duration     `json:"lag_ns"`
	ConfirmTime time.Duration     `json:"confirm_ns"`
	Age         time.Duration     `json:"age_ns"`
	AgeKnown    bool              `json:"age_known"`
	ElapsedTime time.Duration     `json:"executed_ns"` // time on the upstream
}

// EndTransactionRequest rolls back a pinned transaction and releases its connection.
type EndTransactionRequest struct {
	Upstream string `json:"upstream"`
	Tx       string `json:"tx"`
}

// CancelRequest cancels a running exchange.
type CancelRequest struct {
	Upstream string `json:"upstream"`
	ID       string `json:"id"`
}

// BarrierRequest asks the owner of a primary for a confirmed position.
type BarrierRequest struct {
	Service string `json:"service"`
}

// BarrierAnswer carries a position that was confirmed after the request arrived.
type BarrierAnswer struct {
	Position position.Position `json:"position"`
}

// QuiesceRequest asks the owner of a primary that is to be replaced to take no
// new writes for a time; the answer comes when all writes and transactions have
// ended.
type QuiesceRequest struct {
	Upstream string        `json:"upstream"`
	Limit    time.Duration `json:"for_ns"`
}

// Hello describes an instance; it answers each heartbeat.
type Hello struct {
	Name            string `json:"name"`
	OperatorAddress string `json:"operator"` // operators' address, IP:port
	// HasOpenTransactions is set while the link has open transactions, which its end would
	// roll back.
	HasOpenTransactions bool `json:"holds,omitempty"`
}

// Probe is the message of the membership, in both directions. Changes of routes
// ride on it.
type Probe struct {
	Membership    membership.Digest `json:"membership"`
	RouteChecksum uint64            `json:"route_sum"`
	Routes        []failover.Route  `json:"routes,omitempty"`
	// Revision is the configuration in force at the sender.
	Revision configgossip.Digest `json:"revision"`
}

// ProbeThrough asks an instance to deliver a probe to another one.
type ProbeThrough struct {
	Address string `json:"address"`
	Probe   Probe  `json:"probe"`
}

// Members is the complete list of members that are not dead.
type Members struct {
	Members []membership.Member `json:"members"`
}

// Routes tells a peer of routes. With WantAll set it answers with all of its own.
type Routes struct {
	Routes  []failover.Route `json:"routes"`
	WantAll bool             `json:"exchange,omitempty"`
}

// Revision tells a peer which revision is in force at the sender.
type Revision struct {
	From   string              `json:"from"`
	Digest configgossip.Digest `json:"digest"`
}

// FetchConfig asks for the document of a revision or a later one.
type FetchConfig struct {
	Want configgossip.Digest `json:"want"`
	Have configgossip.Digest `json:"have"`
}

// Empty is the result of methods that return nothing.
type Empty struct{}
