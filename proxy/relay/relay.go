// Package relay lets one instance read the platform's store for the others.
//
// An instance asks for a reading and gets one that was begun after its request
// arrived. So it may treat the reading as its own, made when it sent the
// request: whatever the reading rules out had not happened by then.
package relay

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/catalog"
)

// Class groups the errors of this package.
var Class = errs.Class("relay")

// ErrStoreAway means that the asked instance could not read the store.
var ErrStoreAway = errors.New("the store does not answer the asked instance")

const (
	method = "reading"
	// codeStoreAway is the JSON-RPC error code for ErrStoreAway; the range from
	// -32000 is free for applications.
	codeStoreAway = -32001
	// inlineConfig is the largest configuration, in routes, that is relayed. A
	// larger one is fetched from the store by each instance: 85 copies of
	// 200 KB would take 14 s on a link of 10 Mbit/s.
	inlineConfig = 64
)

// Known is what the asking instance has. Digest 0 means nothing.
type Known struct {
	Records   uint64 `json:"records,omitempty"`
	Members   uint64 `json:"members,omitempty"`
	Instances uint64 `json:"instances,omitempty"`
	Config    int64  `json:"config,omitempty"`
	// Urgent asks for the reading at once: a primary is being replaced.
	Urgent bool `json:"urgent,omitempty"`
}

// Reading is what an instance has read from the store. Parts that the asking
// instance has are nil.
type Reading struct {
	// StoreNow is the store's time in the reading of the records.
	StoreNow  time.Duration             `json:"store_now"`
	Records   map[string]primacy.Record `json:"records,omitempty"`
	Members   catalog.Members           `json:"members,omitempty"`
	Instances []source.Candidate        `json:"instances,omitempty"`
	Config    *catalog.Config           `json:"config,omitempty"`
	Digests   Known                     `json:"digests"`
}

// Complete fills in the digests of a full reading.
func (r *Reading) Complete() {
	r.Digests.Records = digest(r.Records)
	r.Digests.Members = digest(r.Members)
	r.Digests.Instances = digest(r.Instances)
	if r.Config != nil {
		r.Digests.Config = r.Config.Version
	}
}

// digest hashes the JSON form, in which the keys of maps are sorted.
func digest(v any) uint64 {
	raw, err := json.Marshal(v)
	if err != nil {
		return 0 // unreachable for these types; 0 only sends the part again
	}
	h := fnv.New64a()
	h.Write(raw)
	return h.Sum64()
}

// without returns the reading without the parts that the asker has.
func (r Reading) without(k Known) Reading {
	if r.Digests.Records == k.Records {
		r.Records = nil
	}
	if r.Digests.Members == k.Members {
		r.Members = nil
	}
	if r.Digests.Instances == k.Instances {
		r.Instances = nil
	}
	if r.Config != nil && (r.Config.Version <= k.Config || len(r.Config.Routes) > inlineConfig) {
		r.Config = nil
	}
	return r
}

// Updated returns r with the parts that a later reading brought.
func (r Reading) Updated(later Reading) Reading {
	if later.Records == nil {
		later.Records = r.Records
	}
	if later.Members == nil {
		later.Members = r.Members
	}
	if later.Instances == nil {
		later.Instances = r.Instances
	}
	return later
}

// Reader makes a reading that begins after the call.
type Reader interface {
	ReadFor(ctx context.Context, urgent bool) (Reading, error)
}

// Serve answers other instances on l until it is closed.
func Serve(l net.Listener, reader Reader) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return Class.Wrap(err)
		}
		stream := jsonrpc2.NewPlainObjectStream(c)
		jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.AsyncHandler(handler{reader}))
	}
}

type handler struct{ reader Reader }

// Handle implements jsonrpc2.Handler.
func (h handler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	answer, err := h.answer(ctx, req)
	if err != nil {
		// A reply that cannot be sent means that the asker is gone.
		_ = conn.ReplyWithError(ctx, req.ID, err)
		return
	}
	_ = conn.Reply(ctx, req.ID, answer)
}

func (h handler) answer(ctx context.Context, req *jsonrpc2.Request) (Reading, *jsonrpc2.Error) {
	var known Known
	if req.Method != method || req.Params == nil || json.Unmarshal(*req.Params, &known) != nil {
		return Reading{}, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "expected a request for a reading"}
	}
	reading, err := h.reader.ReadFor(ctx, known.Urgent)
	if err != nil {
		return Reading{}, &jsonrpc2.Error{Code: codeStoreAway, Message: err.Error()}
	}
	return reading.without(known), nil
}

// Client asks other instances. It is used by one goroutine.
type Client struct {
	mu      sync.Mutex
	address string
	conn    *jsonrpc2.Conn
}

// Ask returns a reading of the candidate that began after the call. The error
// is ErrStoreAway if the candidate said so.
func (c *Client) Ask(ctx context.Context, from source.Candidate, known Known) (Reading, error) {
	conn, err := c.connection(ctx, from.Address)
	if err != nil {
		return Reading{}, Class.Wrap(err)
	}
	var r Reading
	err = conn.Call(ctx, method, known, &r)
	if err == nil {
		return r, nil
	}
	var rpc *jsonrpc2.Error
	if errors.As(err, &rpc) && rpc.Code == codeStoreAway {
		return Reading{}, ErrStoreAway
	}
	c.Close()
	return Reading{}, Class.Wrap(err)
}

func (c *Client) connection(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && c.address == address {
		return c.conn, nil
	}
	c.closeLocked()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c.conn = jsonrpc2.NewConn(context.Background(), jsonrpc2.NewPlainObjectStream(raw), refuse{})
	c.address = address
	return c.conn, nil
}

// Close ends the connection; the next Ask opens a new one.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

func (c *Client) closeLocked() {
	if c.conn != nil {
		_ = c.conn.Close() // it is given up either way
		c.conn = nil
	}
}

// refuse answers requests of the asked instance, which sends none.
type refuse struct{}

// Handle implements jsonrpc2.Handler.
func (refuse) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "not served"})
}
