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
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/peer"
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

// Register lets other instances ask for readings of the store.
func Register(server *peer.Server, reader Reader) {
	server.Handle(method, func(ctx context.Context, params json.RawMessage, _ <-chan struct{}) (any, *peer.Error) {
		var known Known
		if err := peer.Decode(params, &known); err != nil {
			return nil, err
		}
		reading, err := reader.ReadFor(ctx, known.Urgent)
		if err != nil {
			return nil, peer.NewError(codeStoreAway, err.Error())
		}
		return reading.without(known), nil
	})
}

// Client asks one instance at a time.
type Client struct {
	dial peer.DialFunc
	log  *logrus.Entry
	peer *peer.Client
}

// NewClient returns a Client without a connection. A nil dial connects over TCP.
func NewClient(dial peer.DialFunc, log *logrus.Entry) *Client { return &Client{dial: dial, log: log} }

// Ask returns a reading of the candidate that began after the call. The error
// is ErrStoreAway if the candidate said so.
func (c *Client) Ask(ctx context.Context, from source.Candidate, known Known) (Reading, error) {
	if c.peer == nil || c.peer.Address() != from.Address {
		c.Close()
		c.peer = peer.NewClient(from.Address, c.dial, c.log)
	}
	var r Reading
	err := c.peer.Call(ctx, method, known, &r)
	var answered *peer.Error
	switch {
	case err == nil:
		return r, nil
	case errors.As(err, &answered) && answered.Code == codeStoreAway:
		return Reading{}, ErrStoreAway
	}
	c.Close() // a silent connection is not used again
	return Reading{}, Class.Wrap(err)
}

// Close ends the connection; the next Ask opens a new one.
func (c *Client) Close() {
	if c.peer != nil {
		c.peer.Close()
	}
}
