// Package peer is the protocol between instances: JSON-RPC 2.0 over TCP links that
// carry forwarded exchanges, membership probes, routes and configuration gossip.
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

// FreshnessProof says what the owner must prove before it returns an answer.
type FreshnessProof string

const (
	// ProofNone requires nothing. It is for statements inside a transaction whose
	// commit is confirmed later.
	ProofNone FreshnessProof = "none"
	// ProofConfirm requires that a quorum has confirmed the commit of a write or, for
	// a read, that the upstream was still the primary.
	ProofConfirm FreshnessProof = "confirm"
	// ProofPosition requires the replica to have applied MinPosition.
	ProofPosition FreshnessProof = "position"
	// ProofBarrier requires the replica to have applied a barrier, a no-op entry in the
	// primary's log, that was requested after the arrival of the request.
	ProofBarrier FreshnessProof = "barrier"
	// ProofAge requires the replica's data to be no older than MaxAge.
	ProofAge FreshnessProof = "age"
)

// ExchangeRequest asks an owner to run protocol messages on one of its upstreams.
type ExchangeRequest struct {
	ID          string               `json:"id"`
	Service     string               `json:"service"`
	Upstream    string               `json:"upstream"`
	Term        uint64               `json:"term,omitempty"` // of the route that the sender used
	Rank        schedule.Rank        `json:"rank"`
	Caller      string               `json:"caller"`      // name for fair queuing
	Deadline    time.Duration        `json:"deadline_ns"` // time left when the request was sent; 0 if none
	Proof       FreshnessProof       `json:"proof"`
	Executes    bool                 `json:"executes"`         // false if the exchange only parses and describes
	Writes      bool                 `json:"writes,omitempty"` // may change data, so that its outcome can be unknown
	MinPosition position.Position    `json:"min"`
	MaxAge      time.Duration        `json:"max_age_ns,omitempty"`
	Tx          string               `json:"tx,omitempty"`        // transaction that the exchange belongs to
	Begins      bool                 `json:"begins,omitempty"`    // the exchange may open transaction Tx
	Commits     bool                 `json:"commits,omitempty"`   // the exchange contains a COMMIT
	ReadOnly    bool                 `json:"read_only,omitempty"` // the caller declared transaction Tx read-only
	RequestKey  string               `json:"key,omitempty"`       // idempotency key of work that may take effect only once
	Prepared    []statement.Prepared `json:"need,omitempty"`      // prepared statements that Messages refers to
	Messages    []byte               `json:"messages"`            // of the PostgreSQL protocol
}

// ExchangeAnswer is the complete answer of the upstream with its state.
type ExchangeAnswer struct {
	// Refused is set if the owner refused the exchange because of overload. The
	// fields that describe the upstream, Load among them, are still valid: admission
	// control at the sender needs the load most when requests are refused.
	Refused *verdict.Error `json:"refused,omitempty"`

	Messages []byte            `json:"messages"`
	TxStatus byte              `json:"tx_status"`
	Position position.Position `json:"position"`
	Load     schedule.Load     `json:"load"`
	// Applied is the last position of the upstream, ApplyLag the moving average of the
	// wait until a replica has applied a required position, ConfirmTime that of the wait
	// until a quorum has confirmed a commit, or that the upstream is still the primary,
	// and Age the proven bound on the age of a replica's data, valid if AgeKnown is set.
	Applied     position.Position `json:"applied"`
	ApplyLag    time.Duration     `json:"lag_ns"`
	ConfirmTime time.Duration     `json:"confirm_ns"`
	Age         time.Duration     `json:"age_ns"`
	AgeKnown    bool              `json:"age_known"`
	ElapsedTime time.Duration     `json:"executed_ns"` // from the start at the owner to the upstream's answer
}

// EndTransactionRequest asks an owner to roll back an open transaction and release
// its connection.
type EndTransactionRequest struct {
	Upstream string `json:"upstream"`
	Tx       string `json:"tx"`
}

// CancelRequest asks an owner to cancel the running exchange with the ID.
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

// QuiesceRequest asks the owner of a primary that is to be replaced to refuse new
// writes for the time of Limit. The answer comes when all running writes and
// transactions have ended.
type QuiesceRequest struct {
	Upstream string        `json:"upstream"`
	Limit    time.Duration `json:"for_ns"`
}

// Hello describes an instance; it answers each heartbeat.
type Hello struct {
	Name            string `json:"name"`
	OperatorAddress string `json:"operator"` // operators' address, IP:port
	// HasOpenTransactions is set while transactions are open that were started over
	// the link. They are rolled back if the link is closed.
	HasOpenTransactions bool `json:"holds,omitempty"`
}

// Probe is the probe of the membership protocol and also its answer. Route changes
// and the revision of the configuration are piggybacked on it.
type Probe struct {
	Membership    membership.Digest `json:"membership"`
	RouteChecksum uint64            `json:"route_sum"`
	Routes        []failover.Route  `json:"routes,omitempty"`
	// Revision identifies the configuration in force at the sender.
	Revision configgossip.Digest `json:"revision"`
}

// ProbeThrough asks an instance for an indirect probe: to send Probe to the instance
// at Address and return its answer.
type ProbeThrough struct {
	Address string `json:"address"`
	Probe   Probe  `json:"probe"`
}

// Members lists the instances that are not dead.
type Members struct {
	Members []membership.Member `json:"members"`
}

// Routes announces routes to a peer, and is also its answer. With WantAll set, the
// answer contains all routes that the peer knows.
type Routes struct {
	Routes  []failover.Route `json:"routes"`
	WantAll bool             `json:"exchange,omitempty"`
}

// Revision tells a peer which revision is in force at the sender.
type Revision struct {
	From   string              `json:"from"`
	Digest configgossip.Digest `json:"digest"`
}

// FetchConfig asks for the configuration document of revision Want or a later one.
// Have is the revision in force at the sender.
type FetchConfig struct {
	Want configgossip.Digest `json:"want"`
	Have configgossip.Digest `json:"have"`
}

// Empty stands for the parameters or the result of methods that have none.
type Empty struct{}
